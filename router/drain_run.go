package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/drain"
)

// drainPollInterval is the time between two counts of the remaining work while the router is closing.
const drainPollInterval = 10 * time.Millisecond

// drainRun is one drain, from its start until it is over or cancelled. A goroutine runs Router.runDrain for it;
// Router.Close waits for the goroutine.
type drainRun struct {
	wakeup    chan struct{} // signals a change of the drain machine; buffered for one signal
	done      chan struct{} // closed once the drain is over or cancelled
	cancelled atomic.Bool   // whether the drain was cancelled; the loop then ignores its drainEnded event

	// Router.drainMu guards the four fields below. The first three are used only in final drains.
	shutdownStarted  bool
	shuttingDown     int                // listeners whose Shutdown has not returned
	cancelShutdown   context.CancelFunc // ends the context of the Shutdown calls
	acceptingStopped bool               // whether StopAccepting was called, which ResumeAccepting can undo

	listeners sync.WaitGroup // goroutines that call Listener.Shutdown
}

func newDrainRun() *drainRun {
	return &drainRun{wakeup: make(chan struct{}, 1), done: make(chan struct{})}
}

// notify wakes runDrain, which then steps the machine. It does not block.
func (d *drainRun) notify() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// isDone reports whether the drain is over or cancelled.
func (d *drainRun) isDone() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// finish closes done, unless done is closed already. The caller holds Router.drainMu.
func (d *drainRun) finish() {
	if !d.isDone() {
		close(d.done)
	}
}

// runDrain steps the drain machine until the drain run is over or cancelled.
func (r *Router) runDrain(run *drainRun) {
	defer run.listeners.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		next, over := r.stepDrain(run)
		if run.isDone() {
			return
		}
		if over {
			r.loop.send(drainEnded{run})
			r.endDrainRun(run)
			return
		}
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-run.wakeup:
		case <-r.loop.done:
			r.endDrainRun(run)
			return
		}
	}
}

// endDrainRun ends run. It does nothing if run has already ended because the drain was cancelled.
func (r *Router) endDrainRun(run *drainRun) {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	run.finish()
}

// stepDrain steps the machine and applies its state, unless run has ended. next is the time of the next step. over
// reports whether the drain is over.
func (r *Router) stepDrain(run *drainRun) (next time.Time, over bool) {
	r.drainMu.Lock()
	defer r.drainMu.Unlock()
	if run.isDone() {
		return time.Time{}, false
	}
	r.drainMachine.Step(time.Now(), r.openWork())
	over = r.applyDrainState(run)
	next, _ = r.drainMachine.Next()
	if r.drainMachine.Status().State == drain.Closing {
		if poll := time.Now().Add(drainPollInterval); poll.Before(next) {
			next = poll
		}
	}
	return next, over
}

// openWork counts the remaining work. In a final drain, each listener counts as work until its Shutdown has returned,
// because the operating system may have accepted connections that the listener has not seen yet. The caller holds
// drainMu.
func (r *Router) openWork() drain.Counts {
	counts := drain.Counts{OpenRequests: int(r.loop.openRequests.Load())}
	switch run := r.drainRun; {
	case run != nil && run.shutdownStarted:
		counts.BusyConns = run.shuttingDown
	case r.drainMachine.Status().Final:
		counts.BusyConns = len(r.listeners)
	default:
		_, counts.BusyConns = r.ClientConnections()
		counts.BusyConns += r.pendingFirstRequests()
	}
	return counts
}

// applyDrainState advances the phase of the router, and stops the listeners, as the state of the drain machine
// requires. over reports whether the drain is over. The caller holds drainMu.
func (r *Router) applyDrainState(run *drainRun) (over bool) {
	status := r.drainMachine.Status()
	switch status.State {
	case drain.Announced:
		r.advancePhase(Draining)
	case drain.Leaving:
		r.advancePhase(Closing)
	case drain.Closing:
		r.advancePhase(Closing)
		r.stopListeners(run, status)
	case drain.Drained, drain.Forced:
		r.stopListeners(run, status)
		r.loop.drained.Store(true)
		r.advancePhase(Drained)
		if run.cancelShutdown != nil {
			run.cancelShutdown()
		}
		return true
	}
	return false
}

// stopListeners makes the listeners stop accepting connections, for good if the drain is final. It calls Shutdown at
// most once in a final drain, and StopAccepting at most once in any other drain. The caller holds drainMu.
func (r *Router) stopListeners(run *drainRun, status drain.Status) {
	switch {
	case status.Final && !run.shutdownStarted:
		run.shutdownStarted = true
		r.shutDownListeners(run, status.Deadline)
	case !status.Final && !run.acceptingStopped:
		run.acceptingStopped = true
		for _, l := range r.drainableListeners() {
			l.StopAccepting()
		}
	}
}

// shutDownListeners calls the Shutdown of each listener in a goroutine. The context of Shutdown ends at deadline or
// when the drain is over. runDrain waits for the goroutines. The caller holds drainMu.
func (r *Router) shutDownListeners(run *drainRun, deadline time.Time) {
	run.shuttingDown = len(r.listeners)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	run.cancelShutdown = cancel
	for _, l := range r.listeners {
		run.listeners.Go(func() {
			if err := l.Shutdown(ctx); err != nil && ctx.Err() == nil {
				r.loop.log.Error("listener shutdown failed", "err", err)
			}
			r.drainMu.Lock()
			run.shuttingDown--
			r.drainMu.Unlock()
			run.notify()
		})
	}
}
