package policy

import "time"

const (
	queuePollInterval = 20 * time.Millisecond // interval between dispatches of queued requests
	tailQuantile      = 0.95                  // quantile of the latency of a class that tailLatency estimates
	tailGain          = 0.1                   // relative step size of the tailLatency estimate
	slowAttemptFactor = 1.2                   // multiple of tailLatency after which an attempt counts as slow
)

func (b *Balancer) dispatch(r *request) {
	if b.isExhausted(r) || len(r.attempts) > 0 && !b.retryBudgetAllows() {
		b.giveUp(r)
		return
	}
	if s := b.probeTarget(r); s != nil {
		b.send(r, s, true)
		return
	}
	s, hasCapacity := b.selectNext(r)
	if !r.wasQueued { // each request adjusts rateScale only once
		b.adjustRateScale(hasCapacity)
	}
	switch {
	case s != nil:
		b.send(r, s, false)
	case r.firstMaybeExecuted == nil && b.now+queuePollInterval < r.queueDeadline:
		b.enqueue(r)
	default:
		b.giveUp(r)
	}
}

func (b *Balancer) isExhausted(r *request) bool {
	return len(r.attempts) >= max(1, r.class.capabilities.MaxAttempts) || b.now >= r.valueDeadline
}

func (b *Balancer) send(r *request, target *server, probe bool) {
	if len(r.attempts) > 0 {
		b.chargeRetry(r)
	}
	idleOctave := b.prepareConnection(target)
	b.emit(Action{Kind: Send, ID: r.id, Server: target.Server, Until: r.valueDeadline})
	sent := attempt{server: target, group: target.group, sentAt: b.now, probe: probe, idleOctave: idleOctave}
	r.attempts = append(r.attempts, sent)
	r.pending++
	target.inFlight++
	target.recordConnectionUse(b.now)
	target.lastSend = b.now
	target.slowStart.tokens--
	b.updateIndex(target, 0)
	r.updateFirstMaybeExecuted()
	b.scheduleSlowCheck(r)
}

// scheduleSlowCheck schedules the check of r's newest attempt. All checks of a class share one timer, because their
// delays are about the same.
func (b *Balancer) scheduleSlowCheck(r *request) {
	if c := r.class; c.timerToken > 0 && len(r.attempts) > 0 && !r.bodyPending {
		due := b.now + time.Duration(slowAttemptFactor*float64(c.tailLatency))
		c.slowChecks = append(c.slowChecks, slowCheck{r, len(r.attempts) - 1, due})
		b.setSlowTimer(c)
	}
}

func (b *Balancer) setSlowTimer(c *class) {
	if !c.slowTimerSet && len(c.slowChecks) > 0 {
		c.slowTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: max(time.Millisecond, c.slowChecks[0].due-b.now), Token: c.timerToken})
	}
}

// checkSlowAttempts checks the attempts of class that have become slow. It skips an attempt if the server has
// answered any request since the attempt was sent. It hedges the requests of all other slow attempts where possible.
// It also records a fault of the server, unless the connection was idle before the send.
func (b *Balancer) checkSlowAttempts(class *class) {
	class.slowTimerSet = false
	for len(class.slowChecks) > 0 && class.slowChecks[0].due <= b.now {
		check := class.slowChecks[0]
		class.slowChecks[0] = slowCheck{}
		class.slowChecks = class.slowChecks[1:]
		r := check.request
		a := &r.attempts[check.attempt]
		if a.done || a.server.lastAnswer >= a.sentAt {
			continue // the server answers other requests, so this request is expensive at any server
		}
		if a.idleOctave == 0 {
			b.recordFault(a.server, silenceWeight)
		}
		if !r.answered && !r.streaming && r.pending == 1 {
			b.hedge(r)
		}
	}
	b.setSlowTimer(class)
}

func (b *Balancer) hedge(r *request) {
	if r.notReplayable || r.class.Idempotency == NonIdempotent || !r.class.capabilities.Hedge ||
		b.nodesOutnumberServers() || !b.retryBudgetAllows() || b.isExhausted(r) {
		return
	}
	if s, hasCapacity := b.selectServer(r); s != nil && hasCapacity {
		b.send(r, s, false)
	}
}

