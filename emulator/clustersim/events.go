package clustersim

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time of the simulation, at a process or at none.
type event struct {
	at          time.Duration
	seq         uint64 // orders events of the same time
	target      *process
	incarnation int // of the target: with another one the event is dropped; 0: any
	run         func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by their time, then by their sequence numbers.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event; use heap.Push.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop removes the last event; use heap.Pop.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after runs a function after a delay. With a target it runs at that process, in its present incarnation, and not
// while the process is paused.
func (w *world) after(delay time.Duration, target *process, run func()) {
	incarnation := 0
	if target != nil {
		incarnation = target.incarnation
	}
	w.push(delay, target, incarnation, run)
}

func (w *world) push(delay time.Duration, target *process, incarnation int, run func()) {
	w.eventSeq++
	next := event{at: w.now + delay, seq: w.eventSeq, target: target, incarnation: incarnation, run: run}
	heap.Push(&w.events, next)
}

// runEvents runs events in order until an invariant is broken, or the faults are over and the last rolling update has
// ended. Between events it checks that at most one process holds the lease.
func (w *world) runEvents() {
	end := w.cfg.Length + recoveryTimeout
	for len(w.events) > 0 && len(w.result.Violations) == 0 {
		next := heap.Pop(&w.events).(event)
		if next.at > end {
			break
		}
		w.now = max(w.now, next.at)
		if next.target != nil && !w.deliverable(next) {
			continue
		}
		next.run()
		if next.target != nil && next.target.controller != nil && !w.cfg.ClockJumps {
			w.checkLeaseHolders()
		}
		if w.now > w.cfg.Length && w.updateEnded() {
			return
		}
	}
	if len(w.result.Violations) == 0 && !w.updateEnded() {
		w.fail("rolling update %s did not end within %v of the last fault; %s",
			w.updateID, recoveryTimeout, w.describeReplicas())
	}
}

// deliverable reports whether an event can run at its target now. Where the target is paused, the event is put off
// until the end of the pause.
func (w *world) deliverable(next event) bool {
	p := next.target
	if !p.up || next.incarnation != 0 && p.incarnation != next.incarnation {
		return false
	}
	if p.pausedUntil > w.now {
		next.at = p.pausedUntil
		heap.Push(&w.events, next)
		return false
	}
	p.pausedUntil = 0
	return true
}
