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

// malformedHead replaces a request's head with malformed framing. net/http answers malformedHead with 400.
const malformedHead = "\r\n:\r\n\r\n"

var errMalformedFraming = errors.New("malformed framing of the request's body")

// Read reads for net/http. It records the start of a request, which net/http reports only after the whole head. It
// withholds bytes with malformed framing, because net/http would accept some of them.
func (c *clientConn) Read(buf []byte) (int, error) {
	if c.framing.Problem() != "" {
		return c.readMalformed(buf)
	}
	n, closing, err := c.readStream(buf)
	if err != nil {
		c.recordReadError(err)
	}
	if closing {
		return 0, io.EOF // the node is closing the connection, so no answer can reach the client
	}
	// While a request is open, net/http reads a single byte to detect a disconnect of its client. A read of a head may
	// also be a single byte, if net/http's buffer has no more space.
	oneByteRead := len(buf) == 1 && n == 1 && c.framing.Heads() > c.requestsDone
	if oneByteRead {
		c.arrival.recordNextStart()
	}
	wellFormed := c.framing.Check(buf[:n])
	if n > 0 {
		c.updateReadPhase()
	}
	if wellFormed < n {
		if wellFormed == 0 {
			return c.readMalformed(buf)
		}
		return wellFormed, nil
	}
	// If this read returned the byte of the next request now, net/http would stop detecting a disconnect. Instead, wait
	// here for a disconnect until net/http interrupts the read with a deadline in the past.
	if oneByteRead && err == nil && sockets.AwaitPeerClose(c.TCPConn) == nil {
		return n, io.EOF
	}
	return n, err
}

// readStream reads bytes of a request and records their arrival. closing reports whether the node is closing the
// connection. On an idle plain connection, readStream reads and records while it holds the listener's mutex. Without
// the mutex, the node might check for unread bytes between the two steps, see none, and close the connection although
// a request has arrived.
func (c *clientConn) readStream(buf []byte) (n int, closing bool, err error) {
	if c.tls == nil && c.idle.Load() {
		return c.readIdle(buf)
	}
	began := time.Now()
	c.deadline.beginRead()
	n, err = c.stream.Read(buf)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.shouldRetryRead() {
		n, err = c.stream.Read(buf)
	}
	return n, n > 0 && !c.recordRequestBytes(began, c.hasReadAll(n, len(buf))), err
}

// hasReadAll reports whether a read of n bytes into a buffer of size bytes returned all bytes that had arrived.
func (c *clientConn) hasReadAll(n, size int) bool {
	return n < size && (c.tls == nil || !c.tls.MayHaveMore())
}

// shouldRetryRead reports whether a timed-out read must be tried again. It ends a TLS connection that is idle at its
// read deadline.
func (c *clientConn) shouldRetryRead() bool {
	return c.tls != nil && !c.endIdleTLS() || c.deadline.extendRead()
}

// readIdle is readStream for idle plain TCP connections.
func (c *clientConn) readIdle(buf []byte) (n int, closing bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	waited, done := false, false
	read := func(fd uintptr) bool {
		n, err = readRetryingEINTR(int(fd), buf)
		if errors.Is(err, syscall.EAGAIN) {
			waited = true
			return false
		}
		c.arrival.recordIdleRead(time.Now(), waited, n < len(buf))
		closing = n > 0 && !c.recordRequestBytesLocked()
		return true
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		return read(fd)
	})
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		waited = false
		controlErr := raw.Control(func(fd uintptr) {
			c.listener.mu.Lock()
			defer c.listener.mu.Unlock()
			if done = read(fd); !done {
				c.endIdleLocked()
			}
		})
		if done || controlErr != nil {
			waitErr = controlErr
		}
	}
	switch {
	case waitErr != nil: // the read deadline has passed, or the connection was closed
		return 0, false, waitErr
	case err != nil:
		err = os.NewSyscallError("read", err)
		return 0, false, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, false, io.EOF
	}
	return n, closing, nil
}

// endIdleLocked ends a connection that is idle at its read deadline. The caller has found no unread bytes, and has
// held the mutex since that check. Bytes that arrive after the check are discarded and counted.
func (c *clientConn) endIdleLocked() {
	if c.halfClosed || c.closed {
		return
	}
	c.halfClosed = true
	c.setFirstPendingLocked(false)
	c.recordEndLocked(endIdle)
}

// endIdleTLS ends a TLS connection that is idle at its read deadline. It returns false if the caller must read again,
// because bytes have arrived since the last read. If the connection is not idle, it returns true and ends nothing.
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

// readRetryingEINTR reads from the non-blocking file descriptor fd. It retries when a signal interrupts the read.
func readRetryingEINTR(fd int, buf []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, buf)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// readMalformed handles malformed framing. In a head, it returns malformedHead, which net/http answers with 400
// before it closes the connection. In a body, it returns an error.
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
