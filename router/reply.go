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
	c.handOver(answer)
}

// countAnswer counts an answer, but for one that is streamed: it counts when its caller closes it.
func (l *loop) countAnswer(c *call, answer Answer) {
	if answer.Stream == nil {
		l.counters.count(c.req.Class, answer.Outcome)
	}
}

// handOver passes an answer to the caller. It does not block.
func (c *call) handOver(answer Answer) {
	if c.onAnswer != nil {
		c.onAnswer(answer)
		return
	}
	c.reply <- answer
	if c.abandoned.Load() {
		c.discardAnswer()
	}
}

// reject answers a request that the balancer has not sent.
func (l *loop) reject(r *request, retryAfter time.Duration) {
	l.answer(r, Answer{Outcome: Rejected, RetryAfter: heededRetryAfter(retryAfter, r.capabilities)})
	l.forget(r)
}

// fail answers a request in the balancer's place, and tells the balancer that its caller no longer waits.
func (l *loop) fail(r *request, outcome Outcome) {
	l.answer(r, Answer{Outcome: outcome})
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.forget(r)
}

// removeClient handles that the caller of a call has left. Another request may have its ID by now.
func (l *loop) removeClient(c *call) {
	r := l.requests[c.req.ID]
	if r == nil || r.call != c || r.finished {
		return
	}
	l.recordClientGone(r)
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.forget(r)
}

// recordClientGone records that the client of a request no longer waits.
func (l *loop) recordClientGone(r *request) {
	l.finishRequest(r)
	l.stats.ClientsGone++
}

// finishRequest marks a request as answered, or as given up by its client. It must be called once.
func (l *loop) finishRequest(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		// What waits for a connection needs no cancellation, which the settings may not allow.
		if a.inFlight && l.enforced(safeguards.ClientGone) {
			a.ctx.abandon()
		}
	}
	l.pendingAnswers--
	l.openRequests.Store(int64(l.pendingAnswers))
	l.timers.remove(&r.backstop) // it would hold the request until a deadline that may be far off
}

// forget drops a request that is finished and has no attempt in flight.
func (l *loop) forget(r *request) {
	if r.finished && r.pendingOutcomes == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
	}
}

// answerOpenRequests answers all open requests, at the end of a drain or of the router: what may have run has
// failed, and the rest is rejected.
func (l *loop) answerOpenRequests() {
	for _, r := range l.oldestFirst() {
		if r.finished { // meanwhile, by the balancer
			continue
		}
		outcome := Rejected
		if r.mayHaveRun() {
			outcome = Failed
		}
		l.fail(r, outcome)
	}
}

// oldestFirst lists the open requests in an order that is always the same, as that of a map is not.
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
