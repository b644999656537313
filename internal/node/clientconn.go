package node

import (
	linked "container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/sockets"
)

// clientConn is one connection of a client.
type clientConn struct {
	*net.TCPConn
	stream     clientStream // TLS on it, or itself
	listener   *clientListener
	framing   framing.Guard             // of who reads
	tls  *secure.Conn              // nil: without TLS
	malformedSent int                       // bytes of the line that refuses a head
	requestsDone    uint64                    // requests that are over; whoever serves the connection goes by it
	acceptedAt    time.Time                 // when it was let in
	idle atomic.Bool               // nothing of a request has come: as quiet, for who reads
	closeDeadline      atomic.Pointer[time.Time] // when a client has to have closed its side; nil: it need not

	// Under the owner's mutex.
	idleElement   *linked.Element // its place there; nil while a request is in it
	requestSeen     bool            // a request, or a part of one
	closed    bool
	halfClosed bool // our side is closed: what still comes crossed that
	// overflow says that there was no room for it: its requests are rejected at once while that is so.
	overflow bool
	lastPartialAt   time.Time // when bytes of a request came last that was not handed on
	arrival  sockets.Arrival
}

// clientStream is how a client's connection is read and ended.
type clientStream interface {
	io.Reader
	CloseWrite() error
	SetReadDeadline(t time.Time) error
}

// clientConnKey finds a request's connection in its context.
type clientConnKey struct{}

// withClientConn has requests know their connection, and who their client has shown to be.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *tlsClientConn:
		return context.WithValue(secure.WithConn(ctx, c.tls), clientConnKey{}, c.conn)
	case *clientConn:
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return ctx
}

// clientDisconnected tells whether the client of a request has left, also where bytes of it are still to be read.
func clientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	return ok && sockets.Left(c.TCPConn)
}

// awaitsFirstRequest reports whether the first request of a connection may be on its way.
func (c *clientConn) awaitsFirstRequest() bool { return !c.requestSeen && time.Since(c.acceptedAt) < firstRequestGrace }

// closeWriteSide closes our side.
func (c *clientConn) closeWriteSide() {
	_ = c.stream.CloseWrite() // fails only where the client was faster
	by := time.Now().Add(closeHandshakeTimeout)
	c.closeDeadline.Store(&by)
	_ = c.stream.SetReadDeadline(by)
}

// SetReadDeadline keeps to the time that a client has to close its side: net/http would wait for its next request as
// long as for anybody's.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if by := c.closeDeadline.Load(); by != nil && (t.IsZero() || t.After(*by)) {
		t = *by
	}
	return c.stream.SetReadDeadline(t)
}

// Read also notes that a request begins: net/http says so only once it has the whole head. What is out of order in
// the framing of requests never gets to net/http, which would take some of it.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.framing.Problem() != "" {
		return c.readMalformed(p)
	}
	n, err, crossed := c.readStream(p)
	if crossed {
		return 0, io.EOF // no answer could reach the client
	}
	open := c.framing.Heads() > c.requestsDone // before what has just come
	if len(p) == 1 && n == 1 && open {
		c.noteNextRequest()
	}
	if ok := c.framing.Pass(p[:n]); ok < n {
		if ok == 0 {
			return c.readMalformed(p)
		}
		return ok, nil
	}
	if len(p) == 1 && n == 1 && err == nil && open {
		// Only who looks for a client's leaving reads so while a request is open: a head may leave room for a single
		// byte in net/http's buffer, too. It has got a byte of a next request and would look no more, so the look goes
		// on here, until net/http ends it by a time to read that is over.
		if sockets.AwaitLeave(c.TCPConn) == nil {
			return n, io.EOF
		}
	}
	return n, err
}

