package node

import (
	"io"
	"time"

	"cobaltward/middleware"
)

const (
	// silentHandshakeAge is the age from which a connection may be evicted that has sent nothing of its handshake.
	silentHandshakeAge = 250 * time.Millisecond
	// stalledHandshakeAge is the age from which a connection may be evicted whose handshake waits for its client.
	stalledHandshakeAge = time.Second
	// stalledRequestAge is the pause within a request after which its connection may be evicted.
	stalledRequestAge = time.Second
	// overflowStallTimeout takes the place of stalledRequestAge for overflow connections.
	overflowStallTimeout = 2 * time.Millisecond
	// firstRequestGrace protects a new connection from eviction: its first request is on its way, and its client has no
	// reason to expect a close.
	firstRequestGrace = 100 * time.Millisecond
	// silentConnAge is the age from which a connection that has never sent a request is evicted ahead of those that have:
	// clients that connect and send nothing would outlast idle clients.
	silentConnAge = 2500 * time.Millisecond
	// rejectionWriteTimeout bounds the write of a rejection ahead of an eviction. The socket buffer has room for it.
	rejectionWriteTimeout = 100 * time.Millisecond
)

// evictIdleLocked ends an idle connection, if there is one; the mutex is released meanwhile. Connections of
// silentConnAge that have never sent a request go first, then the one that has been idle for longest. One within
// firstRequestGrace is ended only if includeNew: its client does not expect a close, and may not get an answer on its
// next connection either.
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

// longestIdleLocked returns the candidate that has been idle for longest; nil if there is none. Connections in a
// handshake, or with a request that has arrived, are none.
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

// evictStalledLocked closes the connection whose client has paused within a request for longest, and for longer than
// it may; an overflow connection may for overflowStallTimeout only. It reports whether there was one; the mutex is
// released meanwhile.
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

// evictHandshakeLocked closes the oldest connection whose handshake has waited for its client for too long, and reports
// whether there was one.
func (l *clientListener) evictHandshakeLocked() bool {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		if !c.tls.Handshaking() || c.tls.HandshakeOnCPU() {
			continue
		}
		age := time.Since(c.acceptedAt)
		if age > stalledHandshakeAge || c.tls.NothingReceived() && age > silentHandshakeAge {
			c.forgetLocked()
			_ = c.stream.Close()
			return true
		}
	}
	return false
}

// rejectEvictedLocked has a connection linger; the mutex is released meanwhile. If withRejection is set, a plain
// connection is sent a 503 first, since the rest of its request may be on its way; a client that has an answer with
// Connection: close would not read it. The rejection is written before the connection counts as closed, since its
// reader closes it then.
func (l *clientListener) rejectEvictedLocked(conn *clientConn, withRejection bool) {
	cause := endEvicted
	if withRejection && conn.tls == nil && !conn.halfClosed {
		cause = endRejected
		_ = conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout))
		_, _ = io.WriteString(conn.TCPConn, l.rejectionResponse())
	}
	conn.forgetLocked()
	if conn.isHandshaking() { // it has no request
		l.mu.Unlock()
		_ = conn.stream.Close()
		l.mu.Lock()
		return
	}
	conn.endLocked(cause)
	l.lingering.add(conn)
	l.mu.Unlock()
	_ = conn.stream.CloseWrite()
	conn.deadline.interrupt() // its reader returns, and net/http closes the connection
	l.mu.Lock()
	l.trimLingeringLocked(overflowConns + endingConns)
}

// rejectionResponse returns the response for the client of an evicted connection.
func (l *clientListener) rejectionResponse() string {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
	if wait := l.retryAfter(); wait > 0 {
		head += "Retry-After: " + middleware.FormatRetryAfter(wait) + "\r\n"
	}
	return head + "\r\n"
}
