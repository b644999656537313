package msgpack

import (
	"bytes"
	"context"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

// openCall is a call that has arrived and is neither answered nor cancelled.
type openCall struct {
	msgid      uint32
	ctx        context.Context // ends when the call is cancelled or its connection ends
	cancel     context.CancelFunc
	req        router.Request
	queueTimer *time.Timer // ends the time of the call in the queue; nil: the call was never queued
}

func newOpenCall(ctx context.Context, msgid uint32, req *router.Request) *openCall {
	ctx, cancel := context.WithCancel(ctx)
	return &openCall{msgid: msgid, ctx: ctx, cancel: cancel, req: *req}
}

// cancel cancels the open call with the msgid id, and reports whether there is one. A queued call is not started.
func (c *conn) cancel(id uint32) bool {
	c.mu.Lock()
	call := c.open[id]
	if call == nil {
		c.mu.Unlock()
		return false
	}
	call.cancel()
	wasQueued := c.dequeue(call)
	if wasQueued {
		c.discard(call)
	}
	c.mu.Unlock()
	if wasQueued {
		c.pace.CountLocalAnswer()
		c.notifyCallEnded()
	}
	return true
}

// startCall passes a call to the engine, queues it, or answers it directly.
func (c *conn) startCall(ctx context.Context, message msgpackrpc.Message) error {
	admission := c.register(message.ID)
	if admission == callDuplicate || admission == callTooLate {
		return c.handleUnansweredCall(admission)
	}
	c.server.calls.Add(1)
	req, reply := c.parseRequest(message, c.arrivalTimes.Earliest())
	if reply.Code == "" {
		reply = c.admit(ctx, message.ID, &req, admission)
	}
	if reply.Code != "" {
		c.answerLocally(answer{msgid: message.ID, reply: reply})
	}
	return nil
}

// admit starts or queues the call req with the given msgid, or returns the reply that rejects it.
func (c *conn) admit(
	ctx context.Context, msgid uint32, req *router.Request, admission callAdmission,
) msgpackrpc.Reply {
	switch {
	case admission == callRejectedByEviction:
		return c.server.overloadedReply(req.Class)
	case admission == callRejectedByDrain: // the drain notification was sent before the call arrived
		return msgpackrpc.Reply{Code: msgpackrpc.Overloaded, Text: "the node is draining"}
	case c.server.rejectsOverflow(c), !c.hasCapacity(), !c.server.reserveBody(len(req.Body)):
		return c.server.overloadedReply(req.Class)
	}
	if reply := c.reserveID(req); reply.Code != "" {
		c.server.releaseBody(len(req.Body))
		return reply
	}
	req.MayHaveLeft = c.mayHaveLeft
	req.Body = bytes.Clone(req.Body) // the message is valid until the next one is read
	call := newOpenCall(ctx, msgid, req)
	if c.startOrQueue(call) {
		return msgpackrpc.Reply{}
	}
	call.cancel()
	c.releaseRequest(&call.req)
	return c.server.overloadedReply(req.Class)
}

// releaseRequest releases the ID and the body of a call that was not passed to the engine.
func (c *conn) releaseRequest(req *router.Request) {
	req.Reservation.Release()
	c.server.releaseBody(len(req.Body))
}

// admitCall counts another call that is passed to the engine, unless the calls of all connections use the memory that
// they may use. releaseCall must follow.
func (s *Server) admitCall() bool {
	if s.totalCalls.Add(1) > int64(s.config.MaxTotalCalls) {
		s.totalCalls.Add(-1)
		return false
	}
	return true
}

// releaseCall ends the count of a call that admitCall has admitted, and releases its body.
func (s *Server) releaseCall(bodySize int) {
	s.totalCalls.Add(-1)
	s.releaseBody(bodySize)
}

// reserveBody reserves memory for the body of a call. releaseBody or releaseCall must follow.
func (s *Server) reserveBody(size int) bool {
	return s.config.Bodies == nil || s.config.Bodies.Reserve(size)
}

func (s *Server) releaseBody(size int) {
	if s.config.Bodies != nil {
		s.config.Bodies.Release(size)
	}
}

// idReserver is an optional interface of an Engine. *router.Router implements it.
type idReserver interface {
	ReserveID(id string) *router.IDReservation
	RejectDuplicate(class string) router.Answer
}

// reserveID marks the ID of req as in use until its answer is sent. If the ID must not be used, reserveID returns
// the reply that rejects the call.
func (c *conn) reserveID(req *router.Request) msgpackrpc.Reply {
	reserver, ok := c.server.engine.(idReserver)
	if !ok || !router.ValidID(req.ID) { // the engine rejects an invalid ID
		return msgpackrpc.Reply{}
	}
	req.Reservation = reserver.ReserveID(req.ID)
	if req.Reservation == nil {
		return ReplyFromAnswer(reserver.RejectDuplicate(req.Class), nil)
	}
	return msgpackrpc.Reply{}
}

// run passes call to the engine, and ends it.
func (c *conn) run(call *openCall) {
	req := &call.req
	result, err := c.server.engine.Do(call.ctx, *req)
	if err != nil || result.Outcome != router.Served {
		c.pace.CountLocalAnswer()
	}
	if err != nil { // the client reads no answer of a server
		req.Reservation.Release()
	}
	if err != nil && call.ctx.Err() != nil {
		c.finishCancelled(call)
		return
	}
	c.finishCall(call, answer{
		msgid: call.msgid, reply: ReplyFromAnswer(result, err), reservation: req.Reservation, admitted: true,
		bodySize: len(req.Body),
	})
}

// callAdmission is the server's decision on a call that has arrived.
type callAdmission uint8

const (
	callAdmitted           callAdmission = iota
	callRejectedByDrain                  // a drain has begun: the answer is Overloaded
	callRejectedByEviction               // the connection is being evicted: the answer is Overloaded
	callDuplicate                        // protocol violation: the msgid is in use
	callTooLate                          // the write side is closed: the call is neither run nor answered
)

// register decides how to treat a call with the msgid id. Until the call is started, queued or answered, the
// connection is not idle. A drain admits the first call of a connection, because the client could not know of the
// drain.
func (c *conn) register(id uint32) callAdmission {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed:
		return callTooLate
	case c.open[id] != nil:
		return callDuplicate
	}
	c.handlingCall = true
	first := !c.callSeen
	c.callSeen = true
	switch {
	case c.evicted:
		return callRejectedByEviction
	case c.draining && !first:
		return callRejectedByDrain
	}
	return callAdmitted
}

