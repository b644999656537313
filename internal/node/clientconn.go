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

// closeHandshakeTimeout is how long a client may take to close its side of a connection after the node has closed its
// own side.
const closeHandshakeTimeout = time.Second

// clientConn is a connection of a client, with the state that clientListener and net/http report for it. net/http reads
// it in one goroutine at a time.
type clientConn struct {
	*net.TCPConn
	listener *clientListener
	stream   clientStream // tls, or a plainStream if the connection is plain TCP
	tls      *secure.Conn // nil: plain TCP

	// Used by one reader at a time, without the mutex.
	framing       framing.Guard
	malformedSent int    // number of bytes of malformedHead that were returned to net/http
	requestsDone  uint64 // number of answered requests; changes only between reads

	acceptedAt   time.Time
	idle         atomic.Bool // whether idleElement is set, for the reader, which does not hold the mutex
	headTimedOut atomic.Bool // the rest of a head did not arrive in time
	deadline     readDeadline
	arrival      requestArrival // of the current request

	// Guarded by the listener's mutex.
	idleElement   *linked.Element // its element in clientListener.idle; nil while there is a request
	requestSeen   bool            // bytes of a request have been read
	firstPending  bool            // counted in clientListener.firstPending
	openedAt      time.Time       // earliest time of a request: the accept, or the end of the TLS handshake
	closed        bool            // no longer counted in clientListener.open
	halfClosed    bool            // the node closes its side; requests that arrive from now on are not served
	endCause      endCause        // why the connection ends ahead of an answer; endNone: it does not
	bytesAfterEnd bool            // bytes arrived after the end, and are counted
	mustLinger    bool            // Close must linger, so that no unread bytes reset the connection
	lingers       bool            // Close has been called, and the connection lingers
	lingerElement *linked.Element // its element in clientListener.lingering
	overflow      bool            // accepted without a slot; its requests are rejected until it has one
	lastPartialAt time.Time       // last arrival of bytes of a request that is not handed on yet
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

// withClientConn attaches the connection, and for TLS the names in the client's certificate, to the contexts of its
// requests.
func withClientConn(ctx context.Context, c net.Conn) context.Context {
	switch c := c.(type) {
	case *tlsClientConn:
		return context.WithValue(secure.WithConn(ctx, c.tls), clientConnKey{}, c.conn)
	case *clientConn:
		return context.WithValue(ctx, clientConnKey{}, c)
	}
	return ctx
}

// clientDisconnected reports whether the client of a request has closed its connection, even if some of its bytes are
// still unread.
func clientDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	return ok && sockets.PeerClosed(c.TCPConn)
}

// handshakeDone starts the idle timeout and the eviction grace at the end of the TLS handshake.
func (c *clientConn) handshakeDone() {
	c.deadline.beginIdle(min(newConnTimeout, c.listener.idleTimeout))
	if c.tls.WithinRecord() { // bytes of a request came with the end of the handshake
		c.deadline.beginHead(c.listener.headTimeout)
	}
	c.deadline.apply()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.openedAt = time.Now()
	c.listener.slotFreed.Broadcast()
}

// isHandshaking reports whether the TLS handshake is still in progress.
func (c *clientConn) isHandshaking() bool { return c.tls != nil && c.tls.Handshaking() }

// hasUnread reports whether bytes have arrived that net/http has not seen: they are unread, or part of an incomplete
// TLS record.
func (c *clientConn) hasUnread() bool {
	return !sockets.IsIdle(c.TCPConn) || c.tls != nil && c.tls.WithinRecord()
}

// awaitsFirstRequestLocked reports whether the connection is younger than grace and has sent no byte of a request yet.
func (c *clientConn) awaitsFirstRequestLocked(grace time.Duration) bool {
	return !c.requestSeen && time.Since(c.openedAt) < grace
}

// closeWriteSide closes the node's side, and gives the client closeHandshakeTimeout to close its own.
func (c *clientConn) closeWriteSide() {
	_ = c.stream.CloseWrite() // fails if the client closed first
	c.deadline.beginClose(time.Now().Add(closeHandshakeTimeout))
}

// Write writes to the client. After the timeout of a head it discards what is written: net/http would answer an
// incomplete request line as malformed.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.headTimedOut.Load() {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline sets the deadline of reads. An earlier deadline of readDeadline takes precedence.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.deadline.setRequested(t) }
