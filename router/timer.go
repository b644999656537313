package router

import (
	"container/heap"

	"cobaltward/policy"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	balancerTimer  timerKind = iota // requested by the balancer
	backstopTimer                   // a request must be answered now if the balancer has not answered it
	attemptTimer                    // the time of an attempt is up
	levelStepTimer                  // the next step of the levels of service is due
	withheldTimer                   // a withheld answer must not be withheld any longer
	uploadTimer                     // the client of an upload in progress may have waited as long as it waits
)

// timer is an entry in the loop's heap of timers.
type timer struct {
	due     policy.Time
	kind    timerKind
	token   uint64   // set for a balancerTimer
	request *request // set for a backstopTimer and an uploadTimer
	attempt *attempt // set for an attemptTimer
	index   int      // position in the heap, or removedTimer

	withheld *withheldAnswer // set for a withheldTimer
}

// removedTimer is the index of a timer that is not in the heap.
const removedTimer = -1

// timerHeap orders timers by their due times. It implements heap.Interface.
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
	t.index, (*h)[last] = removedTimer, nil
	*h = (*h)[:last]
	return t
}

// pop removes and returns the first timer.
func (h *timerHeap) pop() *timer { return heap.Pop(h).(*timer) }

// remove removes t, unless t was removed before.
func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}