// handleUnansweredCall handles a call that is neither run nor answered. It returns an error if the client violated
// the protocol.
func (c *conn) handleUnansweredCall(admission callAdmission) error {
	if admission == callDuplicate {
		return &msgpackrpc.ProtocolError{Problem: "duplicate msgid"}
	}
	c.countLostCall()
	return nil
}

// finishCall ends call, which was passed to the engine, and queues its answer. The writer releases the reservation once
// the answer is sent.
func (c *conn) finishCall(call *openCall, queued answer) {
	c.mu.Lock()
	c.removeCall(call)
	c.queueAnswer(queued)
	c.mu.Unlock()
	c.writeSignal.Notify()
}

// answerLocally queues the answer to a call that was registered, and neither started nor queued.
func (c *conn) answerLocally(queued answer) {
	c.pace.CountLocalAnswer()
	c.mu.Lock()
	c.handlingCall = false
	c.idleSince = time.Now()
	c.queueAnswer(queued)
	c.mu.Unlock()
	c.writeSignal.Notify()
}

// queueAnswer queues an answer. c.mu is held.
func (c *conn) queueAnswer(queued answer) {
	if !queued.admitted {
		c.unwrittenLocal.Add(1)
	}
	c.unwrittenAnswers++
	c.queuedAnswers = append(c.queuedAnswers, queued)
}

// finishCancelled ends a call that was passed to the engine. The call gets no answer, because the client no longer
// waits.
func (c *conn) finishCancelled(call *openCall) {
	c.server.releaseCall(len(call.req.Body))
	c.mu.Lock()
	c.removeCall(call)
	c.callSlotsInUse--
	c.startQueued()
	c.mu.Unlock()
	c.notifyCallEnded()
}

// notifyCallEnded tells the writer and the server that a call has ended without an answer. The writer may be waiting
// for the last call, and the server for an idle connection.
func (c *conn) notifyCallEnded() {
	c.writeSignal.Notify()
	c.server.connIdle()
}

// removeCall removes call from the open calls. c.mu is held.
func (c *conn) removeCall(call *openCall) {
	delete(c.open, call.msgid)
	c.idleSince = time.Now()
	call.cancel()
}
