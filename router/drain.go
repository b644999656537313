package router

import (
	"context"
	"errors"
	"time"

	"cobaltward/drain"
)

// unboundedDrain is the deadline of a drain whose context has none.
const unboundedDrain = 24 * time.Hour

// Drain shuts the router down gracefully, for good. It stops being ready at once, keeps serving for a while
// (WithDrainDelay), has the listeners stop accepting, and waits until no request is open; from then on Do accepts
// nothing. Where ctx ends first, the open requests are answered (Failed where they may have run, else Rejected),
// and Drain returns ctx's error. It can't be cancelled, and takes over from a drain that StartDrain began. A second
// call waits for the same drain; the ctx of the first decides. It returns ErrClosed where Close ends the drain.
func (r *Router) Drain(ctx context.Context) error { return r.DrainAfter(ctx, r.drainDelay(), 0) }

// DrainAfter is Drain with other durations: for announce the router only stops being ready; for leave it then
// still accepts new requests while answers close their client connections.
func (r *Router) DrainAfter(ctx context.Context, announce, leave time.Duration) error {
	order := drain.Order{
		AnnounceFor: announce,
		LeaveFor:    leave,
		Timeout:     unboundedDrain,
		Reason:      "the program is ending",
		RequestedBy: "program",
		Final:       true,
	}
	if end, ok := ctx.Deadline(); ok {
		order.Timeout = max(1, time.Until(end))
	}
	err := r.StartDrain(order)
	if err != nil && !inProgress(err) {
		return err
	}
	return r.awaitDrain(ctx, err == nil)
}

// inProgress reports whether StartDrain has failed since another drain is in progress, or over.
func inProgress(err error) bool {
	var busy *drain.InProgressError
	return errors.As(err, &busy) || errors.Is(err, drain.ErrDrained)
}

// awaitDrain waits for the drain that is in progress. first says that the caller has started it: then the end of
// ctx ends it.
func (r *Router) awaitDrain(ctx context.Context, first bool) error {
	r.drainMu.Lock()
	run, status := r.drainRun, r.drainMachine.Status()
	r.drainMu.Unlock()
	if run == nil {
		return ErrClosed
	}
	select {
	case <-run.done:
		if r.Phase() == Closed && !status.State.Done() {
			return ErrClosed
		}
		if first && r.DrainStatus().State == drain.Forced {
			return context.DeadlineExceeded
		}
		return nil
	case <-ctx.Done():
	}
	if !first {
		return ctx.Err()
	}
	r.forceDrain(run)
	if r.DrainStatus().State == drain.Drained { // it was over at that very moment
		return nil
	}
	return ctx.Err()
}

// forceDrain moves the deadline of a drain to now, and waits for its end.
func (r *Router) forceDrain(run *drainRun) {
	r.drainMu.Lock()
	r.drainMachine.ExpireNow(time.Now())
	r.drainMu.Unlock()
	run.notify()
	<-run.done
}

// StartDrain starts a drain, or changes the one in progress, by the rules of drain.Machine.Start, whose errors it
// returns; or ErrClosed. It does not wait; DrainStatus shows the progress. Order.Announce and Order.Leave of 0 skip
// these states.
func (r *Router) StartDrain(o drain.Order) error {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	if r.Phase() == Closed {
		return ErrClosed
	}
	if err := r.drainMachine.Start(time.Now(), o, r.openWork()); err != nil {
		return err
	}
	if run := r.drainRun; run != nil && !run.isDone() {
		run.notify()
		return nil
	}
	run := newDrainRun()
	r.drainRun = run
	r.applyDrainState(run)
	r.goroutines.Go(func() { r.runDrain(run) })
	return nil
}

// CancelDrain cancels a drain: the router is ready at once, and its DrainableListeners accept clients again. It
// returns the errors of drain.Machine.Cancel, ErrClosed, or those of the listeners that can't resume.
func (r *Router) CancelDrain(who string) error {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	if r.Phase() == Closed {
		return ErrClosed
	}
	if err := r.drainMachine.Cancel(time.Now(), who, r.openWork()); err != nil {
		return err
	}
	run := r.drainRun
	run.cancelled.Store(true)
	run.finish()
	r.loop.drained.Store(false) // here, since the loop may be busy, and cancelling a drain must not wait
	r.resumeServing()
	var err error
	if run.acceptingStopped {
		for _, l := range r.drainableListeners() {
			err = errors.Join(err, l.ResumeAccepting())
		}
	}
	run.notify()
	return err
}

// DrainStatus is the status of the drain in progress, or of the last one.
func (r *Router) DrainStatus() drain.Status {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return r.drainMachine.Status()
}

// DrainEvents returns the kept events after the n-th.
func (r *Router) DrainEvents(n uint64) []drain.Event {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return append([]drain.Event(nil), r.drainMachine.Events(n)...)
}

// ClientConnections is the number of open client connections, and of those with a request in progress, at the
// DrainableListeners.
func (r *Router) ClientConnections() (open, busy int) {
	for _, l := range r.drainableListeners() {
		listenerOpen, listenerBusy := l.Connections()
		open += listenerOpen
		busy += listenerBusy
	}
	return open, busy
}

// pendingFirstRequests is the number of connections whose first request is in progress or may still come.
func (r *Router) pendingFirstRequests() int {
	pending := 0
	for _, l := range r.listeners {
		if first, ok := l.(FirstRequestListener); ok {
			pending += first.PendingFirstRequests()
		}
	}
	return pending
}

func (r *Router) drainableListeners() []DrainableListener {
	var drainable []DrainableListener
	for _, l := range r.listeners {
		if d, ok := l.(DrainableListener); ok {
			drainable = append(drainable, d)
		}
	}
	return drainable
}
