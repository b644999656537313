package node

import (
	"context"
	"net/http"
	"time"

	"cobaltward/internal/frontend/pacing"
)

// updateReadPhase starts the timeout of a head at the first byte of the head and ends it at the last byte. It is
// called after each read.
func (c *clientConn) updateReadPhase() {
	if c.framing.InHead() && c.framing.Heads() == c.requestsDone {
		c.deadline.beginHead(c.listener.headTimeout)
	} else {
		c.deadline.beginOpen(!c.framing.InHead())
		c.deadline.restartStallTimeout()
	}
}

// setBodyDeadlines is the middleware.BodyDeadlineSetter for connections of clientListener. It returns false for other
// connections.
func setBodyDeadlines(ctx context.Context, timeout time.Duration, deadline time.Time) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if ok {
		c.deadline.limitBody(bodyReadLimits{timeout: timeout, deadline: deadline})
	}
	return ok
}

// recordTLSBytes starts the timeout of a head when TLS bytes arrive on an idle connection. A request becomes visible
// only when its TLS record is complete.
func (c *clientConn) recordTLSBytes() {
	if c.idle.Load() {
		c.deadline.beginHead(c.listener.headTimeout)
	}
}

// recordRequestBytes records a read that returned bytes of a request. The read began at readBegan. readAll reports
// whether the read took all bytes that had arrived. recordRequestBytes returns false if the node is closing the
// connection.
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

// onStateChange handles a new state of the connection in net/http.
func (c *clientConn) onStateChange(state http.ConnState) {
	mustClose := c.trackState(state)
	c.deadline.apply()
	switch {
	case mustClose:
		c.closeWriteSide()
	case state == http.StateIdle:
		time.Sleep(c.pace.Delay(time.Now(), pacing.MaxDelay)) // net/http reads the next request after this call
	}
}

// trackState updates the lists of connections for a new state. mustClose reports whether the node's side must be
// closed now, because the connection became idle during a drain.
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

// endRequestLocked records that a request was answered. mustClose reports whether a drain must close the node's side
// now.
func (c *clientConn) endRequestLocked() (mustClose bool) {
	c.requestsDone++
	c.setFirstPendingLocked(false)
	if c.framing.Heads() > c.requestsDone { // net/http's buffer already has the next request
		c.arrival.advance()
		return false
	}
	c.arrival.reset(time.Now())
	withinRecord := c.tls != nil && c.tls.WithinRecord()
	if c.framing.HasPartialHead() || withinRecord { // part of the next request was read already
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

// setFirstPendingLocked sets c.firstPending and keeps the count in listener.firstPending up to date.
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

// untrackLocked removes the connection from the listener's lists and counts. It does not change c.idle. A read of an
// idle connection therefore still checks c.closed under the same lock as the read.
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