func (b *Balancer) enqueue(r *request) {
	r.wasQueued = true
	b.queued = append(b.queued, r)
	if !b.queueTimerSet {
		b.queueTimerSet = true
		b.emit(Action{Kind: SetTimer, Wait: queuePollInterval, Token: queueTimerToken})
	}
}

func (b *Balancer) dispatchQueued() {
	queued := b.queued
	b.queued = nil
	for _, r := range queued {
		if !r.answered {
			b.dispatch(r)
		}
	}
}

// giveUp ends r without an answer from a server, unless an attempt of r is in flight. It rejects r if the client can
// retry r safely, and fails r otherwise.
func (b *Balancer) giveUp(r *request) {
	if r.pending > 0 {
		return // an attempt is in flight and may still answer
	}
	if r.firstMaybeExecuted == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotencyKeyed && r.class.DedupScope == DedupAll {
		b.reject(r, 0)
		return
	}
	b.emit(Action{Kind: Fail, ID: r.id})
	b.finish(r)
}

func (b *Balancer) reject(r *request, retryAfter time.Duration) {
	b.emit(Action{Kind: Reject, ID: r.id, Wait: retryAfter})
	b.finish(r)
}

// finish marks r as answered and cancels its attempts. It deletes r if no attempt is in flight. If attempts are in
// flight, the outcome of the last attempt calls finish again.
func (b *Balancer) finish(r *request) {
	if !r.answered {
		r.answered = true
		b.cancelAttempts(r, -1)
	}
	if r.pending == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) cancelAttempts(r *request, except int) {
	for i := range r.attempts {
		if i != except && !r.attempts[i].done && r.class.capabilities.Cancel {
			b.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
}

func (b *Balancer) onFirstByte(e FirstByte) {
	if r := b.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
		r.streaming = true
		b.cancelAttempts(r, e.Attempt)
	}
}

func (b *Balancer) onOutcome(outcome Outcome) {
	r := b.requests[outcome.ID]
	number := outcome.Attempt
	if r == nil || number < 0 || number >= len(r.attempts) || r.attempts[number].done {
		return // late or duplicate outcome
	}
	a := &r.attempts[number]
	a.done, a.notExecuted = true, outcome.Code.NotExecuted()
	r.pending--
	a.server.recordConnectionUse(b.now)
	a.server.inFlight--
	r.updateFirstMaybeExecuted()
	if outcome.Code == ConnectFailed {
		b.recordFailedConnect(r, a)
	}
	b.recordOutcome(r, a, outcome)
	b.updateIndex(a.server, 0)
	switch {
	case outcome.Answered || r.answered || outcome.Code == OK:
		b.finish(r)
	case r.pending > 0: // wait for the outcomes of other attempts
	case outcome.Code == Superseded || outcome.BodyConsumed || b.now >= r.deadline || r.streaming ||
		r.firstMaybeExecuted != nil && r.class.Idempotency == NonIdempotent:
		b.giveUp(r)
	default:
		b.dispatch(r)
	}
}

func (b *Balancer) recordOutcome(r *request, ended *attempt, outcome Outcome) {
	target, code := ended.server, outcome.Code
	if ended.probe {
		target.health.probeInFlight = false
	}
	switch code {
	case Superseded, Untrusted:
		return
	case Cancelled:
		if !ended.probe { // no fault of the server; a cancelled probe counts as failed
			return
		}
	case OK, ServerError, Overloaded:
		target.lastAnswer = b.now
	}
	if code != ConnectFailed && b.lostStaleConnection(ended, code == TimedOut || code == Reset) {
		return
	}
	b.updateThreshold(target, r.class, outcome)
	if code == OK || code == TimedOut {
		target.lastLatency = outcome.Latency.Seconds()
	}
	if code == OK {
		b.completionRate = b.currentCompletionRate() + 1/completionRateWindow.Seconds()
		b.completionRateAt = b.now
		r.class.recordLatency(outcome.Latency)
	}
	b.updateHealth(ended, code)
}

// recordLatency moves tailLatency, the estimate of the tailQuantile of the latency, towards an observed latency.
func (c *class) recordLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	c.tailLatency = min(c.LatencyObjective, c.tailLatency+time.Duration(tailGain*step*float64(c.tailLatency)))
}
