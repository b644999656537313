package router

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/drain"
)

const (
	drainPollInterval = 10 * time.Millisecond // at what is left, while a router closes
	// unboundedDrain stands for the deadline of a drain whose context has none.
	unboundedDrain = 24 * time.Hour
)

// drainRun carries one drain out, in a goroutine of its own, from its start to its end or until it is taken back.
type drainRun struct {
	wakeup    chan struct{} // the machine has changed
	done      chan struct{} // closed once the drain is over, or taken back
	cancelled atomic.Bool   // it was taken back: what it still has to say holds no more
	// Of final drains: fronts that have not ended their intake for good. Under the router's mutex.
	shuttingDown     int
	shutdownStarted  bool
	acceptingStopped bool // the intake, in a way that can be taken back
	listeners        sync.WaitGroup
	cancelShutdown   context.CancelFunc // of the fronts' shutdown
}

// Drain takes the router out for good. It is no longer ready at once, serves on as before for a while
// (WithLeave), has the fronts end their intake, and waits until no request is open; from then on Do takes
// nothing. Where ctx ends first, what is still open is answered: what may have run has failed, the rest is
// refused; then Drain returns ctx's error. It can't be taken back, and takes over from a drain that was ordered
// by StartDrain. Who calls it again waits for the same drain; the first one's ctx holds.
func (r *Router) Drain(ctx context.Context) error { return r.DrainAfter(ctx, r.drainDelay(), 0) }

// DrainAfter is Drain with other times: for how long the router only says that it isn't ready, and for how long
// it then still takes what comes while its answers end their connections.
func (r *Router) DrainAfter(ctx context.Context, announce, leave time.Duration) error {
	o := drain.Order{Announce: announce, Leave: leave, For: unboundedDrain, Reason: "the program is ending", Who: "program", Final: true}
	if end, ok := ctx.Deadline(); ok {
		o.For = max(1, time.Until(end))
	}
	err := r.StartDrain(o)
	first := err == nil
	if busy := (*drain.BusyError)(nil); err != nil && !errors.As(err, &busy) && !errors.Is(err, drain.ErrOver) {
		return err
	}
	for {
		r.drainMu.Lock()
		run, status := r.drainRun, r.drainMachine.Status()
		r.drainMu.Unlock()
		if run == nil {
			return ErrClosed
		}
		select {
		case <-run.done:
			if r.Phase() == Closed && !status.State.Over() {
				return ErrClosed
			}
			if s := r.DrainStatus(); s.State == drain.Forced && first {
				return context.DeadlineExceeded
			}
			return nil
		case <-ctx.Done():
			if !first {
				return ctx.Err()
			}
			r.drainMu.Lock()
			r.drainMachine.Cut(time.Now())
			r.drainMu.Unlock()
			run.notify()
			<-run.done
			if r.DrainStatus().State == drain.Drained { // it was through at that very moment
				return nil
			}
			return ctx.Err()
		}
	}
}

// StartDrain begins a drain, or changes the one that goes on, as drain.Machine.Start says. It does not wait;
// WatchDrain tells how it goes on. Order.Announce and Order.Leave of 0 skip those states.
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
	run := &drainRun{wakeup: make(chan struct{}, 1), done: make(chan struct{})}
	r.drainRun = run
	r.applyDrainState(run)
	r.goroutines.Go(func() { r.runDrain(run) })
	return nil
}

// CancelDrain takes a drain back: the router is ready at once, and its fronts that can let clients in again. An
// error says that there is none to take back, or which front could not.
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
	if !run.isDone() {
		close(run.done)
	}
	r.loop.drained.Store(false) // the loop may be busy, and who takes a drain back waits for nobody
	for _, p := range []Phase{Draining, Closing, Drained} {
		r.phase.CompareAndSwap(uint32(p), uint32(Serving))
	}
	var err error
	if run.acceptingStopped {
		for _, f := range r.listeners {
			if in, ok := f.(DrainableListener); ok {
				err = errors.Join(err, in.ResumeAccepting())
			}
		}
	}
	run.notify()
	return err
}

