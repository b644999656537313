package router

import (
	"context"
	"errors"
	"time"

	"cobaltward/drain"
)

// unboundedDrain is the timeout of a drain whose context has no deadline.
const unboundedDrain = 24 * time.Hour

// Drain shuts the router down gracefully, for good. The router stops being ready at once, but keeps serving for the
// drain delay. Then its listeners stop accepting connections, and Drain waits until no request is open. Do accepts no
// request after that. WithDrainDelay sets the drain delay.
//
// If ctx ends first, the open requests are answered, and Drain returns the error of ctx. The answer is Failed if the
// request may have run, and Rejected otherwise. Drain returns ErrClosed if Close ends the drain.
//
// The drain cannot be cancelled, and replaces a drain that StartDrain has started. A second call waits for the same
// drain; only the ctx of the first call limits the drain.
func (r *Router) Drain(ctx context.Context) error { return r.DrainAfter(ctx, r.drainDelay(), 0) }

// DrainAfter is Drain with other durations. For the duration announce, the router only stops being ready. Then, for
// the duration leave, it still accepts new requests, but client connections close after their next answer.
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

// inProgress reports whether err is the error of StartDrain for a drain that is already in progress or complete.
func inProgress(err error) bool {
	var busy *drain.InProgressError
	return errors.As(err, &busy) || errors.Is(err, drain.ErrDrained)
}

// awaitDrain waits for the drain in progress. first is true if the caller has started the drain. If first is true,
// the end of ctx ends the drain.
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

// forceDrain moves the deadline of the drain to now, and waits until run has ended.
func (r *Router) forceDrain(run *drainRun) {
	r.drainMu.Lock()
	r.drainMachine.ExpireNow(time.Now())
	r.drainMu.Unlock()
	run.notify()
	<-run.done
}

// StartDrain starts a drain by the order o, or changes the drain in progress. drain.Machine.Start defines the rules
// and the errors. If o.AnnounceFor or o.LeaveFor is 0, the corresponding state is skipped. StartDrain does not wait;
// DrainStatus shows the progress. After Close it returns ErrClosed.
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

// CancelDrain cancels a drain at the request of requestedBy. The router is ready again at once, and its
// DrainableListeners accept clients again. CancelDrain returns the errors of drain.Machine.Cancel, ErrClosed, or the
// errors of listeners that cannot resume.
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
	r.loop.drained.Store(false) // set here, because CancelDrain must not wait for a busy loop
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

// DrainStatus returns the status of the drain in progress, or of the last drain.
func (r *Router) DrainStatus() drain.Status {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return r.drainMachine.Status()
}

// DrainEvents returns the retained events with a number greater than n, oldest first.
func (r *Router) DrainEvents(n uint64) []drain.Event {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return append([]drain.Event(nil), r.drainMachine.Events(n)...)
}

// ClientConnections returns the number of open client connections of all DrainableListeners. busy is the number of
// connections with a request in progress.
func (r *Router) ClientConnections() (open, busy int) {
	for _, l := range r.drainableListeners() {
		listenerOpen, listenerBusy := l.Connections()
		open += listenerOpen
		busy += listenerBusy
	}
	return open, busy
}

// pendingFirstRequests returns the sum of PendingFirstRequests over all listeners that implement
// FirstRequestListener.
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
