package node

import (
	linked "container/list"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/sockets"
)

// closeHandshakeTimeout is how long a client may take to close its side of a connection whose other side the node
// closed.
const closeHandshakeTimeout = time.Second

// clientConn is one connection of a client: what clientListener and net/http know of it. net/http reads it in one
// goroutine at a time.
type clientConn struct {
	*net.TCPConn
	listener *clientListener
	stream   clientStream // tls, or plainStream
	tls      *secure.Conn // nil: plain TCP

	// For one reader at a time, without the mutex.
	framing       framing.Guard
	malformedSent int    // bytes of malformedHead that were returned
	requestsDone  uint64 // requests that were answered; changes between reads

	acceptedAt time.Time
	idle       atomic.Bool // idleElement is set; for the reader, which does not hold the mutex
	headLate   atomic.Bool // the rest of a head did not come in time
	deadline   readDeadline
	arrival    requestArrival // of the current request

	// Under the listener's mutex.
	idleElement   *linked.Element // in clientListener.idle; nil while there is a request
	requestSeen   bool            // bytes of a request have come
	firstPending  bool            // counted in clientListener.firstPending
	openedAt      time.Time       // since when a request can come: the accept, or the end of the TLS handshake
	closed        bool            // it is out of clientListener.open
	halfClosed    bool            // the node is closing its side: a request that comes now met the close
	endCause      endCause        // why the node ended the connection; endNone: it did not
	bytesAfterEnd bool            // bytes that came after that are counted
	mustLinger    bool            // Close lingers
	lingers       bool            // Close has been called, and lingers
	lingerElement *linked.Element // in clientListener.lingering
	overflow      bool            // accepted without a slot: its requests are rejected while that is so
	lastPartialAt time.Time       // when bytes came last of a request that is not handed on
}

// clientStream is how a client's connection is read and ended.
type clientStream interface {
	io.ReadCloser
	CloseWrite() error
	SetReadDeadline(t time.Time) error
}

// plainStream is the clientStream of a connection without TLS.
type plainStream struct {
	*net.TCPConn
	reader *sockets.DeadlineReader
}

// Read implements clientStream.
func (s plainStream) Read(p []byte) (int, error) { return s.reader.Read(p) }

// SetReadDeadline implements clientStream.
func (s plainStream) SetReadDeadline(t time.Time) error { return s.reader.SetReadDeadline(t) }

// clientConnKey is the context key of a request's *clientConn.
type clientConnKey struct{}

// withClientConn attaches the connection to the contexts of its requests, and the names in its client's certificate.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *tlsClientConn:
		return context.WithValue(secure.WithConn(ctx, c.tls), clientConnKey{}, c.conn)
	case *clientConn:
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return ctx
}

// clientDisconnected reports whether the client of a request has closed its connection, also where bytes of it are
// unread.
func clientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	return ok && sockets.PeerClosed(c.TCPConn)
}

// handshakeDone notes the end of the TLS handshake.
func (c *clientConn) handshakeDone() {
	c.deadline.beginIdle(min(newConnTimeout, c.listener.idleTimeout))
	if c.tls.WithinRecord() { // with the end of the handshake
		c.deadline.beginHead(c.listener.headTimeout)
	}
	c.deadline.apply()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.openedAt = time.Now()
	c.listener.slotFreed.Broadcast()
}

// isHandshaking reports whether the TLS handshake is not done.
func (c *clientConn) isHandshaking() bool { return c.tls != nil && c.tls.Handshaking() }

// hasUnread reports whether bytes have come that are not seen yet: they are unread, or their TLS record is not whole.
func (c *clientConn) hasUnread() bool {
	return !sockets.IsIdle(c.TCPConn) || c.tls != nil && c.tls.WithinRecord()
}

// awaitsFirstRequestLocked reports whether no request has come yet, and the connection is younger than grace.
func (c *clientConn) awaitsFirstRequestLocked(grace time.Duration) bool {
	return !c.requestSeen && time.Since(c.openedAt) < grace
}

// closeWriteSide closes the node's side, and gives the client closeHandshakeTimeout to close its own.
func (c *clientConn) closeWriteSide() {
	_ = c.stream.CloseWrite() // fails where the client was first
	c.deadline.beginClose(time.Now().Add(closeHandshakeTimeout))
}

// Write writes to the client. After a head that did not come in time it drops what net/http answers to a part of a
// request line, which it takes for malformed.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.headLate.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline sets the deadline that applies where readDeadline has no earlier one.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.deadline.request(t) }