// DrainStatus tells of the drain that goes on, or of the one that is over.
func (r *Router) DrainStatus() drain.Status {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return r.drainMachine.Status()
}

// DrainEvents returns the events after the n-th that are kept.
func (r *Router) DrainEvents(n uint64) []drain.Event {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	return append([]drain.Event(nil), r.drainMachine.Events(n)...)
}

// ClientConnections is the number of the fronts' connections, of those that tell, and of those with a request.
func (r *Router) ClientConnections() (open, busy int) {
	for _, f := range r.listeners {
		if in, ok := f.(DrainableListener); ok {
			o, b := in.Connections()
			open, busy = open+o, busy+b
		}
	}
	return open, busy
}

// openWork is what is left of the work.
func (r *Router) openWork() drain.Counts {
	c := drain.Counts{Open: int(r.loop.openRequests.Load())}
	if run := r.drainRun; run != nil && run.shutdownStarted {
		c.Busy = run.shuttingDown
	} else {
		_, c.Busy = r.ClientConnections()
	}
	return c
}

func (u *drainRun) notify() {
	select {
	case u.wakeup <- struct{}{}:
	default:
	}
}

func (u *drainRun) isDone() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// runDrain drives the machine until the drain is over, or taken back.
func (r *Router) runDrain(u *drainRun) {
	defer u.listeners.Wait()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		r.drainMu.Lock()
		if u.isDone() {
			r.drainMu.Unlock()
			return
		}
		r.drainMachine.Step(time.Now(), r.openWork())
		over := r.applyDrainState(u)
		at, _ := r.drainMachine.Next()
		if r.drainMachine.Status().State == drain.Closing {
			if soon := time.Now().Add(drainPollInterval); soon.Before(at) {
				at = soon
			}
		}
		r.drainMu.Unlock()
		if over {
			r.loop.send(finish{u})
			r.drainMu.Lock()
			if !u.isDone() { // else it was taken back meanwhile
				close(u.done)
			}
			r.drainMu.Unlock()
			return
		}
		wake.Reset(time.Until(at))
		select {
		case <-wake.C:
		case <-u.wakeup:
		case <-r.loop.done:
			r.drainMu.Lock()
			if !u.isDone() {
				close(u.done)
			}
			r.drainMu.Unlock()
			return
		}
	}
}

// applyDrainState does what the machine's state asks for; true once the drain is over. The mutex is held.
func (r *Router) applyDrainState(u *drainRun) (over bool) {
	s := r.drainMachine.Status()
	switch s.State {
	case drain.Announced:
		r.advance(Draining)
	case drain.Leaving:
		r.advance(Closing)
	case drain.Closing:
		r.advance(Closing)
		r.stopListeners(u, s)
	case drain.Drained, drain.Forced:
		r.stopListeners(u, s)
		r.loop.drained.Store(true)
		r.advance(Drained)
		if u.cancelShutdown != nil {
			u.cancelShutdown()
		}
		return true
	}
	return false
}

// stopListeners has the fronts let nothing in any more: for good where the drain is final.
func (r *Router) stopListeners(u *drainRun, s drain.Status) {
	if !s.Final {
		if !u.acceptingStopped {
			u.acceptingStopped = true
			for _, f := range r.listeners {
				if in, ok := f.(DrainableListener); ok {
					in.StopAccepting()
				}
			}
		}
		return
	}
	if u.shutdownStarted {
		return
	}
	u.shutdownStarted, u.shuttingDown = true, len(r.listeners)
	ctx, stop := context.WithDeadline(context.Background(), s.Deadline)
	u.cancelShutdown = stop
	for _, f := range r.listeners {
		u.listeners.Go(func() {
			if err := f.Shutdown(ctx); err != nil && ctx.Err() == nil {
				r.loop.log.Error("a front could not end its intake", "err", err)
			}
			r.drainMu.Lock()
			u.shuttingDown--
			r.drainMu.Unlock()
			u.notify()
		})
	}
}
