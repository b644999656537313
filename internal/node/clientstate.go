package node

import (
	"context"
	"net/http"
	"time"
)

// updateReadPhase starts the timeout of a head at its first byte and ends it at the last. It is called after each read.
func (c *clientConn) updateReadPhase() {
	if c.framing.InHead() && c.framing.Heads() == c.requestsDone {
		c.deadline.beginHead(c.listener.headTimeout)
	} else {
		c.deadline.beginOpen(!c.framing.InHead())
		c.deadline.restartStallTimeout()
	}
}

// setBodyDeadlines is the middleware.BodyDeadlineSetter for connections of clientListener; it returns false for others.
func setBodyDeadlines(ctx context.Context, timeout time.Duration, deadline time.Time) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if ok {
		c.deadline.limitBody(bodyReadLimits{timeout: timeout, deadline: deadline})
	}
	return ok
}

// recordTLSBytes starts the timeout of a head when bytes arrive over TLS on an idle connection: the request becomes
// visible only once their TLS record is complete.
func (c *clientConn) recordTLSBytes() {
	if c.idle.Load() {
		c.deadline.beginHead(c.listener.headTimeout)
	}
}

// recordRequestBytes records that a read returned bytes of a request. readBegan is when the read began, readAll whether
// it took all bytes that had arrived. It returns false if the node is closing the connection.
func (c *clientConn) recordRequestBytes(readBegan time.Time, readAll bool) bool {
	c.arrival.recordRead(c.TCPConn, readBegan, readAll)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.recordRequestBytesLocked()
}

// recordRequestBytesLocked is recordRequestBytes for a read whose arrival time is already recorded.
func (c *clientConn) recordRequestBytesLocked() bool {
	l := c.listener
	if c.halfClosed || c.closed {
		c.mustLinger = true // more bytes of the request may arrive
		c.recordBytesAfterEndLocked()
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

// onStateChange handles a change of net/http's state of the connection.
func (c *clientConn) onStateChange(state http.ConnState) {
	mustClose := c.trackState(state)
	c.deadline.apply()
	if mustClose {
		c.closeWriteSide()
	}
}

// trackState updates the lists of connections. It reports whether the node's side must be closed now, because the
// connection became idle during a drain.
func (c *clientConn) trackState(state http.ConnState) (mustClose bool) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.slotFreed.Signal()
	switch {
	case c.closed || state == http.StateNew:
	case state == http.StateClosed || state == http.StateHijacked:
		c.untrackLocked()
	case state == http.StateIdle && c.idleElement == nil:
		return c.endRequestLocked()
	case state == http.StateActive && c.idleElement != nil:
		c.markBusyLocked()
	}
	return false
}

// endRequestLocked records that a request was answered, and reports whether the node's side must be closed for a drain.
func (c *clientConn) endRequestLocked() (mustClose bool) {
	c.requestsDone++
	c.setFirstPendingLocked(false)
	if c.framing.Heads() > c.requestsDone { // the next request is already in net/http's buffer, not in the socket
		c.arrival.advance()
		return false
	}
	c.arrival.reset(time.Now())
	withinRecord := c.tls != nil && c.tls.WithinRecord()
	if c.framing.HasPartialHead() || withinRecord { // part of the next request has already been read from the socket
		c.updateReadPhase()
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

// setFirstPendingLocked adds the connection to listener.firstPending, or removes it, if that changes anything.
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

// untrackLocked removes the connection from the listener's lists and counts. It does not change c.idle, so that a read
// of an idle connection still checks c.closed under the same lock as the read.
func (c *clientConn) untrackLocked() {
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
