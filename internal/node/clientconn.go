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
	way     way // TLS on it, or itself
	owner   *clients
	guard   framing.Guard             // of who reads
	secure  *secure.Conn              // nil: without TLS
	refused int                       // bytes of the line that refuses a head
	over    uint64                    // requests that are over; whoever serves the connection goes by it
	came    time.Time                 // when it was let in
	resting atomic.Bool               // nothing of a request has come: as quiet, for who reads
	by      atomic.Pointer[time.Time] // when a client has to have closed its side; nil: it need not

	// Under the owner's mutex.
	quiet   *linked.Element // its place there; nil while a request is in it
	had     bool            // a request, or a part of one
	gone    bool
	parting bool // our side is closed: what still comes crossed that
	// overflow says that there was no room for it: its requests are rejected at once while that is so.
	overflow bool
	partAt   time.Time // when bytes of a request came last that was not handed on
	arrival  sockets.Arrival
}

// way is how a client's connection is read and ended.
type way interface {
	io.Reader
	CloseWrite() error
	SetReadDeadline(t time.Time) error
}

// clientKey finds a request's connection in its context.
type clientKey struct{}

// withClient has requests know their connection, and who their client has shown to be.
func withClient(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *secureClient:
		return context.WithValue(secure.WithConn(ctx, c.secure), clientKey{}, c.conn)
	case *clientConn:
		return context.WithValue(ctx, clientKey{}, c)
	}
	return ctx
}

// hasLeft tells whether the client of a request has left, also where bytes of it are still to be read.
func hasLeft(ctx context.Context) bool {
	c, ok := ctx.Value(clientKey{}).(*clientConn)
	return ok && sockets.PeerClosed(c.TCPConn)
}

// isYoung reports whether the first request of a connection may be on its way.
func (c *clientConn) isYoung() bool { return !c.had && time.Since(c.came) < youngFor }

// leave closes our side.
func (c *clientConn) leave() {
	_ = c.way.CloseWrite() // fails only where the client was faster
	by := time.Now().Add(partFor)
	c.by.Store(&by)
	_ = c.way.SetReadDeadline(by)
}

// SetReadDeadline keeps to the time that a client has to close its side: net/http would wait for its next request as
// long as for anybody's.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if by := c.by.Load(); by != nil && (t.IsZero() || t.After(*by)) {
		t = *by
	}
	return c.way.SetReadDeadline(t)
}

// Read also notes that a request begins: net/http says so only once it has the whole head. What is out of order in
// the framing of requests never gets to net/http, which would take some of it.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.guard.Problem() != "" {
		return c.refuse(p)
	}
	n, err, crossed := c.take(p)
	if crossed {
		return 0, io.EOF // no answer could reach the client
	}
	open := c.guard.Heads() > c.over // before what has just come
	if len(p) == 1 && n == 1 && open {
		c.nextBegins()
	}
	if ok := c.guard.Pass(p[:n]); ok < n {
		if ok == 0 {
			return c.refuse(p)
		}
		return ok, nil
	}
	if len(p) == 1 && n == 1 && err == nil && open {
		// Only who looks for a client's leaving reads so while a request is open: a head may leave room for a single
		// byte in net/http's buffer, too. It has got a byte of a next request and would look no more, so the look goes
		// on here, until net/http ends it by a time to read that is over.
		if sockets.AwaitPeerClose(c.TCPConn) == nil {
			return n, io.EOF
		}
	}
	return n, err
}

// take reads, and notes that a request begins; crossed says that the connection is being ended on our side. Where nothing
// of a request has come yet the two are one step for whoever makes room or parts from connections: bytes that were read
// and not noted would leave the socket quiet, and a request that the node has would be closed on.
func (c *clientConn) take(p []byte) (n int, err error, crossed bool) {
	if c.secure != nil || !c.resting.Load() {
		began := time.Now()
		n, err = c.way.Read(p)
		return n, err, n > 0 && !c.begin(began, n < len(p))
	}
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, err, false
	}
	l := c.owner
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
			c.arrival.RecordRead(now, now, n < len(p))
			crossed = n > 0 && !c.note()
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

// refuse has net/http answer a head that is out of order with 400, and end the connection: it is given a line that
// no reader takes for a header. In a body an error does the same.
func (c *clientConn) refuse(p []byte) (int, error) {
	const line = "\r\n:\r\n\r\n"
	if !c.guard.InHead() {
		return 0, errFraming
	}
	n := copy(p, line[min(c.refused, len(line)):])
	if c.refused += n; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// nextBegins notes that the first byte of a next request has come while one is open.
func (c *clientConn) nextBegins() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.arrival.RecordNextStart(time.Now())
}

// begin notes that bytes of a request have come, by a read that began at a time and took all that had come or not;
// false where the connection is being ended on our side. It guards what has been read and not yet noted as a request: a
// drain, or whoever makes room, finds the socket quiet then.
func (c *clientConn) begin(readBegan time.Time, readAll bool) bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.arrival.RecordRead(readBegan, time.Now(), readAll)
	return c.note()
}

// note is begin under the owner's mutex.
func (c *clientConn) note() bool {
	l := c.owner
	if c.parting || c.gone {
		l.crossed++
		return false
	}
	c.had = true
	if c.quiet != nil {
		l.quiet.Remove(c.quiet)
		c.quiet = nil
		c.resting.Store(false)
		l.partial[c] = true
		l.room.Signal()
	}
	if l.partial[c] {
		c.partAt = time.Now()
	}
	return true
}

// change follows the connection's state.
func (c *clientConn) change(state http.ConnState) {
	if c.follow(state) {
		c.leave()
	}
}

// follow reports whether the connection is to be parted from: its last answer was written as the intake ended.
func (c *clientConn) follow(state http.ConnState) (part bool) {
	l := c.owner
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.room.Signal()
	switch {
	case c.gone || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		c.forget()
	case state == http.StateIdle && c.quiet == nil:
		if c.over++; c.guard.Heads() > c.over {
			c.arrival.Advance()
			break // the next request has been read already, behind the last: the socket knows nothing of it
		}
		c.quiet = l.quiet.PushBack(c)
		delete(l.partial, c)
		c.resting.Store(true)
		c.arrival.Reset(time.Now())
		if part = l.ending && !c.parting && sockets.IsIdle(c.TCPConn); part {
			c.parting = true
			l.parted++
		}
	case state == http.StateActive:
		if c.quiet != nil {
			l.quiet.Remove(c.quiet)
			c.quiet = nil
			c.resting.Store(false)
		}
	}
	return part
}

// forget takes the connection out of the count.
func (c *clientConn) forget() {
	if c.quiet != nil {
		c.owner.quiet.Remove(c.quiet)
		c.quiet = nil
	}
	delete(c.owner.partial, c)
	c.gone = true
	c.owner.open--
}
