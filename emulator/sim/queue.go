package sim

import "time"

// heapArity is the number of children of a node in the heap of events.
const heapArity = 4

// eventQueue is a priority queue of events, ordered by time. Events with the same time are ordered by insertion.
type eventQueue struct {
	heap []event
	seq  uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (q *eventQueue) empty() bool { return len(q.heap) == 0 }

// push adds an event that calls do at the given time.
func (q *eventQueue) push(at time.Duration, do func()) {
	q.seq++
	q.heap = append(q.heap, event{at, q.seq, do})
	heap := q.heap
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / heapArity
		if !heap[i].before(&heap[parent]) {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
}

// pop removes and returns the earliest event. The queue must not be empty.
func (q *eventQueue) pop() event {
	heap := q.heap
	first, last := heap[0], len(heap)-1
	heap[0], heap[last] = heap[last], event{}
	heap = heap[:last]
	q.heap = heap
	for i := 0; ; {
		least := i
		firstChild := heapArity*i + 1
		for child := firstChild; child < min(firstChild+heapArity, len(heap)); child++ {
			if heap[child].before(&heap[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}
