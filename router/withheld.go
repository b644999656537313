package router

import (
	"sync"
	"time"
)

// maxWithheld bounds the time for which a rejection is withheld: a write to a server that does not read may take long.
const maxWithheld = 200 * time.Millisecond

// withheldAnswer is a rejection that waits until no attempt of its request is being written.
type withheldAnswer struct {
	call   *call
	answer Answer

	mu        sync.Mutex
	writes    int // in progress
	counting  bool
	delivered bool
	bound     *time.Timer // nil while no write is in progress
}

// deliverAfterWrites delivers the answer of a request that is finished. A rejection waits until no attempt is being
// written; none begins after that, since the attempts are abandoned.
func (l *loop) deliverAfterWrites(r *request, answer Answer) {
	if answer.Outcome != Rejected && answer.Outcome != Overloaded {
		l.deliver(r.call, answer)
		return
	}
	l.countAnswer(r.call, answer)
	withheld := &withheldAnswer{call: r.call, answer: answer, counting: true}
	for _, a := range r.attempts {
		if a.inFlight {
			withheld.await(&a.ctx)
		}
	}
	withheld.counted()
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

// counted ends the counting of writes.
func (w *withheldAnswer) counted() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counting = false
	if w.writes > 0 {
		w.bound = time.AfterFunc(maxWithheld, w.expire)
		return
	}
	w.deliverLocked()
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

// expire delivers the answer though a write is in progress.
func (w *withheldAnswer) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliverLocked()
}

func (w *withheldAnswer) deliverLocked() {
	if w.delivered {
		return
	}
	w.delivered = true
	if w.bound != nil {
		w.bound.Stop()
	}
	w.call.handOver(w.answer)
}
