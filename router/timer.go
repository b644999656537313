package router

import (
	"container/heap"

	"cobaltward/policy"
)

// timerKind is what a timer is for.
type timerKind uint8

const (
	balancerTimer  timerKind = iota // one that the balancer has set
	backstopTimer                   // a request's: it has no answer yet
	attemptTimer                    // an attempt's: its time is up
	levelStepTimer                  // the next step of the levels of service
	withheldTimer                   // a withheld answer's: it waits no longer
)

// timer is one timer of the loop.
type timer struct {
	due     policy.Time
	kind    timerKind
	token   uint64   // of a balancerTimer
	request *request // of a backstopTimer
	attempt *attempt // of an attemptTimer
	index   int      // in the heap; -1 once it is out

	withheld *withheldAnswer // of a withheldTimer
}

// timerHeap orders timers by their time. It implements heap.Interface.
type timerHeap []*timer

var _ heap.Interface = (*timerHeap)(nil)

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].due < h[j].due }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	t.index, (*h)[last] = -1, nil
	*h = (*h)[:last]
	return t
}

// pop removes the first timer.
func (h *timerHeap) pop() *timer { return heap.Pop(h).(*timer) }

// remove takes a timer out, unless it is out.
func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}
