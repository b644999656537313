package msgpack

import (
	"slices"
	"time"
)

const (
	// maxQueuedCalls is the maximum number of queued calls of a connection.
	maxQueuedCalls = 512
	// maxQueueShare is the maximum time of a call in the queue, from its arrival, as a share of the time that the client
	// waits. The rest is for the server that runs the call.
	maxQueueShare = 0.5
)

// hasCapacity reports whether the client may have another call, open or queued.
func (c *conn) hasCapacity() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mayStartCall() || len(c.queue) < maxQueuedCalls && !c.server.isQueueFull()
}

// startOrQueue passes call to the engine. The call is queued instead while the client has the maximum number of open
// calls, or while the reader is behind: a cancel notification may be unread. startOrQueue returns false if the call
// must be rejected.
func (c *conn) startOrQueue(call *openCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queueClosed {
		return false
	}
	if len(c.queue) == 0 && c.mayStartCall() {
		if !c.start(call) {
			return false
		}
	} else if !c.enqueue(call) {
		return false
	}
	c.open[call.msgid], c.handlingCall = call, false
	return true
}

// mayStartCall reports whether a call may be passed to the engine now. c.mu is held.
func (c *conn) mayStartCall() bool {
	return c.callSlotsInUse < c.server.config.MaxCalls && !c.readBehind
}

// start passes call to the engine, unless the calls of all connections use the memory that they may use. c.mu is held.
func (c *conn) start(call *openCall) bool {
	if !c.server.admitCall() {
		return false
	}
	c.callSlotsInUse++
	c.running.Go(func() { c.run(call) })
	return true
}

// enqueue adds call to the queue, unless the queue is full or the time of the call in the queue is over. c.mu is held.
func (c *conn) enqueue(call *openCall) bool {
	remaining := c.queueTime(call)
	if remaining <= 0 || len(c.queue) >= maxQueuedCalls || !c.server.admitQueuedCall() {
		return false
	}
	call.queueTimer = time.AfterFunc(remaining, func() { c.rejectQueued(call) })
	c.queue = append(c.queue, call)
	return true
}

// queueTime returns how long call may be queued from now on.
func (c *conn) queueTime(call *openCall) time.Duration {
	share := time.Duration(maxQueueShare * float64(call.req.Timeout))
	return min(c.server.queueTimeout(), share-time.Since(call.req.ReceivedAt))
}

// dequeue removes call from the queue, and reports whether it was queued. c.mu is held.
func (c *conn) dequeue(call *openCall) bool {
	i := slices.Index(c.queue, call)
	if i < 0 {
		return false
	}
	c.queue = slices.Delete(c.queue, i, i+1)
	call.queueTimer.Stop()
	c.server.queuedCalls.Add(-1)
	return true
}

// startQueued passes queued calls to the engine, oldest first, as far as there are slots. c.mu is held.
func (c *conn) startQueued() {
	for len(c.queue) > 0 && c.mayStartCall() {
		call := c.queue[0]
		c.dequeue(call)
		if !c.start(call) {
			c.reject(call)
		}
	}
}

// rejectQueued rejects a call whose time in the queue is over.
func (c *conn) rejectQueued(call *openCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dequeue(call) { // it was neither started nor cancelled
		c.server.queueTimeouts.Add(1)
		c.reject(call)
	}
}

// reject answers a call that was queued and not passed to the engine. c.mu is held.
func (c *conn) reject(call *openCall) {
	c.releaseRequest(&call.req)
	c.pace.CountLocalAnswer()
	c.removeCall(call)
	c.queueAnswer(answer{msgid: call.msgid, reply: c.server.overloadedReply(call.req.Class)})
	c.writeSignal.Notify()
}

// discard ends a call that was queued. The call gets no answer. c.mu is held.
func (c *conn) discard(call *openCall) {
	c.releaseRequest(&call.req)
	c.removeCall(call)
}

// closeQueue discards the queued calls of a client that has disconnected. No further call is started.
func (c *conn) closeQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queueClosed = true
	for len(c.queue) > 0 {
		call := c.queue[0]
		c.dequeue(call)
		c.discard(call)
	}
}

// isQueueFull reports whether the maximum number of queued calls of all connections is reached.
func (s *Server) isQueueFull() bool { return s.queuedCalls.Load() >= int64(s.config.MaxTotalCalls) }

// admitQueuedCall counts another queued call, unless the maximum number for all connections is reached.
func (s *Server) admitQueuedCall() bool {
	if s.queuedCalls.Add(1) > int64(s.config.MaxTotalCalls) {
		s.queuedCalls.Add(-1)
		return false
	}
	return true
}
