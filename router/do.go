package router

import (
	"context"
	"time"

	"cobaltward/policy"
)

// Do routes req and waits for the answer. It waits at most as long as the class of req allows, and not beyond the
// deadline of ctx. The caller must close Answer.Stream if it is not nil.
//
// Do returns an error if there is no answer. After *InvalidError, ErrDrained and ErrClosed, the request was not
// accepted and reached no server. The error of ctx means that ctx ended before the answer. The request may then have
// run, unless ctx had ended before the call.
func (r *Router) Do(ctx context.Context, req Request) (Answer, error) {
	class, err := r.prepare(&req)
	if err != nil {
		return Answer{}, err
	}
	if err := ctx.Err(); err != nil {
		return Answer{}, err
	}
	if err := r.checkPhase(req.Class); err != nil {
		return Answer{}, err
	}
	var own *IDReservation // nil: the caller releases req.Reservation
	if req.Reservation == nil {
		if own = r.ReserveID(req.ID); own == nil {
			return r.RejectDuplicate(req.Class), nil
		}
		req.Reservation = own
	}
	counters := &r.loop.counters
	if !req.Reservation.begin(req.ID, counters) {
		return Answer{}, &InvalidError{"Reservation", "for another ID, released or used before"}
	}
	answer, err := r.submit(ctx, &req, &class)
	if answer.Stream == nil {
		own.Release()
		return answer, err
	}
	answer.Stream = &countedStream{Stream: answer.Stream, counters: counters, class: req.Class, reservation: own}
	return answer, err
}

// checkPhase returns an error if the router has stopped accepting requests. It counts a request of class that is
// rejected for a drain.
func (r *Router) checkPhase(class string) error {
	switch r.Phase() {
	case Drained:
		r.loop.counters.count(class, Overloaded)
		return ErrDrained
	case Closed:
		return ErrClosed
	}
	return nil
}

// prepare validates req, sets its default method, and returns the class that applies to it.
func (r *Router) prepare(req *Request) (policy.Class, error) {
	if err := req.validate(); err != nil {
		return policy.Class{}, err
	}
	class, ok := r.Class(req.Class)
	if !ok {
		return policy.Class{}, &InvalidError{"Class", "unknown"}
	}
	if req.ClassSnapshot != nil {
		class = *req.ClassSnapshot
	}
	if err := req.validateKey(&class); err != nil {
		return policy.Class{}, err
	}
	if req.Method == "" {
		req.Method = Method(class)
	}
	return class, nil
}

// submit passes req to the loop and waits for the answer. The caller has validated req.
func (r *Router) submit(ctx context.Context, req *Request, class *policy.Class) (Answer, error) {
	eventLoop := r.loop
	call := eventLoop.newCall(ctx, req, class)
	select {
	case eventLoop.events <- requestSubmitted{call}:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	case <-eventLoop.done:
		return Answer{}, ErrClosed
	}
	return eventLoop.await(ctx, call)
}

// newCall returns a call for req with the current time as the time of submission. It runs in the goroutine of the
// caller.
func (l *loop) newCall(ctx context.Context, req *Request, class *policy.Class) *call {
	now := l.clock.now()
	call := &call{
		req:         *req,
		class:       *class,
		reservation: req.Reservation,
		submittedAt: now,
		receivedAt:  now,
		timeout:     class.Deadline,
		ctx:         ctx,
		reply:       make(chan Answer, 1),
	}
	if !req.ReceivedAt.IsZero() {
		call.receivedAt = min(now, l.clock.policyTime(req.ReceivedAt))
	}
	if req.Timeout > 0 {
		call.timeout = min(call.timeout, req.Timeout)
	}
	if end, ok := ctx.Deadline(); ok {
		call.timeout = min(call.timeout, l.clock.policyTime(end)-call.receivedAt)
	}
	if req.Upload != nil {
		call.bodyPending = !req.Upload.OnComplete(func(at time.Time) {
			call.bodyReceivedAt.Store(int64(l.clock.policyTime(at)))
			l.send(bodyReceived{call, at})
		})
	}
	return call
}

// await waits for the answer to c. The caller has sent c to the loop. await runs in the goroutine of the caller.
func (l *loop) await(ctx context.Context, c *call) (Answer, error) {
	select {
	case answer := <-c.reply:
		return answer, nil
	case <-ctx.Done():
	case <-l.done:
	}
	c.abandoned.Store(true)
	notified := ctx.Err() != nil && l.send(clientLeft{c})
	select {
	case answer := <-c.reply: // the answer arrived at the same time
		return answer, nil
	default:
	}
	if !notified {
		// Before the loop ends, it answers every call that it has admitted. There is no answer, so the loop has not
		// admitted c.
		return Answer{}, ErrClosed
	}
	return Answer{}, ctx.Err()
}
