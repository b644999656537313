package router

import (
	"container/heap"
	"context"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

const (
	// answerMargin is how long before the client's deadline the balancer's time is up, so that its answer
	// still arrives; half of it before that deadline the backstop answers. Of short timeouts it is one
	// answerMarginDivisor-th.
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 5
	// noMarginOvertime is by how much answers may be late where the margin is disabled in a rehearsal.
	noMarginOvertime = time.Second

	// An upload may take minUploadTimeout, and the time of its bytes at minUploadRate a second. Longer and
	// unknown lengths count as maxTimedUpload.
	minUploadRate    = 32 << 10
	minUploadTimeout = 5 * time.Second
	maxTimedUpload   = 32 << 20
)

// answerTimes returns the time by which the balancer must have answered a request whose client stops waiting
// at end, and the time of the backstop.
func (l *loop) answerTimes(end policy.Time, timeout time.Duration) (deadline, backstop policy.Time) {
	margin := min(answerMargin, timeout/answerMarginDivisor)
	if !l.enforced(safeguards.AnswerDeadline) {
		margin = -noMarginOvertime
	}
	return end - margin, end - margin/2
}

// uploadTimeout bounds how long a body of a length in bytes may take; a negative length is unknown.
func uploadTimeout(length int64) time.Duration {
	if length < 0 || length > maxTimedUpload {
		length = maxTimedUpload
	}
	return minUploadTimeout + time.Duration(length)*time.Second/minUploadRate
}

// completeBody starts the timeout of a request whose upload is complete: the client counts from its last byte.
// Nothing can have run before.
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
		if l.enforced(safeguards.BackstopAnswer) { // the balancer has not answered
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
