package router

import (
	"container/heap"
	"context"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

const (
	// The last retry is written at least dedupMargin before servers forget the idempotency key. For short dedup
	// windows, the margin is the window divided by dedupMarginDivisor.
	dedupMargin        = 50 * time.Millisecond
	dedupMarginDivisor = 5
)

// attempt is one attempt to serve a request at a server.
type attempt struct {
	request     *request
	number      int // 0 for the first attempt of the request
	server      string
	sentAt      policy.Time
	sendBy      policy.Time // time from which the attempt must not be written; 0: no limit
	ctx         attemptContext
	expiry      timer // timer that ends ctx
	inFlight    bool
	notExecuted bool   // whether the attempt has ended or was skipped, and cannot have run
	result      Result // set by the launcher before the attemptEnded event
}

// attemptLauncher starts attempts. Its methods must not block and must not call the loop.
type attemptLauncher interface {
	// launch starts a. When a has ended, the launcher must make the loop call finishAttempt once.
	launch(a *attempt)
	// cancelled is called while a is in flight, after the loop has ended the context of a.
	cancelled(a *attempt)
}

// goroutineLauncher makes each attempt in its own goroutine, which returns after Transport.Attempt. The loop waits
// for all these goroutines when it ends.
type goroutineLauncher struct{ loop *loop }

var _ attemptLauncher = goroutineLauncher{}

func (g goroutineLauncher) launch(a *attempt) {
	g.loop.attemptGoroutines.Go(func() {
		a.result = g.loop.transport.Attempt(&a.ctx, a.server, &a.request.req)
		g.loop.send(attemptEnded{a})
	})
}

// cancelled does nothing, because the transport watches the context.
func (goroutineLauncher) cancelled(*attempt) {}

// startAttempt starts the attempt that action requests, or skips the attempt if it is no longer allowed.
func (l *loop) startAttempt(action *policy.Action) {
	r, now := l.requests[action.ID], l.clock.now()
	if r == nil {
		l.log.Error("balancer requested an attempt for a request that is not open", "id", action.ID)
		return
	}
	if !r.finished && l.enforced(safeguards.NoAttemptAfterDisconnect) && r.clientGone() {
		l.recordClientGone(r)
	}
	attempt := &attempt{request: r, number: len(r.attempts), server: action.Server, sentAt: now}
	if l.enforced(safeguards.DedupWindow) {
		attempt.sendBy = r.sendDeadline()
	}
	r.attempts = append(r.attempts, attempt)
	r.pendingOutcomes++
	if !l.mayAttempt(attempt, now) {
		l.skipAttempt(attempt)
		return
	}
	expiry := r.deadline
	if action.Until > 0 {
		expiry = min(expiry, action.Until)
	}
	l.launch(attempt, expiry)
}

// mayAttempt reports whether a may start. The request must be unfinished. The deadline of the request and a.sendBy
// must not have passed. The maximum number of attempts and the level of service must allow the attempt.
func (l *loop) mayAttempt(a *attempt, now policy.Time) bool {
	r := a.request
	switch {
	case r.finished && l.enforced(safeguards.NoAttemptAfterAnswer),
		now >= r.deadline,
		a.sendBy > 0 && now >= a.sendBy,
		a.number >= max(1, r.capabilities.MaxAttempts),
		l.mayHaveLeft(a, now) && l.enforced(safeguards.NoAttemptAfterDisconnect):
		return false
	}
	return l.degradation == nil || !l.degradation.forbidsAttempt(r, a.number)
}

// disconnectSlack is the time after admission in which a first attempt is made even if the client may have left.
const disconnectSlack = 50 * time.Millisecond

// mayHaveLeft reports whether the client of a's request may have disconnected unnoticed before a. While the body is
// arriving, the unread bytes belong to it.
func (l *loop) mayHaveLeft(a *attempt, now policy.Time) bool {
	r := a.request
	isPrompt := a.number == 0 && now-r.submittedAt < disconnectSlack
	return !isPrompt && r.req.MayHaveLeft != nil && !r.bodyPending && r.req.MayHaveLeft()
}

// skipAttempt records that a is not made. execute reports the skipped attempt to the balancer after it has performed
// all actions.
func (l *loop) skipAttempt(a *attempt) {
	a.notExecuted = true
	l.stats.Skipped++
	l.skippedOutcomes = append(l.skippedOutcomes, policy.Outcome{
		ID:      a.request.req.ID,
		Server:  a.server,
		Attempt: a.number,
		Code:    policy.Superseded,
	})
}

// launch starts attempt, and makes its context end at expiry.
func (l *loop) launch(attempt *attempt, expiry policy.Time) {
	l.stats.Attempts++
	if attempt.number > 0 {
		l.stats.Retries++
	}
	l.attemptsInFlight++
	attempt.inFlight = true
	attempt.ctx.deadline = l.clock.wallTime(expiry)
	if attempt.sendBy > 0 {
		attempt.ctx.sendBy = l.clock.wallTime(attempt.sendBy)
	}
	attempt.expiry = timer{kind: attemptTimer, due: expiry, attempt: attempt}
	heap.Push(&l.timers, &attempt.expiry)
	l.launcher.launch(attempt)
}

// finishAttempt handles the end of attempt. The launcher has set attempt.result.
func (l *loop) finishAttempt(attempt *attempt) {
	r, result := attempt.request, attempt.result
	attempt.result = Result{}
	l.timers.remove(&attempt.expiry)
	attempt.ctx.cancel(context.Canceled)
	attempt.inFlight, attempt.notExecuted = false, result.Code.NotExecuted()
	r.pendingOutcomes--
	l.attemptsInFlight--
	if result.Code == policy.OK && (!r.finished || !l.enforced(safeguards.SingleAnswer)) {
		answer := result.Answer
		answer.Outcome = Served
		l.answer(r, answer)
	} else { // the attempt failed, the request was already answered, or the client has left
		closeStream(result.Answer)
	}
	latency := l.clock.now() - attempt.sentAt
	if l.degradation != nil && result.Code == policy.OK {
		l.degradation.recordServiceTime(r, latency)
	}
	l.notify(policy.Outcome{
		ID:           r.req.ID,
		Server:       attempt.server,
		Attempt:      attempt.number,
		Code:         result.Code,
		Latency:      latency,
		Answered:     r.finished,
		LoadReport:   result.LoadReport,
		BodyConsumed: r.req.Upload != nil && r.req.Upload.Consumed(),
	})
	l.removeIfDone(r)
}

// cancelAttempt ends the context of a with the error cause. a must be in flight.
func (l *loop) cancelAttempt(a *attempt, cause error) {
	a.ctx.cancel(cause)
	l.launcher.cancelled(a)
}

// cancelAllAttempts ends the contexts of all attempts in flight.
func (l *loop) cancelAllAttempts() {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.inFlight {
				l.cancelAttempt(a, context.Canceled)
			}
		}
	}
}

// mayHaveRun reports whether an attempt is in flight, or has ended without proof that it never ran.
func (r *request) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notExecuted {
			return true
		}
	}
	return false
}

// hasAttemptInFlight reports whether an attempt is in flight.
func (r *request) hasAttemptInFlight() bool {
	for _, a := range r.attempts {
		if a.inFlight {
			return true
		}
	}
	return false
}

// sendDeadline returns the time from which the request must not be sent any more, because servers may have forgotten
// its idempotency key. It returns 0 if no attempt may have run, or if the request has no key. The dedup window counts
// from the first attempt that may have run. The margin covers a retry that takes longer to reach its server than the
// first attempt.
func (r *request) sendDeadline() policy.Time {
	if r.dedupWindow == 0 {
		return 0
	}
	for _, a := range r.attempts {
		if !a.notExecuted {
			return a.sentAt + r.dedupWindow - min(dedupMargin, r.dedupWindow/dedupMarginDivisor)
		}
	}
	return 0
}