// readStream reads, and notes that a request begins; crossed says that the connection is being ended on our side. Where nothing
// of a request has come yet the two are one step for whoever makes room or parts from connections: bytes that were read
// and not noted would leave the socket quiet, and a request that the node has would be closed on.
func (c *clientConn) readStream(p []byte) (n int, err error, crossed bool) {
	if c.tls != nil || !c.idle.Load() {
		began := time.Now()
		n, err = c.stream.Read(p)
		return n, err, n > 0 && !c.noteRequestBytes(began, n < len(p))
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err, false
	}
	l := c.listener
	waited := false
	end := raw.Read(func(fd uintptr) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for {
			switch n, err = syscall.Read(int(fd), p); err {
			case syscall.EINTR:
				continue
			case syscall.EAGAIN:
				waited = true
				return false
			}
			now := time.Now()
			if waited {
				c.arrival.Reset(now)
			}
			c.arrival.Read(now, now, n < len(p))
			crossed = n > 0 && !c.noteRequestBytesLocked()
			return true
		}
	})
	switch {
	case end != nil: // its time is over, or it was closed
		return 0, end, false
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}, false
	case n == 0:
		return 0, io.EOF, false
	}
	return n, nil, crossed
}

var errFraming = errors.New("the framing of the request is out of order")

// readMalformed has net/http answer a head that is out of order with 400, and end the connection: it is given a line that
// no reader takes for a header. In a body an error does the same.
func (c *clientConn) readMalformed(p []byte) (int, error) {
	const line = "\r\n:\r\n\r\n"
	if !c.framing.InHead() {
		return 0, errFraming
	}
	n := copy(p, line[min(c.malformedSent, len(line)):])
	if c.malformedSent += n; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// noteNextRequest notes that the first byte of a next request has come while one is open.
func (c *clientConn) noteNextRequest() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.arrival.NextBegins(time.Now())
}

// noteRequestBytes notes that bytes of a request have come, by a read that began at a time and took all that had come or not;
// false where the connection is being ended on our side. It guards what has been read and not yet noted as a request: a
// drain, or whoever makes room, finds the socket quiet then.
func (c *clientConn) noteRequestBytes(readBegan time.Time, readAll bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.arrival.Read(readBegan, time.Now(), readAll)
	return c.noteRequestBytesLocked()
}

// noteRequestBytesLocked is begin under the owner's mutex.
func (c *clientConn) noteRequestBytesLocked() bool {
	l := c.listener
	if c.halfClosed || c.closed {
		l.requestsDuringClose++
		return false
	}
	c.requestSeen = true
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
		c.idle.Store(false)
		l.partialRequests[c] = true
		l.slotFreed.Signal()
	}
	if l.partialRequests[c] {
		c.lastPartialAt = time.Now()
	}
	return true
}

// onStateChange follows the connection's state.
func (c *clientConn) onStateChange(state http.ConnState) {
	if c.trackState(state) {
		c.closeWriteSide()
	}
}

// trackState reports whether the connection is to be parted from: its last answer was written as the intake ended.
func (c *clientConn) trackState(state http.ConnState) (part bool) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.slotFreed.Signal()
	switch {
	case c.closed || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		c.forgetLocked()
	case state == http.StateIdle && c.idleElement == nil:
		if c.requestsDone++; c.framing.Heads() > c.requestsDone {
			c.arrival.Advance()
			break // the next request has been read already, behind the last: the socket knows nothing of it
		}
		c.idleElement = l.idle.PushBack(c)
		delete(l.partialRequests, c)
		c.idle.Store(true)
		c.arrival.Reset(time.Now())
		if part = l.shuttingDown && !c.halfClosed && sockets.Quiet(c.TCPConn); part {
			c.halfClosed = true
			l.closedIdle++
		}
	case state == http.StateActive:
		if c.idleElement != nil {
			l.idle.Remove(c.idleElement)
			c.idleElement = nil
			c.idle.Store(false)
		}
	}
	return part
}

// forgetLocked takes the connection out of the count.
func (c *clientConn) forgetLocked() {
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	delete(c.listener.partialRequests, c)
	c.closed = true
	c.listener.open--
}
