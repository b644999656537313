package msgpack

import (
	"time"

	"cobaltward/msgpackrpc"
)

const (
	// lateCallTimeout is how long the server still answers calls after the drain notification. The client may have sent
	// such calls before it received the notification.
	lateCallTimeout = 200 * time.Millisecond
	// drainFirstCallGrace is the time after accept during which a drain keeps a connection without calls open. The
	// first call may be in transit.
	drainFirstCallGrace = 2500 * time.Millisecond
	// drainRecheckInterval is how often a drain checks whether a connection without open calls can be closed.
	drainRecheckInterval = 100 * time.Millisecond
)

// drain notifies the client that the connection accepts no new calls.
func (c *conn) drain() {
	c.mu.Lock()
	if !c.draining {
		c.notifications = msgpackrpc.AppendDrain(c.notifications)
		c.draining, c.drainNotifiedAt = true, time.Now()
		c.drainRecheck = time.AfterFunc(lateCallTimeout, c.writeSignal.Notify)
	}
	c.mu.Unlock()
	c.writeSignal.Notify()
}

// isDrained reports whether a drain has nothing left to wait for. c.mu is held.
func (c *conn) isDrained() bool {
	return c.draining && c.isIdle() && len(c.notifications) == 0 &&
		time.Since(c.drainNotifiedAt) >= lateCallTimeout && !c.awaitsFirstCall() && !c.awaitsPartialCall()
}

// awaitsPartialCall reports whether a part of a call has arrived to which a drain still owes an answer. The call must
// have begun before the end of lateCallTimeout; MessageTimeout limits the wait for its rest. c.mu is held.
func (c *conn) awaitsPartialCall() bool {
	lateCallEnd := c.drainNotifiedAt.Add(lateCallTimeout)
	if begunAt := c.incoming.begunAt; !begunAt.IsZero() {
		return begunAt.Before(lateCallEnd)
	}
	return c.hasUnread() && time.Now().Before(lateCallEnd.Add(c.server.config.MessageTimeout))
}

// awaitsFirstCall reports whether no call has been received yet, but the first call may be in transit. The caller
// holds c.mu.
func (c *conn) awaitsFirstCall() bool {
	return !c.callSeen && !c.closing && !c.writeClosed && time.Since(c.openedAt) < drainFirstCallGrace
}
