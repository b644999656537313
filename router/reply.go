package router

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

// answer gives a request its one answer; later ones are dropped.
func (l *loop) answer(r *request, answer Answer) {
	if !r.finished {
		if l.degradation != nil {
			l.degradation.recordAnswer(r, answer.Outcome, l.clock.now())
		}
		l.finishRequest(r)
		l.deliverAfterWrites(r, answer)
	} else if !l.enforced(safeguards.SingleAnswer) {
		l.deliver(r.call, answer)
	}
}

// deliver counts an answer and passes it to the caller. It is safe for concurrent use.
func (l *loop) deliver(c *call, answer Answer) {
	l.countAnswer(c, answer)
	c.sendAnswer(answer)
}

// countAnswer counts an answer, unless it is streamed: then it is counted when the caller closes the stream.
func (l *loop) countAnswer(c *call, answer Answer) {
	if answer.Stream == nil {
		l.counters.count(c.req.Class, answer.Outcome)
	}
}

// sendAnswer passes an answer to the caller. It does not block.
func (c *call) sendAnswer(answer Answer) {
	if c.onAnswer != nil {
		c.onAnswer(answer)
		return
	}
	c.reply <- answer
	if c.abandoned.Load() {
		c.discardAnswer()
	}
}

// reject answers a request that the balancer rejects.
func (l *loop) reject(r *request, retryAfter time.Duration) {
	l.answer(r, Answer{Outcome: Rejected, RetryAfter: clampRetryAfter(retryAfter, r.capabilities)})
	l.removeIfDone(r)
}

// fail answers a request in the balancer's place, and tells the balancer that the caller no longer waits.
func (l *loop) fail(r *request, outcome Outcome) {
	l.answer(r, Answer{Outcome: outcome})
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.removeIfDone(r)
}

// handleClientGone handles the event that the caller of a call has left. Another request may use its ID by now.
func (l *loop) handleClientGone(c *call) {
	r := l.requests[c.req.ID]
	if r == nil || r.call != c || r.finished {
		return
	}
	l.recordClientGone(r)
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.removeIfDone(r)
}

// recordClientGone records that the client of a request no longer waits.
func (l *loop) recordClientGone(r *request) {
	l.finishRequest(r)
	l.stats.ClientsGone++
}

// finishRequest marks a request as answered, or as abandoned by its client. It must be called once per request.
func (l *loop) finishRequest(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		// An attempt that still waits for a connection needs no cancellation, which the settings may not allow.
		if a.inFlight && l.enforced(safeguards.NoAttemptAfterDisconnect) {
			a.ctx.abandon()
		}
	}
	l.pendingAnswers--
	l.openRequests.Store(int64(l.pendingAnswers))
	l.timers.remove(&r.backstop) // the timer would keep the request in memory until its deadline
}

// removeIfDone drops a request that is finished, once the balancer knows the outcomes of all its attempts.
func (l *loop) removeIfDone(r *request) {
	if r.finished && r.pendingOutcomes == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
	}
}

// answerOpenRequests answers all open requests, at the end of a drain or of the router: as failed if they may have
// run, otherwise as rejected.
func (l *loop) answerOpenRequests() {
	for _, r := range l.oldestFirst() {
		if r.finished { // the balancer has answered it in the meantime
			continue
		}
		outcome := Rejected
		if r.mayHaveRun() {
			outcome = Failed
		}
		l.fail(r, outcome)
	}
}

// oldestFirst returns the open requests in a deterministic order, which iteration over the map does not have.
func (l *loop) oldestFirst() []*request {
	open := make([]*request, 0, len(l.requests))
	for _, r := range l.requests {
		if !r.finished {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.submittedAt, b.submittedAt), strings.Compare(a.req.ID, b.req.ID))
	})
	return open
}
