package clustersim

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time. An event with a target runs at the target process.
type event struct {
	at          time.Duration
	seq         uint64 // orders events of the same time
	target      *process
	incarnation int // incarnation of the target that receives the event; 0: any; other incarnations drop the event
	run         func()
}

// eventQueue is a heap of events. The earliest event comes first.
type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by their time, then by their sequence numbers.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap exchanges two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event. Call heap.Push instead.
func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

// Pop removes the last event. Call heap.Pop instead.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules run after a delay. If target isn't nil, run executes only in the target's current incarnation, and
// a pause of the target delays it.
func (s *simulation) after(delay time.Duration, target *process, run func()) {
	incarnation := 0
	if target != nil {
		incarnation = target.incarnation
	}
	s.push(delay, target, incarnation, run)
}

func (s *simulation) push(delay time.Duration, target *process, incarnation int, run func()) {
	s.eventSeq++
	next := event{at: s.now + delay, seq: s.eventSeq, target: target, incarnation: incarnation, run: run}
	heap.Push(&s.events, next)
}

// runEvents runs events in order until an invariant is broken or, after the faults, the last rolling update has
// ended. An update that is still running recoveryTimeout after the faults is a violation. Unless clocks jump,
// runEvents checks after each event of a lease candidate that at most one process holds the lease.
func (s *simulation) runEvents() {
	end := s.cfg.Length + recoveryTimeout
	for len(s.events) > 0 && len(s.result.Violations) == 0 {
		next := heap.Pop(&s.events).(event)
		if next.at > end {
			break
		}
		s.now = max(s.now, next.at)
		if next.target != nil && !s.deliverable(next) {
			continue
		}
		next.run()
		if next.target != nil && next.target.controller != nil && !s.cfg.ClockJumps {
			s.checkLeaseHolders()
		}
		if s.now > s.cfg.Length && s.checkUpdateEnded() {
			return
		}
	}
	if len(s.result.Violations) == 0 && !s.checkUpdateEnded() {
		s.fail("rolling update %s did not end within %v of the last fault; %s",
			s.updateID, recoveryTimeout, s.describeReplicas())
	}
}

// deliverable reports whether an event can run at its target now. If the target is paused, the event is rescheduled
// for the end of the pause.
func (s *simulation) deliverable(next event) bool {
	p := next.target
	if !p.up || next.incarnation != 0 && p.incarnation != next.incarnation {
		return false
	}
	if p.pausedUntil > s.now {
		next.at = p.pausedUntil
		heap.Push(&s.events, next)
		return false
	}
	p.pausedUntil = 0
	return true
}
