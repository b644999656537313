package node

import (
	linked "container/list"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/frontend/pacing"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/sockets"
)

// closeHandshakeTimeout is the maximum time for a client to close its side of a connection after the node has closed
// its own side.
const closeHandshakeTimeout = time.Second

// clientConn is a client's connection with its state, which clientListener and net/http update. Only one goroutine of
// net/http reads from it at a time.
type clientConn struct {
	*net.TCPConn
	listener *clientListener
	stream   clientStream // tls, or a plainStream for plain TCP
	tls      *secure.Conn // nil: plain TCP

	// Used by one reader at a time, without the mutex.
	framing       framing.Guard
	malformedSent int    // number of bytes of malformedHead returned to net/http
	requestsDone  uint64 // number of answered requests; changes only between reads

	pace         *pacing.Conn
	acceptedAt   time.Time
	idle         atomic.Bool // whether the connection is idle; not updated after closed is set; read without the mutex
	headTimedOut atomic.Bool // whether the head timeout expired before the rest of a head arrived
	deadline     readDeadline
	arrival      requestArrival // arrival of the current request
	sendQueue    sockets.SendQueue

	// Guarded by the listener's mutex.
	idleElement   *linked.Element // element in clientListener.idle; nil while a request is open
	requestSeen   bool            // whether bytes of a request have been read
	firstPending  bool            // whether the connection is included in clientListener.firstPending
	openedAt      time.Time       // time of the accept, or of the end of the TLS handshake
	established   bool            // whether openedAt is the time of the end of the TLS handshake
	closed        bool            // whether the connection is no longer included in clientListener.open
	halfClosed    bool            // whether the node closes its side; later requests are not served
	endCause      endCause        // why the connection ended without an answer; endNone if it did not
	bytesAfterEnd bool            // whether bytes arrived after the end and were counted
	mustLinger    bool            // whether Close must linger; unread bytes would cause a reset
	lingers       bool            // whether Close was called and the connection lingers
	lingerElement *linked.Element // element in clientListener.lingering; nil: not lingering
	overflow      bool            // whether the connection has no slot; its requests are rejected
	lastPartialAt time.Time       // last arrival of bytes while in listener.partialRequests
}

// clientStream is the byte stream of a client's connection, with or without TLS.
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

// withClientConn returns the context for the requests of connection c. The context holds the clientConn, and for TLS
// also the names in the client's certificate.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *tlsClientConn:
		return context.WithValue(secure.WithConn(ctx, c.tls), clientConnKey{}, c.conn)
	case *clientConn:
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return ctx
}

// clientDisconnected reports whether the client of a request has closed its connection, even if bytes are still
// unread.
func clientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	return ok && sockets.PeerClosed(c.TCPConn)
}

// whenSent calls done once the kernel has sent all bytes written to the client of a request.
func whenSent(ctx context.Context, done func()) {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		done()
		return
	}
	c.sendQueue.WhenSent(done)
}

// clientMayHaveLeft reports whether so many bytes are unread behind a request that the client's end of the connection
// may not have arrived.
func clientMayHaveLeft(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	return ok && sockets.MayHideClose(c.TCPConn)
}

// unreadBytes returns how many bytes of the client of a request have arrived that are not read.
func unreadBytes(ctx context.Context) int {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return 0
	}
	return sockets.Unread(c.TCPConn)
}

// countLocalAnswer counts a request that is answered without a server, for the pacing of its connection.
func countLocalAnswer(ctx context.Context) {
	if c, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		c.pace.CountLocalAnswer()
	}
}

// handshakeDone starts the idle timeout and the eviction grace. It is called at the end of the TLS handshake.
func (c *clientConn) handshakeDone() {
	c.deadline.beginIdle(min(newConnTimeout, c.listener.idleTimeout))
	if c.tls.WithinRecord() { // bytes of a request came with the end of the handshake
		c.deadline.beginHead(c.listener.headTimeout)
	}
	c.deadline.apply()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.openedAt, c.established = time.Now(), true
	c.listener.slotFreed.Broadcast()
}

// isHandshaking reports whether the TLS handshake is still in progress.
func (c *clientConn) isHandshaking() bool { return c.tls != nil && c.tls.Handshaking() }

// hasUnread reports whether bytes have arrived that net/http has not read. The bytes may also be part of an
// incomplete TLS record.
func (c *clientConn) hasUnread() bool {
	return !sockets.IsIdle(c.TCPConn) || c.tls != nil && c.tls.WithinRecord()
}

// awaitsFirstRequestLocked reports whether no byte of a request has been read and the connection is younger than
// grace.
func (c *clientConn) awaitsFirstRequestLocked(grace time.Duration) bool {
	return !c.requestSeen && time.Since(c.openedAt) < grace
}

// closeWriteSide closes the node's side and gives the client closeHandshakeTimeout to close its own side.
func (c *clientConn) closeWriteSide() {
	_ = c.stream.CloseWrite() // fails if the client closed first
	c.deadline.beginClose(time.Now().Add(closeHandshakeTimeout))
}

// Write writes to the client. After the timeout of a head, Write discards p, because net/http would answer an
// incomplete request line as malformed.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.headTimedOut.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline sets the deadline of reads. If the connection's readDeadline expires sooner, that deadline applies.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.deadline.setRequested(t) }
