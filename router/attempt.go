package router

import (
	"container/heap"
	"context"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/policy"
)

const (
	// The last retry is written dedupMargin before servers forget the idempotency key. For short windows, the margin
	// is the window divided by dedupMarginDivisor.
	dedupMargin        = 50 * time.Millisecond
	dedupMarginDivisor = 5
)

// attempt is one attempt to serve a request at a server.
type attempt struct {
	request     *request
	number      int // 0 for the first attempt of the request
	server      string
	sentAt      policy.Time
	sendBy      policy.Time // when it must no longer be written; 0: no limit
	ctx         attemptContext
	expiry      timer // ends ctx
	inFlight    bool
	notExecuted bool   // it has ended or was skipped, and can't have run
	result      Result // set by the launcher before the attemptEnded event
}

// attemptLauncher starts attempts. Its methods must not block or call the loop.
type attemptLauncher interface {
	// launch starts an attempt, and makes the loop call finishAttempt once when the attempt has ended.
	launch(a *attempt)
	// cancelled is called when the context of an attempt in flight was ended.
	cancelled(a *attempt)
}

// goroutineLauncher makes each attempt in a goroutine of its own, which ends when Transport.Attempt returns. The loop
// waits for all of them when it ends.
type goroutineLauncher struct{ loop *loop }

var _ attemptLauncher = goroutineLauncher{}

func (g goroutineLauncher) launch(a *attempt) {
	g.loop.attemptGoroutines.Go(func() {
		a.result = g.loop.transport.Attempt(&a.ctx, a.server, &a.request.req)
		g.loop.send(attemptEnded{a})
	})
}

// cancelled does nothing: the transport watches the context.
func (goroutineLauncher) cancelled(*attempt) {}

// startAttempt sends a request to a server, or skips the attempt if it is no longer allowed.
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

// mayAttempt reports whether an attempt is allowed: it is neither too late nor one too many, and the level of service
// permits it.
func (l *loop) mayAttempt(a *attempt, now policy.Time) bool {
	r := a.request
	switch {
	case r.finished && l.enforced(safeguards.NoAttemptAfterAnswer),
		now >= r.deadline,
		a.sendBy > 0 && now >= a.sendBy,
		a.number >= max(1, r.capabilities.MaxAttempts):
		return false
	}
	return l.degradation == nil || !l.degradation.forbidsAttempt(r, a.number)
}

// skipAttempt records that an attempt is not made. The balancer is notified once all its actions are carried out.
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

// launch starts an attempt, whose context ends at expiry at the latest.
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

// finishAttempt handles the end of an attempt, whose result is set.
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
	} else { // the attempt failed, another one was first, or the client has left
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

// cancelAttempt ends the context of an attempt in flight.
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

// sendDeadline is the time from which the request must not be sent any more, because servers may have forgotten its
// idempotency key; 0 if no attempt may have run, or if the request has no key. The window counts from the first
// attempt that may have run. The margin allows for a retry that takes longer to reach its server than that attempt
// did.
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
