package router

import (
	"container/heap"
	"sync"
	"time"
)

// maxWithheld bounds the time for which a rejection is withheld: a write to a server that does not read may take long.
const maxWithheld = 200 * time.Millisecond

// withheldAnswer is a rejection that waits until no attempt of its request is being written.
type withheldAnswer struct {
	call    *call
	answer  Answer
	deliver func(*call, Answer) // safe for concurrent use

	mu        sync.Mutex
	writes    int // in progress
	counting  bool
	delivered bool
}

// deliverAfterWrites delivers the answer of a request that is finished. A rejection waits until no attempt is being
// written; none begins after that, since the attempts are abandoned. Where a write has not ended in time, the answer is
// a failure.
func (l *loop) deliverAfterWrites(r *request, answer Answer) {
	if answer.Outcome != Rejected && answer.Outcome != Overloaded {
		l.deliver(r.call, answer)
		return
	}
	withheld := &withheldAnswer{call: r.call, answer: answer, deliver: l.deliver, counting: true}
	for _, a := range r.attempts {
		withheld.await(&a.ctx) // also of an attempt that is over: a transport may write on a connection that is shared
	}
	if withheld.counted() {
		l.expireLater(withheld, r)
	}
}

// expireLater sets the timer of a withheld answer: maxWithheld ahead, and not after the time of the backstop, which
// leaves the answer its way to the client.
func (l *loop) expireLater(withheld *withheldAnswer, r *request) {
	now := l.clock.now()
	l.withheld[withheld] = struct{}{}
	heap.Push(&l.timers, &timer{
		kind:     withheldTimer,
		due:      min(now+maxWithheld, max(now, r.backstop.due)),
		withheld: withheld,
	})
}

// expireWithheld ends the wait of an answer.
func (l *loop) expireWithheld(withheld *withheldAnswer) {
	delete(l.withheld, withheld)
	withheld.expire()
}

// expireAllWithheld ends the waits of all answers, at the end of the loop.
func (l *loop) expireAllWithheld() {
	for withheld := range l.withheld {
		l.expireWithheld(withheld)
	}
}

// await has the answer wait for the write in progress of an attempt, if there is one.
func (w *withheldAnswer) await(ctx *attemptContext) {
	w.mu.Lock()
	w.writes++
	w.mu.Unlock()
	if !ctx.runAfterWrite(w.writeEnded) {
		w.writeEnded()
	}
}

// counted ends the counting of writes, and reports whether the answer has to wait for one.
func (w *withheldAnswer) counted() (waits bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counting = false
	if w.writes == 0 {
		w.deliverLocked()
	}
	return w.writes > 0
}

// writeEnded delivers the answer with the last write.
func (w *withheldAnswer) writeEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes--
	if w.writes == 0 && !w.counting {
		w.deliverLocked()
	}
}

// expire answers while a write is in progress: the server may yet get the rest of it, so that a rejection would promise
// too much.
func (w *withheldAnswer) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = Answer{Outcome: Failed}
	w.deliverLocked()
}

func (w *withheldAnswer) deliverLocked() {
	if w.delivered {
		return
	}
	w.delivered = true
	w.deliver(w.call, w.answer)
}
