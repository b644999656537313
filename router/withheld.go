package router

import (
	"container/heap"
	"sync"
	"time"
)

// maxWithheld is the maximum time for which a rejection is withheld. A write to a server that does not read may take
// longer.
const maxWithheld = 200 * time.Millisecond

// withheldAnswer is a rejection that is delivered once no attempt of its request is being written.
type withheldAnswer struct {
	call    *call
	answer  Answer
	deliver func(*call, Answer) // safe for concurrent use

	mu        sync.Mutex
	writes    int  // writes in progress
	counting  bool // true until finishCounting
	delivered bool
}

// deliverAfterWrites delivers answer to r. r must be finished. A rejection waits until no attempt is being written.
// No further write begins, because the attempts are abandoned. If a write does not end before the timer of
// expireLater, the answer is Failed.
func (l *loop) deliverAfterWrites(r *request, answer Answer) {
	if answer.Outcome != Rejected && answer.Outcome != Overloaded {
		l.deliver(r.call, answer)
		return
	}
	withheld := &withheldAnswer{call: r.call, answer: answer, deliver: l.deliver, counting: true}
	for _, a := range r.attempts {
		withheld.await(&a.ctx) // ended attempts count too, because a shared connection may still write them
	}
	if withheld.finishCounting() {
		l.expireLater(withheld, r)
	}
}

// expireLater sets the timer of withheld. The timer is due after maxWithheld, or at the time of the backstop if the
// backstop is earlier. The backstop comes before the client's deadline, so the client still gets an answer before its
// deadline.
func (l *loop) expireLater(withheld *withheldAnswer, r *request) {
	now := l.clock.now()
	l.withheld[withheld] = struct{}{}
	heap.Push(&l.timers, &timer{
		kind:     withheldTimer,
		due:      min(now+maxWithheld, max(now, r.backstop.due)),
		withheld: withheld,
	})
}

// expireWithheld answers Failed, unless withheld has been delivered.
func (l *loop) expireWithheld(withheld *withheldAnswer) {
	delete(l.withheld, withheld)
	withheld.expire()
}

// expireAllWithheld answers Failed in place of every rejection that is still withheld. The loop calls
// expireAllWithheld before it exits.
func (l *loop) expireAllWithheld() {
	for withheld := range l.withheld {
		l.expireWithheld(withheld)
	}
}

// await delays the answer until the write of ctx's attempt has ended, if a write is in progress.
func (w *withheldAnswer) await(ctx *attemptContext) {
	w.mu.Lock()
	w.writes++
	w.mu.Unlock()
	if !ctx.runAfterWrite(w.writeEnded) {
		w.writeEnded()
	}
}

// finishCounting is called after the last await. waits reports whether a write is still in progress. If no write is
// in progress, finishCounting delivers the answer.
func (w *withheldAnswer) finishCounting() (waits bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counting = false
	if w.writes == 0 {
		w.deliverLocked()
	}
	return w.writes > 0
}

// writeEnded records the end of a write. If it was the last write and finishCounting has been called, writeEnded
// delivers the answer.
func (w *withheldAnswer) writeEnded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes--
	if w.writes == 0 && !w.counting {
		w.deliverLocked()
	}
}

// expire delivers Failed, unless an answer has been delivered. The server may still receive the rest of the write, so
// a rejection would wrongly promise that the request does not run.
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
