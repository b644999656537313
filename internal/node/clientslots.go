package node

import (
	"context"
	"io"
	"time"

	"cobaltward/handshakes"
	"cobaltward/internal/sockets"
	"cobaltward/middleware"
)

// awaitSlotLocked waits until there is room for a connection that was accepted. Where each has a request in it, one will end,
// but those that wait in the system's queue meanwhile have less time than it may take: beyond patience, connections
// come in whose requests are rejected at once.
func (l *clientListener) awaitSlotLocked(c *clientConn) {
	for l.open > l.maxConns && !l.closed {
		patience := l.queueTimeout() - time.Since(l.queueEmptyAt)
		if l.evictIdleLocked(patience <= 0) {
			break
		}
		switch {
		case patience > 0 && l.idle.Len() > 0:
			patience = slotRecheckInterval // they are young, and not for long
		case patience > 0:
		case l.evictStalledLocked():
			continue
		case l.open <= l.maxConns+l.overflowConns:
			c.overflow = true
			return
		}
		wake := time.AfterFunc(max(patience, overflowStallTimeout), l.slotFreed.Broadcast)
		l.slotFreed.Wait()
		wake.Stop()
	}
	c.overflow = !l.closed && l.open > l.maxConns // one that was evicted was beyond the bound, too
}

// evictStalledLocked closes a connection whose client has stopped in the midst of a request: of those that there was no room
// for, one that has for a moment, else one that has for long. It reports whether there was one; the mutex is let go
// meanwhile.
func (l *clientListener) evictStalledLocked() bool {
	now := time.Now()
	var longest *clientConn
	for c := range l.partialRequests {
		patience := stalledRequestAge
		if c.overflow {
			patience = overflowStallTimeout
		}
		if now.Sub(c.lastPartialAt) > patience && (longest == nil || c.lastPartialAt.Before(longest.lastPartialAt)) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	l.rejectEvictedLocked(longest, true)
	return true
}

// rejectionResponse is the answer to a client whose request is on its way to a connection that ends for want of room.
func (l *clientListener) rejectionResponse() string {
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n"
	if wait := l.retryAfter(); wait > 0 {
		head += "Retry-After: " + middleware.FormatRetryAfter(wait) + "\r\n"
	}
	return head + "\r\n"
}

// rejectEvictedLocked closes a connection; the mutex is let go meanwhile. Where answer says so a rejection goes ahead of the close:
// the last byte of a request may cross it. It is written before anybody can find the connection gone, since whoever
// reads closes it for that. Behind an answer that closes the connection anyway it is never read.
func (l *clientListener) rejectEvictedLocked(c *clientConn, answer bool) {
	if answer && c.tls == nil {
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout)) // nothing was written that could be in the way
		_, _ = io.WriteString(c.TCPConn, l.rejectionResponse())
	}
	c.forgetLocked()
	l.mu.Unlock() // a close waits for who reads, and who reads takes the mutex
	_ = c.TCPConn.Close()
	l.mu.Lock()
}

// isOverflow is asked as a request is about to be handed on. It tells whether that came on a connection that there was
// no room for, and there still is none, or on one that was closed for others just now: its client has been told that it
// was rejected. A connection whose request is handed on makes no room for others.
func isOverflow(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return false
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.overflow = c.overflow && l.open > l.maxConns
	rejected := c.overflow || c.closed
	if !rejected { // else the rest of its body is not waited for where others need the room
		delete(l.partialRequests, c)
	}
	return rejected
}

// admitHandshakeLocked waits until another handshake may go on.
func (l *clientListener) admitHandshakeLocked() {
	for !l.closed {
		active, waiting := 0, 0
		for e := l.idle.Front(); e != nil; e = e.Next() {
			switch c := e.Value.(*clientConn); {
			case !c.tls.Shaking():
			case c.tls.Working(), c.tls.Silent() && time.Since(c.acceptedAt) <= handshakes.SilentAfter:
				active++
			default: // for its client, who may be far away or mean no good
				waiting++
			}
		}
		admit, crowded := handshakes.Admit(active, waiting, l.maxConns)
		if admit || crowded && l.evictHandshakeLocked() { // where others are worked on, a close makes no room
			return
		}
		wake := time.AfterFunc(slotRecheckInterval, l.slotFreed.Broadcast)
		l.slotFreed.Wait()
		wake.Stop()
	}
}

// evictHandshakeLocked closes the handshake that has waited for its client for longest, if that is for long.
func (l *clientListener) evictHandshakeLocked() bool {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		age := time.Since(c.acceptedAt)
		if c.tls.Shaking() && !c.tls.Working() && (age > stalledRequestAge || c.tls.Silent() && age > silentHandshakeAge) {
			c.forgetLocked()
			c.TCPConn.Close()
			return true
		}
	}
	return false
}

// handshakeDone notes the end of a handshake.
func (l *clientListener) handshakeDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slotFreed.Broadcast()
}

// evictIdleLocked closes the connection that has been quiet for longest, if there is one; the mutex is let go meanwhile. A
// handshake that goes on is not quiet. A new connection whose first request is on its way makes room only if young says
// so: its client is not owed an answer again on another one.
func (l *clientListener) evictIdleLocked(includeNew bool) bool {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		shaking := c.tls != nil && c.tls.Shaking() && !c.tls.Silent()
		if shaking || !includeNew && c.awaitsFirstRequest() || !sockets.Quiet(c.TCPConn) { // a request that meets a close has failed
			continue
		}
		l.rejectEvictedLocked(c, !c.requestSeen)
		return true
	}
	return false
}
