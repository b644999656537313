package node

import (
	"io"
	"time"

	"cobaltward/middleware"
)

const (
	// silentHandshakeAge is the age from which a connection that has sent no byte of its TLS handshake may be evicted.
	silentHandshakeAge = 250 * time.Millisecond
	// stalledHandshakeAge is the age from which a connection whose TLS handshake waits for the client may be evicted.
	stalledHandshakeAge = time.Second
	// stalledRequestAge is how long after the last byte of an incomplete request its connection may be evicted.
	stalledRequestAge = time.Second
	// overflowStallTimeout replaces stalledRequestAge for overflow connections.
	overflowStallTimeout = 2 * time.Millisecond
	// firstRequestGrace protects a new connection from eviction: its first request is on its way, and its client has no
	// reason to expect a close.
	firstRequestGrace = 100 * time.Millisecond
	// silentConnAge is the age from which a connection that has never sent a request is evicted before those that have:
	// otherwise clients that connect and send nothing would keep their slots longer than idle clients.
	silentConnAge = 2500 * time.Millisecond
	// rejectionWriteTimeout limits the write of a rejection before an eviction. A rejection fits into the socket buffer.
	rejectionWriteTimeout = 100 * time.Millisecond
)

// evictIdleLocked evicts an idle connection and reports whether there was one; the mutex is released meanwhile.
// Connections older than silentConnAge that have never sent a request are evicted first, then the one that has been
// idle for longest. A connection within firstRequestGrace is evicted only if includeNew is set: its client does not
// expect a close, and may not get an answer on its next connection either.
func (l *clientListener) evictIdleLocked(includeNew bool) bool {
	isSilent := func(c *clientConn) bool {
		return !c.requestSeen && !c.awaitsFirstRequestLocked(silentConnAge)
	}
	isOldEnough := func(c *clientConn) bool {
		return includeNew || !c.awaitsFirstRequestLocked(firstRequestGrace)
	}
	for _, isCandidate := range []func(*clientConn) bool{isSilent, isOldEnough} {
		if c := l.longestIdleLocked(isCandidate); c != nil {
			l.rejectEvictedLocked(c, !c.requestSeen)
			return true
		}
	}
	return false
}

// longestIdleLocked returns the candidate that has been idle for longest; nil if there is none. Connections within a
// handshake that has begun, or with a request that has arrived, are skipped.
func (l *clientListener) longestIdleLocked(isCandidate func(*clientConn) bool) *clientConn {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		handshaking := c.tls != nil && c.tls.Handshaking() && !c.tls.NothingReceived()
		if !handshaking && isCandidate(c) && !c.hasUnread() {
			return c
		}
	}
	return nil
}

// evictStalledLocked evicts the connection whose client has sent nothing within a request for the longest time, if that
// exceeds stalledRequestAge, or overflowStallTimeout for an overflow connection. It reports whether there was one; the
// mutex is released meanwhile.
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

// evictHandshakeLocked closes the oldest connection whose TLS handshake has waited for the client beyond
// stalledHandshakeAge or silentHandshakeAge, and reports whether there was one.
func (l *clientListener) evictHandshakeLocked() bool {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if !c.tls.Handshaking() || c.tls.HandshakeOnCPU() {
			continue
		}
		age := time.Since(c.acceptedAt)
		if age > stalledHandshakeAge || c.tls.NothingReceived() && age > silentHandshakeAge {
			c.untrackLocked()
			_ = c.stream.Close()
			return true
		}
	}
	return false
}

// rejectEvictedLocked ends an evicted connection, which then lingers; the mutex is released meanwhile. If withRejection
// is set, a plain connection is sent a 503 first, since the rest of its request may be on its way. A half-closed
// connection is sent none: a client that has had an answer with Connection: close would not read it. The rejection is
// written before the connection counts as closed, since its reader closes it then.
func (l *clientListener) rejectEvictedLocked(conn *clientConn, withRejection bool) {
	cause := endEvicted
	if withRejection && conn.tls == nil && !conn.halfClosed {
		cause = endRejected
		_ = conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
		_, _ = io.WriteString(conn.TCPConn, l.rejectionResponse())
	}
	conn.untrackLocked()
	if conn.isHandshaking() { // no request can have arrived, so it need not linger
		l.mu.Unlock()
		_ = conn.stream.Close()
		l.mu.Lock()
		return
	}
	conn.recordEndLocked(cause)
	l.lingering.add(conn)
	l.mu.Unlock()
	_ = conn.stream.CloseWrite()
	conn.deadline.interrupt() // the read returns, and net/http closes the connection
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
