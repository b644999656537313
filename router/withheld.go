package router

import (
	"container/heap"
	"sync"
	"time"
)

// maxWithheld is the longest time for which a rejection is withheld: a write to a server that does not read may take
// long.
const maxWithheld = 200 * time.Millisecond

// withheldAnswer is a rejection that is delivered once no attempt of its request is being written.
type withheldAnswer struct {
	call    *call
	answer  Answer
	deliver func(*call, Answer) // safe for concurrent use

	mu        sync.Mutex
	writes    int // number of writes in progress
	counting  bool
	delivered bool
}

// deliverAfterWrites delivers the answer to a finished request. A rejection waits until no attempt is being written;
// no write begins after that, because the attempts are abandoned. If a write does not end in time, the answer is
// Failed.
func (l *loop) deliverAfterWrites(r *request, answer Answer) {
	if answer.Outcome != Rejected && answer.Outcome != Overloaded {
		l.deliver(r.call, answer)
		return
	}
	withheld := &withheldAnswer{call: r.call, answer: answer, deliver: l.deliver, counting: true}
	for _, a := range r.attempts {
		withheld.await(&a.ctx) // ended attempts too: a transport may still write them on a shared connection
	}
	if withheld.finishCounting() {
		l.expireLater(withheld, r)
	}
}

// expireLater sets the timer of a withheld answer: at most maxWithheld ahead, and not after the time of the backstop,
// so that the answer still reaches the client in time.
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

// expireAllWithheld ends the waits of all answers, when the loop ends.
func (l *loop) expireAllWithheld() {
	for withheld := range l.withheld {
		l.expireWithheld(withheld)
	}
}

// await makes the answer wait for the write in progress of an attempt, if there is one.
func (w *withheldAnswer) await(ctx *attemptContext) {
	w.mu.Lock()
	w.writes++
	w.mu.Unlock()
	if !ctx.runAfterWrite(w.writeEnded) {
		w.writeEnded()
	}
}

// finishCounting ends the counting of writes, and reports whether the answer has to wait for one. If not, it delivers
// the answer.
func (w *withheldAnswer) finishCounting() (waits bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counting = false
	if w.writes == 0 {
		w.deliverLocked()
	}
	return w.writes > 0
}

// writeEnded records the end of a write, and delivers the answer after the last one.
func (w *withheldAnswer) writeEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes--
	if w.writes == 0 && !w.counting {
		w.deliverLocked()
	}
}

// expire delivers Failed while a write is in progress: the server may still receive the rest of it, so a rejection
// would wrongly promise that the request does not run.
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
