package sim

import "time"

// queue holds what is to happen, earliest first; what is to happen at one moment, in the order in which it
// was put in.
type queue struct {
	heap []event
	seq  uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

// put adds an event.
func (q *queue) put(at time.Duration, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	h := q.heap
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 4
		if !h[i].before(&h[up]) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

// take removes the earliest event.
func (q *queue) take() event {
	h := q.heap
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	q.heap = h
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < len(h); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if least == i {
			return first
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
