package model

import (
	"container/heap"
	"math"
	"time"
)

// job is a running request or the setup of a connection. The setup of a connection has no ID.
type job struct {
	Request
	finishAt  float64 // value of Server.attained at which the job completes
	discarded bool
	heapIndex int
}

// jobHeap is a heap of jobs. Its root is the job that completes next.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// nextEvent returns the time of the next event; ok is false if there is none. If completes is true, a job completes
// at that time; otherwise the server's rate changes.
func (s *Server) nextEvent() (at time.Duration, completes bool, ok bool) {
	if s.down {
		return 0, false, false
	}
	at = min(s.nextPause, s.nextWarmUpdate)
	if s.now < s.pauseEnd {
		return min(s.pauseEnd, at), false, true
	}
	if len(s.running) > 0 {
		// The span is rounded up: an event at the current time would repeat forever. Subtracting 0.01 ns first keeps
		// float rounding errors from adding a nanosecond.
		span := math.Ceil(max(0, s.running[0].finishAt-s.attained)/s.rate()*float64(time.Second) - 0.01)
		if span <= float64(at-s.now) && span < math.MaxInt64/2 {
			return s.now + time.Duration(max(0, span)), true, true
		}
	}
	return at, false, at != math.MaxInt64
}

// Next returns the time of the next event; ok is false if no job is running. The event is the completion of a job, or
// a change of the server's rate. After a change of the rate, Advance returns nothing, and Next returns a later time.
func (s *Server) Next() (at time.Duration, ok bool) {
	at, _, ok = s.nextEvent()
	return at, ok && len(s.running) > 0
}

// Advance moves the server's time to now. It returns the requests that have ended since the last call, in order. The
// slice is valid until the next call.
func (s *Server) Advance(now time.Duration) []Completion {
	s.advance(now)
	s.completed, s.returned = s.returned[:0], s.completed
	return s.returned
}

func (s *Server) advance(now time.Duration) {
	for s.now < now {
		at, completes, ok := s.nextEvent()
		if !ok || at > now {
			at, completes = now, false
		}
		if s.now >= s.pauseEnd {
			share := s.rate() * (at - s.now).Seconds()
			s.attained += share
			s.workDone += share * float64(len(s.running))
		}
		s.now = at
		if at == s.nextWarmUpdate {
			s.updateWarmFraction()
		}
		switch {
		case completes:
			s.completeNext()
		case at == s.nextPause:
			s.startPause()
		}
	}
	for len(s.running) > 0 && s.now >= s.pauseEnd && s.running[0].finishAt <= s.attained { // jobs without remaining work
		s.completeNext()
	}
}

// startPause starts a pause now and schedules the next pause.
func (s *Server) startPause() {
	pause := &s.config.Pause
	perCore := float64(s.InFlight()) / float64(s.config.Cores)
	s.pauseEnd = s.now + time.Duration(float64(pause.Duration)*(1+pause.Growth*perCore))
	s.nextPause = s.pauseEnd + pause.Interval
}

// completeNext completes the running job with the least work left.
func (s *Server) completeNext() {
	j := heap.Pop(&s.running).(*job)
	s.attained = max(s.attained, j.finishAt)
	if j.ID != "" {
		delete(s.jobs, j.ID)
		s.completed = append(s.completed, Completion{ID: j.ID, At: s.now, Discarded: j.discarded})
	}
	if len(s.running) == 0 {
		s.attained = 0 // small amounts of work would be lost in the rounding of a large sum
	}
	s.startQueued()
}
