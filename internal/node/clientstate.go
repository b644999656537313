package node

import (
	"context"
	"net/http"
	"time"
)

// limitHead has the time for a head begin with its first byte, and end with its last. It is called after each read.
func (c *clientConn) limitHead() {
	if c.framing.InHead() && c.framing.Heads() == c.requestsDone {
		c.deadline.beginHead(c.listener.headTimeout)
	} else {
		c.deadline.beginOpen(!c.framing.InHead())
		c.deadline.noteBytes()
	}
}

// setBodyDeadlines is the middleware.BodyDeadlineSetter of the node's own connections.
func setBodyDeadlines(ctx context.Context, timeout time.Duration, deadline time.Time) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if ok {
		c.deadline.limitBody(bodyReadLimits{timeout: timeout, deadline: deadline})
	}
	return ok
}

// noteRecordBytes notes that bytes came over TLS, of which no request may be seen until their record is whole.
func (c *clientConn) noteRecordBytes() {
	if c.idle.Load() {
		c.deadline.beginHead(c.listener.headTimeout)
	}
}

// noteRequestBytes notes that a read returned bytes of a request. readBegan is when the read began, readAll whether
// it took all that had come. It returns false if the node is closing the connection.
func (c *clientConn) noteRequestBytes(readBegan time.Time, readAll bool) bool {
	c.arrival.recordRead(c.TCPConn, readBegan, readAll)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.noteRequestBytesLocked()
}

// noteRequestBytesLocked is noteRequestBytes for a read whose arrival is noted.
func (c *clientConn) noteRequestBytesLocked() bool {
	l := c.listener
	if c.halfClosed || c.closed {
		c.mustLinger = true // more of the request may come
		c.noteBytesAfterEndLocked()
		return false
	}
	c.requestSeen = true
	if c.idleElement != nil {
		c.markBusyLocked()
		l.partialRequests[c] = true
		l.slotFreed.Signal()
	}
	if l.partialRequests[c] {
		c.lastPartialAt = time.Now()
	}
	return true
}

// onStateChange follows net/http's state of the connection.
func (c *clientConn) onStateChange(state http.ConnState) {
	mustClose := c.trackState(state)
	c.deadline.apply()
	if mustClose {
		c.closeWriteSide()
	}
}

// trackState reports whether the node's side is to be closed now: the connection became idle during a drain.
func (c *clientConn) trackState(state http.ConnState) (mustClose bool) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.slotFreed.Signal()
	switch {
	case c.closed || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		c.forgetLocked()
	case state == http.StateIdle && c.idleElement == nil:
		return c.endRequestLocked()
	case state == http.StateActive && c.idleElement != nil:
		c.markBusyLocked()
	}
	return false
}

// endRequestLocked notes that a request was answered, and reports whether the node's side is to be closed for a drain.
func (c *clientConn) endRequestLocked() (mustClose bool) {
	c.requestsDone++
	c.setFirstPendingLocked(false)
	if c.framing.Heads() > c.requestsDone { // the next request is in net/http's buffer, which the socket does not show
		c.arrival.advance()
		return false
	}
	c.arrival.reset(time.Now())
	withinRecord := c.tls != nil && c.tls.WithinRecord()
	if c.framing.WithinHead() || withinRecord { // the next request has begun, and the socket does not show it
		c.limitHead()
		c.listener.partialRequests[c] = true
		c.lastPartialAt = time.Now()
		return false
	}
	delete(c.listener.partialRequests, c)
	c.markIdleLocked()
	if !c.listener.shuttingDown || c.halfClosed || c.hasUnread() {
		return false
	}
	c.halfClosed, c.endCause = true, endDrain
	c.listener.closedIdle++
	return true
}

// setFirstPendingLocked includes the connection in listener.firstPending, or excludes it.
func (c *clientConn) setFirstPendingLocked(pending bool) {
	if c.firstPending == pending {
		return
	}
	c.firstPending = pending
	if pending {
		c.listener.firstPending++
	} else {
		c.listener.firstPending--
	}
}

func (c *clientConn) markIdleLocked() {
	c.idleElement = c.listener.idle.PushBack(c)
	c.idle.Store(true)
	timeout := c.listener.idleTimeout
	if !c.requestSeen {
		timeout = min(newConnTimeout, timeout)
	}
	c.deadline.beginIdle(timeout)
}

func (c *clientConn) markBusyLocked() {
	c.listener.idle.Remove(c.idleElement)
	c.idleElement = nil
	c.idle.Store(false)
}

// forgetLocked takes the connection out of the listener's count. It does not change idle: a read of an idle
// connection stays one step with the check of closed.
func (c *clientConn) forgetLocked() {
	if c.idleElement != nil {
		c.listener.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	delete(c.listener.partialRequests, c)
	c.setFirstPendingLocked(false)
	c.deadline.end()
	c.closed = true
	c.listener.open--
}
