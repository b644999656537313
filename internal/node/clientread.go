package node

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"cobaltward/internal/sockets"
)

// malformedHead takes the place of a request's head with malformed framing: net/http, like any other reader, answers
// it with 400.
const malformedHead = "\r\n:\r\n\r\n"

var errMalformedFraming = errors.New("malformed framing of the request's body")

// Read notes the beginning of a request, which net/http reports only once it has the whole head. Bytes with malformed
// framing are kept from net/http, which would accept some of it.
func (c *clientConn) Read(buf []byte) (int, error) {
	if c.framing.Problem() != "" {
		return c.readMalformed(buf)
	}
	n, closing, err := c.readStream(buf)
	if err != nil {
		c.noteReadError(err)
	}
	if closing {
		return 0, io.EOF // no answer could reach the client
	}
	// net/http reads a single byte to notice that the client of the open request disconnects. A read of a head may be of a
	// single byte, too, where net/http's buffer has no more space.
	oneByteRead := len(buf) == 1 && n == 1 && c.framing.Heads() > c.requestsDone
	if oneByteRead {
		c.arrival.recordNextStart()
	}
	wellFormed := c.framing.Check(buf[:n])
	if n > 0 {
		c.limitHead()
	}
	if wellFormed < n {
		if wellFormed == 0 {
			return c.readMalformed(buf)
		}
		return wellFormed, nil
	}
	// With a byte of the next request net/http would stop watching for a disconnect. The watch continues here until
	// net/http ends it with a read deadline in the past.
	if oneByteRead && err == nil && sockets.AwaitPeerClose(c.TCPConn) == nil {
		return n, io.EOF
	}
	return n, err
}

// readStream reads, and notes that a request begins; closing says that the node is closing the connection. On an idle
// connection that is one step under the listener's mutex: bytes read but not yet noted would leave the socket quiet,
// and the connection could be closed with a request in it.
func (c *clientConn) readStream(buf []byte) (n int, closing bool, err error) {
	if c.tls == nil && c.idle.Load() {
		return c.readIdle(buf)
	}
	began := time.Now()
	c.deadline.beginRead()
	n, err = c.stream.Read(buf)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayReadOn() {
		n, err = c.stream.Read(buf)
	}
	return n, n > 0 && !c.noteRequestBytes(began, n < len(buf)), err
}

// mayReadOn reports whether a read that has timed out is to be tried again.
func (c *clientConn) mayReadOn() bool {
	return c.tls != nil && !c.endIdleTLS() || c.deadline.extendRead()
}

// readIdle is readStream for idle TCP connections.
func (c *clientConn) readIdle(buf []byte) (n int, closing bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	waited, done := false, false
	read := func(fd uintptr) bool {
		n, err = readRetryingInterrupts(int(fd), buf)
		if errors.Is(err, syscall.EAGAIN) {
			waited = true
			return false
		}
		c.arrival.recordIdleRead(time.Now(), waited, n < len(buf))
		closing = n > 0 && !c.noteRequestBytesLocked()
		return true
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		return read(fd)
	})
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		waited = false
		lookErr := raw.Control(func(fd uintptr) {
			c.listener.mu.Lock()
			defer c.listener.mu.Unlock()
			if done = read(fd); !done {
				c.endIdleLocked()
			}
		})
		if done || lookErr != nil {
			waitErr = lookErr
		}
	}
	switch {
	case waitErr != nil: // the read deadline, or a close
		return 0, false, waitErr
	case err != nil:
		err = os.NewSyscallError("read", err)
		return 0, false, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, false, io.EOF
	}
	return n, closing, nil
}

// endIdleLocked ends a connection that is idle at its read deadline. It is one step with a look that found no bytes:
// those that come later are discarded and counted.
func (c *clientConn) endIdleLocked() {
	if c.halfClosed || c.closed {
		return
	}
	c.halfClosed = true
	c.setFirstPendingLocked(false)
	c.endLocked(endIdle)
}

// endIdleTLS is endIdleLocked for a TLS connection, if that is idle. It returns false if bytes have come since the last
// read: the read is then to be tried again.
func (c *clientConn) endIdleTLS() (ended bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.idleElement == nil || c.deadline.withinHead():
		return true
	case !c.halfClosed && sockets.Unread(c.TCPConn) > 0:
		c.deadline.beginHead(c.listener.headTimeout)
		return false
	}
	c.endIdleLocked()
	return true
}

// readRetryingInterrupts reads from a non-blocking descriptor.
func readRetryingInterrupts(fd int, buf []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buf)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// readMalformed has net/http answer malformed framing with 400 and close the connection: in a head it returns
// malformedHead, in a body an error.
func (c *clientConn) readMalformed(buf []byte) (int, error) {
	if !c.framing.InHead() {
		return 0, errMalformedFraming
	}
	n := copy(buf, malformedHead[min(c.malformedSent, len(malformedHead)):])
	c.malformedSent += n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}
