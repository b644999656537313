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
	lookEvery = 10 * time.Millisecond // at what is left, while a router closes
	// withoutDeadline stands for the deadline of a drain whose context has none.
	withoutDeadline = 24 * time.Hour
)

// runner carries one drain out, in a goroutine of its own, from its start to its end or until it is taken back.
type runner struct {
	poke chan struct{} // the machine has changed
	done chan struct{} // closed once the drain is over, or taken back
	back atomic.Bool   // it was taken back: what it still has to say holds no more
	// Of final drains: fronts that have not ended their intake for good. Under the router's mutex.
	shutting int
	shut     bool
	ended    bool // the intake, in a way that can be taken back
	fronts   sync.WaitGroup
	stop     context.CancelFunc // of the fronts' shutdown
}

// Drain takes the router out for good. It is no longer ready at once, serves on as before for a while
// (WithLeave), has the fronts end their intake, and waits until no request is open; from then on Do takes
// nothing. Where ctx ends first, what is still open is answered: what may have run has failed, the rest is
// refused; then Drain returns ctx's error. It can't be taken back, and takes over from a drain that was ordered
// by StartDrain. Who calls it again waits for the same drain; the first one's ctx holds.
func (r *Router) Drain(ctx context.Context) error { return r.DrainAfter(ctx, r.leave(), 0) }

// DrainAfter is Drain with other times: for how long the router only says that it isn't ready, and for how long
// it then still takes what comes while its answers end their connections.
func (r *Router) DrainAfter(ctx context.Context, announce, leave time.Duration) error {
	o := drain.Order{Announce: announce, Leave: leave, For: withoutDeadline, Reason: "the program is ending", Who: "program", Final: true}
	if end, ok := ctx.Deadline(); ok {
		o.For = max(1, time.Until(end))
	}
	err := r.StartDrain(o)
	first := err == nil
	if busy := (*drain.BusyError)(nil); err != nil && !errors.As(err, &busy) && !errors.Is(err, drain.ErrOver) {
		return err
	}
	for {
		r.mu.Lock()
		run, status := r.runner, r.machine.Status()
		r.mu.Unlock()
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
			r.mu.Lock()
			r.machine.Cut(time.Now())
			r.mu.Unlock()
			run.wake()
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
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Phase() == Closed {
		return ErrClosed
	}
	if err := r.machine.Start(time.Now(), o, r.counts()); err != nil {
		return err
	}
	if run := r.runner; run != nil && !run.isDone() {
		run.wake()
		return nil
	}
	run := &runner{poke: make(chan struct{}, 1), done: make(chan struct{})}
	r.runner = run
	r.carry(run)
	r.parts.Go(func() { r.run(run) })
	return nil
}

// CancelDrain takes a drain back: the router is ready at once, and its fronts that can let clients in again. An
// error says that there is none to take back, or which front could not.
func (r *Router) CancelDrain(who string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Phase() == Closed {
		return ErrClosed
	}
	if err := r.machine.Cancel(time.Now(), who, r.counts()); err != nil {
		return err
	}
	run := r.runner
	run.back.Store(true)
	if !run.isDone() {
		close(run.done)
	}
	r.loop.drained.Store(false) // the loop may be busy, and who takes a drain back waits for nobody
	for _, p := range []Phase{Leaving, Closing, Drained} {
		r.phase.CompareAndSwap(uint32(p), uint32(Serving))
	}
	var err error
	if run.ended {
		for _, f := range r.fronts {
			if in, ok := f.(DrainableListener); ok {
				err = errors.Join(err, in.ResumeAccepting())
			}
		}
	}
	run.wake()
	return err
}

// DrainStatus tells of the drain that goes on, or of the one that is over.
func (r *Router) DrainStatus() drain.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Status()
}

// DrainEvents returns the events after the n-th that are kept.
func (r *Router) DrainEvents(n uint64) []drain.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]drain.Event(nil), r.machine.Events(n)...)
}

// Clients is the number of the fronts' connections, of those that tell, and of those with a request.
func (r *Router) Clients() (open, busy int) {
	for _, f := range r.fronts {
		if in, ok := f.(DrainableListener); ok {
			o, b := in.Connections()
			open, busy = open+o, busy+b
		}
	}
	return open, busy
}

// counts is what is left of the work.
func (r *Router) counts() drain.Counts {
	c := drain.Counts{Open: int(r.loop.open.Load())}
	if run := r.runner; run != nil && run.shut {
		c.Busy = run.shutting
	} else {
		_, c.Busy = r.Clients()
	}
	return c
}

func (u *runner) wake() {
	select {
	case u.poke <- struct{}{}:
	default:
	}
}

func (u *runner) isDone() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// run drives the machine until the drain is over, or taken back.
func (r *Router) run(u *runner) {
	defer u.fronts.Wait()
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		r.mu.Lock()
		if u.isDone() {
			r.mu.Unlock()
			return
		}
		r.machine.Step(time.Now(), r.counts())
		over := r.carry(u)
		at, _ := r.machine.Next()
		if r.machine.Status().State == drain.Closing {
			if soon := time.Now().Add(lookEvery); soon.Before(at) {
				at = soon
			}
		}
		r.mu.Unlock()
		if over {
			r.loop.send(finish{u})
			r.mu.Lock()
			if !u.isDone() { // else it was taken back meanwhile
				close(u.done)
			}
			r.mu.Unlock()
			return
		}
		wake.Reset(time.Until(at))
		select {
		case <-wake.C:
		case <-u.poke:
		case <-r.loop.done:
			r.mu.Lock()
			if !u.isDone() {
				close(u.done)
			}
			r.mu.Unlock()
			return
		}
	}
}

// carry does what the machine's state asks for; true once the drain is over. The mutex is held.
func (r *Router) carry(u *runner) (over bool) {
	s := r.machine.Status()
	switch s.State {
	case drain.Announced:
		r.advance(Leaving)
	case drain.Leaving:
		r.advance(Closing)
	case drain.Closing:
		r.advance(Closing)
		r.endIntake(u, s)
	case drain.Drained, drain.Forced:
		r.endIntake(u, s)
		r.loop.drained.Store(true)
		r.advance(Drained)
		if u.stop != nil {
			u.stop()
		}
		return true
	}
	return false
}

// endIntake has the fronts let nothing in any more: for good where the drain is final.
func (r *Router) endIntake(u *runner, s drain.Status) {
	if !s.Final {
		if !u.ended {
			u.ended = true
			for _, f := range r.fronts {
				if in, ok := f.(DrainableListener); ok {
					in.StopAccepting()
				}
			}
		}
		return
	}
	if u.shut {
		return
	}
	u.shut, u.shutting = true, len(r.fronts)
	ctx, stop := context.WithDeadline(context.Background(), s.Deadline)
	u.stop = stop
	for _, f := range r.fronts {
		u.fronts.Go(func() {
			if err := f.Shutdown(ctx); err != nil && ctx.Err() == nil {
				r.loop.log.Error("a front could not end its intake", "err", err)
			}
			r.mu.Lock()
			u.shutting--
			r.mu.Unlock()
			u.wake()
		})
	}
}
