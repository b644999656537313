package router

import (
	"container/heap"
	"context"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

const (
	// answerMargin is how long before the client's deadline the balancer must have answered, so that the answer still
	// reaches the client. The backstop answers half of the margin before that deadline. For short timeouts, the margin
	// is the timeout divided by answerMarginDivisor.
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 5
	// maxLatenessWithoutMargin is how late answers may be if a rehearsal disables the margin.
	maxLatenessWithoutMargin = time.Second

	// An upload may take minUploadTimeout plus the time of its bytes at minUploadRate bytes a second. Lengths that are
	// unknown or above maxTimedUpload count as maxTimedUpload.
	minUploadRate    = 32 << 10
	minUploadTimeout = 5 * time.Second
	maxTimedUpload   = 32 << 20
)

// answerTimes returns, for a request whose client stops waiting at end, the time by which the balancer must have
// answered it, and the time of the backstop.
func (l *loop) answerTimes(end policy.Time, timeout time.Duration) (deadline, backstop policy.Time) {
	margin := min(answerMargin, timeout/answerMarginDivisor)
	if !l.enforced(safeguards.AnswerDeadline) {
		margin = -maxLatenessWithoutMargin
	}
	return end - margin, end - margin/2
}

// uploadTimeout is the longest time for an upload of a length in bytes; a negative length means unknown.
func uploadTimeout(length int64) time.Duration {
	if length < 0 || length > maxTimedUpload {
		length = maxTimedUpload
	}
	return minUploadTimeout + time.Duration(length)*time.Second/minUploadRate
}

// completeBody starts the timeout of a request whose upload is complete: the client counts it from the last byte. No
// attempt can have run before.
func (l *loop) completeBody(e bodyReceived) {
	r := l.requests[e.call.req.ID]
	if r == nil || r.call != e.call || r.finished || !r.bodyPending {
		return
	}
	now := l.clock.now()
	r.bodyPending = false
	r.receivedAt = min(now, l.clock.policyTime(e.at))
	r.deadline, r.backstop.due = l.answerTimes(r.receivedAt+r.timeout, r.timeout)
	heap.Fix(&l.timers, r.backstop.index)
	for _, a := range r.attempts {
		if a.inFlight {
			a.sentAt = now
			a.ctx.setDeadline(l.clock.wallTime(r.deadline))
			a.expiry.due = r.deadline
			heap.Fix(&l.timers, a.expiry.index)
		}
	}
	l.notify(policy.Request{
		ID:        r.req.ID,
		Class:     r.req.Class,
		Tenant:    r.req.Tenant,
		Key:       r.req.Key,
		ExpiresIn: r.deadline - now,
	})
}

// fireTimers handles the timers that are due.
func (l *loop) fireTimers() {
	now := l.clock.now()
	for len(l.timers) > 0 && l.timers[0].due <= now {
		t := l.timers.pop()
		l.recordLag(now - t.due)
		l.fire(t)
	}
}

func (l *loop) fire(t *timer) {
	switch t.kind {
	case balancerTimer:
		l.notify(policy.Timer{Token: t.token})
	case backstopTimer:
		if l.enforced(safeguards.BackstopAnswer) { // the balancer has not answered in time
			l.fail(t.request, Expired)
		}
	case attemptTimer:
		l.cancelAttempt(t.attempt, context.DeadlineExceeded)
	case levelStepTimer:
		l.stepLevels(t.due)
	case withheldTimer:
		l.expireWithheld(t.withheld)
	}
}
