package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"cobaltward/handshakes"
	"cobaltward/middleware"
)

const (
	// stalledRequestAge is the minimum time between the last byte of an incomplete request and the eviction of its
	// connection.
	stalledRequestAge = time.Second
	// overflowStallTimeout replaces stalledRequestAge for overflow connections.
	overflowStallTimeout = 2 * time.Millisecond
	// firstRequestGrace is the age up to which a new connection is protected from eviction. The first request may be
	// in transit, and the client has no reason to expect that the node closes the connection.
	firstRequestGrace = 100 * time.Millisecond
	// tlsRequestGrace replaces firstRequestGrace for a TLS connection when another connection has waited too long for a
	// slot. A nearby client has sent its first request by then.
	tlsRequestGrace = handshakes.SilentAfter
	// silentConnAge is the minimum age at which connections that have never sent a request are evicted before all
	// others. Without this limit, clients that connect and send nothing would keep their slots longer than idle
	// clients.
	silentConnAge = 2500 * time.Millisecond
	// rejectionWriteTimeout limits the write of a rejection before an eviction. A rejection fits into the socket buffer.
	rejectionWriteTimeout = 100 * time.Millisecond
)

// evictIdleLocked evicts an idle connection and reports whether there was one. It releases the mutex during the
// eviction. Connections older than silentConnAge without any request come first, then the connection that has been
// idle longest. Connections that await their first request are spared for firstRequestGrace, because their clients do
// not expect a close, and may get no answer on the next connection either. If includeNew is set, only TLS connections
// are spared, for tlsRequestGrace: the eviction of a plain connection is answered with a rejection.
func (l *clientListener) evictIdleLocked(includeNew bool) bool {
	isSilent := func(c *clientConn) bool {
		return !c.requestSeen && !c.awaitsFirstRequestLocked(silentConnAge)
	}
	isOldEnough := func(c *clientConn) bool {
		switch {
		case !includeNew:
			return !c.awaitsFirstRequestLocked(firstRequestGrace)
		case c.tls != nil:
			return !c.awaitsFirstRequestLocked(tlsRequestGrace)
		}
		return true
	}
	for _, isCandidate := range []func(*clientConn) bool{isSilent, isOldEnough} {
		if c := l.longestIdleLocked(isCandidate); c != nil {
			l.rejectEvictedLocked(c, !c.requestSeen)
			return true
		}
	}
	return false
}

// longestIdleLocked returns the longest idle connection for which isCandidate returns true, or nil if there is none.
// It skips connections with unread bytes, and connections in a TLS handshake of which bytes have arrived. A handshake
// counts as in progress until openedAt is the time of its end.
func (l *clientListener) longestIdleLocked(isCandidate func(*clientConn) bool) *clientConn {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		handshaking := c.tls != nil && !c.established && !c.tls.NothingReceived()
		if !handshaking && isCandidate(c) && !c.hasUnread() {
			return c
		}
	}
	return nil
}

// evictStalledLocked evicts the stalled connection with the longest wait for the next byte of a request. It reports
// whether any connection was stalled. A connection is stalled after stalledRequestAge, an overflow connection after
// overflowStallTimeout. The mutex is released during the eviction.
func (l *clientListener) evictStalledLocked() bool {
	now := time.Now()
	var longest *clientConn
	for c := range l.partialRequests {
		limit := stalledRequestAge
		if c.overflow {
			limit = overflowStallTimeout
		}
		if now.Sub(c.lastPartialAt) > limit && (longest == nil || c.lastPartialAt.Before(longest.lastPartialAt)) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	l.rejectEvictedLocked(longest, true)
	return true
}

// evictHandshakeLocked closes the oldest connection in a TLS handshake whose client is late. It reports whether there
// was such a connection.
func (l *clientListener) evictHandshakeLocked() bool {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if c.tls.IsClientLate(c.acceptedAt) {
			c.untrackLocked()
			_ = c.stream.Close()
			return true
		}
	}
	return false
}

// rejectEvictedLocked ends the evicted connection conn. It releases the mutex while it closes the node's side. conn
// then lingers, except during a TLS handshake. If withRejection is set, a plain TCP connection gets a 503 first,
// because the rest of its request may be in transit. A half-closed connection gets no 503, because its client does
// not read another response after Connection: close. The 503 is written before untrackLocked marks conn as closed,
// because the reader closes connections so marked.
func (l *clientListener) rejectEvictedLocked(conn *clientConn, withRejection bool) {
	cause := endEvicted
	if withRejection && conn.tls == nil && !conn.halfClosed {
		cause = endRejected
		_ = conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
		_, _ = io.WriteString(conn.TCPConn, l.rejectionResponse())
	}
	conn.untrackLocked()
	if conn.isHandshaking() { // no request can have arrived, so lingering is unnecessary
		l.mu.Unlock()
		_ = conn.stream.Close()
		l.mu.Lock()
		return
	}
	conn.recordEndLocked(cause)
	l.lingering.add(conn)
	l.mu.Unlock()
	_ = conn.stream.CloseWrite()
	conn.deadline.interrupt() // makes the read return, so that net/http closes the connection
	l.mu.Lock()
	l.trimLingeringLocked(overflowConns + maxEvictedConns)
}

// rejectionResponse returns the 503 response that is written to an evicted connection.
func (l *clientListener) rejectionResponse() string {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
	if wait := l.retryAfter(); wait > 0 {
		head += "Retry-After: " + middleware.FormatRetryAfter(wait) + "\r\n"
	}
	return head + "\r\n"
}

// abortEvicted returns a handler that calls next and aborts if the connection was evicted meanwhile. Without the abort,
// net/http would keep the connection and its goroutine for another half second if a long body is unread. Evicted
// connections do not count as open, so nothing would bound their number.
func abortEvicted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if wasEvicted(r.Context()) {
			panic(http.ErrAbortHandler)
		}
	})
}

// wasEvicted reports whether the connection of a request was evicted. If so, Close lingers, because the client may
// still be sending the rest of the request.
func wasEvicted(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.mustLinger = c.mustLinger || c.closed
	return c.closed
}
