package router

import (
	"container/heap"
	"context"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

const (
	// answerMargin is the time between the balancer's deadline and the client's deadline, in which the answer reaches
	// the client. The backstop answers half of the margin before the client's deadline. For short timeouts, the
	// margin is the timeout divided by answerMarginDivisor.
	answerMargin        = 20 * time.Millisecond
	answerMarginDivisor = 5
	// maxLatenessWithoutMargin is the maximum lateness of answers if a rehearsal disables the margin.
	maxLatenessWithoutMargin = time.Second

	// The maximum time for an upload is minUploadTimeout plus the time for its bytes at minUploadRate bytes a second.
	// A length that is unknown or above maxTimedUpload counts as maxTimedUpload.
	minUploadRate    = 32 << 10
	minUploadTimeout = 5 * time.Second
	maxTimedUpload   = 32 << 20
)

// answerTimes returns the deadline of the balancer and the time of the backstop for a request. end is the time at
// which the client stops waiting. timeout is the total time that the client waits.
func (l *loop) answerTimes(end policy.Time, timeout time.Duration) (deadline, backstop policy.Time) {
	margin := min(answerMargin, timeout/answerMarginDivisor)
	if !l.enforced(safeguards.AnswerDeadline) {
		margin = -maxLatenessWithoutMargin
	}
	return end - margin, end - margin/2
}

// uploadTimeout returns the maximum time for an upload of length bytes. A negative length means unknown.
func uploadTimeout(length int64) time.Duration {
	if length < 0 || length > maxTimedUpload {
		length = maxTimedUpload
	}
	return minUploadTimeout + time.Duration(length)*time.Second/minUploadRate
}

// completeBody starts the timeout of a request whose upload is complete, because the client counts the timeout from
// the last byte. No attempt can have run before the last byte.
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
	l.timers.remove(&r.uploadCheck)
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

// uploadCheckInterval is the minimum interval between two checks of an upload.
const uploadCheckInterval = 20 * time.Millisecond

// scheduleUploadCheck sets the timer of the next check of r, if the body of r is still arriving. The check is due when
// the client has waited for its timeout, if it has already written the last byte.
func (l *loop) scheduleUploadCheck(r *request) {
	upload, ok := r.req.Upload.(BackloggedUpload)
	if !ok || !r.bodyPending {
		return
	}
	now := l.clock.now()
	r.uploadCheck.due = now + r.timeout
	if at, written := upload.MayBeWrittenSince(); written {
		end, _ := l.answerTimes(l.clock.policyTime(at)+r.timeout, r.timeout)
		r.uploadCheck.due = max(now+uploadCheckInterval, end)
	}
	heap.Push(&l.timers, &r.uploadCheck)
}

// checkUpload answers r if its client may have written the last byte of the body, which no attempt has received, and
// has waited for its timeout since. The servers have read the body more slowly than the client has sent it.
func (l *loop) checkUpload(r *request) {
	at, written := r.req.Upload.(BackloggedUpload).MayBeWrittenSince()
	if end, _ := l.answerTimes(l.clock.policyTime(at)+r.timeout, r.timeout); written && l.clock.now() >= end {
		l.stats.UploadsExpired++
		l.fail(r, Expired)
		return
	}
	l.scheduleUploadCheck(r)
}

// fireTimers fires the timers that are due.
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
		if l.enforced(safeguards.BackstopAnswer) { // the balancer has not answered before the backstop
			l.fail(t.request, Expired)
		}
	case attemptTimer:
		l.cancelAttempt(t.attempt, context.DeadlineExceeded)
	case levelStepTimer:
		l.stepLevels(t.due)
	case uploadTimer:
		l.checkUpload(t.request)
	case withheldTimer:
		l.expireWithheld(t.withheld)
	}
}
