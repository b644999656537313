package policy

import "time"

const (
	queuePollInterval = 20 * time.Millisecond // between selections for queued requests
	tailQuantile      = 0.95                  // of the latency of a class, after which attempts are checked
	tailGain          = 0.1                   // part by which the estimate of it moves
	slowAttemptFactor = 1.2                   // times that quantile, an attempt is slow and may be hedged
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
	if !r.wasQueued { // a request moves the rates once, however long it is queued
		b.adjustRateScale(hasCapacity)
	}
	switch {
	case s != nil:
		b.send(r, s, false)
	case r.mayHaveRun == nil && b.now+queuePollInterval < r.queueDeadline:
		b.enqueue(r)
	default:
		b.giveUp(r)
	}
}

func (b *Balancer) isExhausted(r *request) bool {
	return len(r.attempts) >= max(1, r.class.capabilities.MaxAttempts) || b.now >= r.valueDeadline
}

func (b *Balancer) send(r *request, s *server, probe bool) {
	if len(r.attempts) > 0 {
		b.chargeRetry(r)
	}
	idleOctave := b.prepareConnection(s)
	b.emit(Action{Kind: Send, ID: r.id, Server: s.Server, Until: r.valueDeadline})
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, probe: probe, idleOctave: idleOctave})
	r.pending++
	s.inFlight++
	s.recordConnectionUse(b.now)
	s.lastSend = b.now
	s.slowStart.tokens--
	b.updateIndex(s, 0)
	r.updateMayHaveRun()
	b.scheduleSlowCheck(r)
}

// scheduleSlowCheck queues r's newest attempt: all of a class are checked after about as long, by one timer.
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

// checkSlowAttempts records a fault for a server silent since a slow attempt, and hedges what may run twice.
func (b *Balancer) checkSlowAttempts(class *class) {
	class.slowTimerSet = false
	for len(class.slowChecks) > 0 && class.slowChecks[0].due <= b.now {
		check := class.slowChecks[0]
		class.slowChecks[0] = slowCheck{}
		class.slowChecks = class.slowChecks[1:]
		r := check.request
		a := &r.attempts[check.attempt]
		if a.done || a.server.lastAnswer >= a.sentAt {
			continue // a server that answers others has a heavy request, which would be as heavy elsewhere
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
		b.isOutnumbered() || !b.retryBudgetAllows() || b.isExhausted(r) {
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

// giveUp ends r without an answer: rejected where it may safely be sent again, else failed.
func (b *Balancer) giveUp(r *request) {
	if r.pending > 0 {
		return // a hedge is still in flight and may yet answer
	}
	if r.mayHaveRun == nil || r.class.Idempotency == Idempotent ||
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

// finish marks r as answered and cancels its attempts; r is held until these are done.
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
		return // late or twice
	}
	a := &r.attempts[number]
	a.done, a.notExecuted = true, outcome.Code.NotExecuted()
	r.pending--
	a.server.recordConnectionUse(b.now)
	a.server.inFlight--
	r.updateMayHaveRun()
	if outcome.Code == ConnectFailed {
		b.recordFailedConnect(r, a)
	}
	b.recordOutcome(r, a, outcome)
	b.updateIndex(a.server, 0)
	switch {
	case outcome.Answered || r.answered || outcome.Code == OK:
		b.finish(r)
	case r.pending > 0: // a hedge may yet answer
	case outcome.Code == Superseded || outcome.BodyConsumed || b.now >= r.deadline || r.streaming ||
		r.mayHaveRun != nil && r.class.Idempotency == NonIdempotent:
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
		if !ended.probe { // by this node itself; but a probe that a hedge outran has failed
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

func (c *class) recordLatency(latency time.Duration) {
	step := -(1 - tailQuantile)
	if latency > c.tailLatency {
		step = tailQuantile
	}
	c.tailLatency = min(c.LatencyObjective, c.tailLatency+time.Duration(tailGain*step*float64(c.tailLatency)))
}
