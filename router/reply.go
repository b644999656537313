package router

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

// answer gives r its one answer. Later answers are dropped.
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

// deliver counts answer and passes it to the caller of c. It is safe for concurrent use.
func (l *loop) deliver(c *call, answer Answer) {
	l.countAnswer(c, answer)
	c.sendAnswer(answer)
}

// countAnswer counts answer, unless answer is streamed. A streamed answer is counted when the caller closes the
// stream.
func (l *loop) countAnswer(c *call, answer Answer) {
	if answer.Stream == nil {
		l.counters.count(c.req.Class, answer.Outcome)
	}
}

// sendAnswer passes answer to the caller. It does not block.
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

// reject answers r after the balancer has requested a Reject action for r.
func (l *loop) reject(r *request, retryAfter time.Duration) {
	l.answer(r, Answer{Outcome: Rejected, RetryAfter: clampRetryAfter(retryAfter, r.capabilities)})
	l.removeIfDone(r)
}

// fail answers r in place of the balancer, and tells the balancer that the caller no longer waits.
func (l *loop) fail(r *request, outcome Outcome) {
	l.answer(r, Answer{Outcome: outcome})
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.removeIfDone(r)
}

// handleClientGone handles the event that the caller of c has left. It ignores the event if c is no longer open.
// Another request may use the same ID by now.
func (l *loop) handleClientGone(c *call) {
	r := l.requests[c.req.ID]
	if r == nil || r.call != c || r.finished {
		return
	}
	l.recordClientGone(r)
	l.notify(policy.ClientGone{ID: r.req.ID})
	l.removeIfDone(r)
}

// recordClientGone records that the client of r no longer waits.
func (l *loop) recordClientGone(r *request) {
	l.finishRequest(r)
	l.stats.ClientsGone++
}

// finishRequest marks r as answered, or as abandoned by its client. It must be called once for each request.
func (l *loop) finishRequest(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		// An abandoned attempt that waits for a connection writes nothing, even if the settings forbid its cancellation.
		if a.inFlight && l.enforced(safeguards.NoAttemptAfterDisconnect) {
			a.ctx.abandon()
		}
	}
	l.pendingAnswers--
	l.openRequests.Store(int64(l.pendingAnswers))
	l.timers.remove(&r.backstop) // the timer would keep the request in memory until its deadline
	l.timers.remove(&r.uploadCheck)
}

// removeIfDone deletes r if r is finished and the balancer knows the outcomes of all its attempts.
func (l *loop) removeIfDone(r *request) {
	if r.finished && r.pendingOutcomes == 0 && l.requests[r.req.ID] == r {
		delete(l.requests, r.req.ID)
	}
}

// answerOpenRequests answers all open requests at the end of a drain or of the router. The answer is Failed if the
// request may have run, and Rejected otherwise.
func (l *loop) answerOpenRequests() {
	for _, r := range l.oldestFirst() {
		if r.finished { // the balancer has answered r during an earlier iteration
			continue
		}
		outcome := Rejected
		if r.mayHaveRun() {
			outcome = Failed
		}
		l.fail(r, outcome)
	}
}

// oldestFirst returns the open requests, oldest first. Unlike an iteration over the map, the order is deterministic.
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
