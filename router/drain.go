package router

import (
	"context"
	"errors"
	"time"

	"cobaltward/drain"
)

// unboundedDrain is the timeout of a drain whose context has no deadline.
const unboundedDrain = 24 * time.Hour

// Drain shuts the router down gracefully, for good. The router stops being ready at once, keeps serving for a while
// (WithDrainDelay), makes the listeners stop accepting connections, and waits until no request is open; after that Do
// accepts no request. If ctx ends first, the open requests are answered (Failed if they may have run, otherwise
// Rejected), and Drain returns ctx's error. The drain can't be cancelled, and supersedes one that StartDrain has
// started. A second call waits for the same drain, for which only the ctx of the first call counts. Drain returns
// ErrClosed if Close ends the drain.
func (r *Router) Drain(ctx context.Context) error { return r.DrainAfter(ctx, r.drainDelay(), 0) }

// DrainAfter is Drain with other durations. For announce, the router only stops being ready; then, for leave, it
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

// inProgress reports whether StartDrain failed because another drain is in progress or complete.
func inProgress(err error) bool {
	var busy *drain.InProgressError
	return errors.As(err, &busy) || errors.Is(err, drain.ErrDrained)
}

// awaitDrain waits for the drain in progress. first says that the caller has started it: then the end of ctx ends the
// drain.
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
	if r.DrainStatus().State == drain.Drained { // the drain completed at the same moment
		return nil
	}
	return ctx.Err()
}

// forceDrain moves the deadline of a drain to now, and waits until the drain has ended.
func (r *Router) forceDrain(run *drainRun) {
	r.drainMu.Lock()
	r.drainMachine.ExpireNow(time.Now())
	r.drainMu.Unlock()
	run.notify()
	<-run.done
}

// StartDrain starts a drain, or changes the one in progress, by the rules of drain.Machine.Start, whose errors it
// returns. After Close it returns ErrClosed. It does not wait; DrainStatus shows the progress. If Order.AnnounceFor
// or Order.LeaveFor is 0, the state in question is skipped.
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

// CancelDrain cancels a drain: the router is ready again at once, and its DrainableListeners accept clients again. It
// returns the errors of drain.Machine.Cancel, ErrClosed, or the errors of listeners that can't resume.
func (r *Router) CancelDrain(requestedBy string) error {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	if r.Phase() == Closed {
		return ErrClosed
	}
	if err := r.drainMachine.Cancel(time.Now(), requestedBy, r.openWork()); err != nil {
		return err
	}
	run := r.drainRun
	run.cancelled.Store(true)
	run.finish()
	r.loop.drained.Store(false) // not in the loop, which may be busy: cancelling a drain must not wait
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

// DrainStatus returns the status of the drain in progress, or of the last one.
func (r *Router) DrainStatus() drain.Status {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return r.drainMachine.Status()
}

// DrainEvents returns the retained events after event number n.
func (r *Router) DrainEvents(n uint64) []drain.Event {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return append([]drain.Event(nil), r.drainMachine.Events(n)...)
}

// ClientConnections returns the number of open client connections at the DrainableListeners, and how many of them
// have a request in progress.
func (r *Router) ClientConnections() (open, busy int) {
	for _, l := range r.drainableListeners() {
		listenerOpen, listenerBusy := l.Connections()
		open += listenerOpen
		busy += listenerBusy
	}
	return open, busy
}

// pendingFirstRequests is the number of connections whose first request is in progress or may still arrive.
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
