package plan

import (
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/script"
)

// MinAttemptTime is the minimum time between a retry and the deadline. A client doesn't retry later.
const MinAttemptTime = 50 * time.Millisecond

// Work returns the work of a request in seconds on a core of speed 1. The work is the same for each attempt, at each
// server and in each run of the plan.
func (p *Plan) Work(r *Request) float64 {
	return p.work[p.Script.Classes[r.Class].Name].Draw(p.Seed, r.ID) * r.CostFactor
}

// Chance returns a pseudorandom number between 0 and 1, exclusive. The number depends only on the seed, purpose and
// id.
func (p *Plan) Chance(purpose, id string) float64 { return model.Uniform(p.Seed, purpose+"\x00"+id) }

// ClientBehavior returns whether the client of a request obeys Retry-After. disconnectAfter is the fraction of the
// first attempt's timeout after which the client disconnects. If disconnectAfter is 0, the client waits for the whole
// timeout.
func (p *Plan) ClientBehavior(r *Request) (honorsRetryAfter bool, disconnectAfter float64) {
	clients := &p.Script.Clients
	honorsRetryAfter = p.Chance("honour", r.ID) < clients.HonorFraction
	if p.Chance("impatient", r.ID) < clients.EarlyLeaveFraction {
		disconnectAfter = p.Chance("leaves", r.ID)
	}
	return honorsRetryAfter, disconnectAfter
}

// Backoff returns the time that a client waits before its n-th retry (from 1).
func (p *Plan) Backoff(n int) time.Duration {
	switch clients := &p.Script.Clients; clients.Backoff {
	case "none":
		return 0
	case "exponential":
		return clients.BackoffDelay << (n - 1)
	default:
		return clients.BackoffDelay
	}
}

// Outcome is the outcome of an unsuccessful attempt as seen by the client.
type Outcome struct {
	Rejected   bool          // true if the node rejected the request
	MayHaveRun bool          // true if the client can't exclude that the request ran
	RetryAfter time.Duration // Retry-After of the response; 0: none
	Elapsed    time.Duration // time since the arrival of the request
}

// Retry returns whether a client makes its n-th retry (from 1) after an unsuccessful attempt, and the delay before
// the retry.
func (p *Plan) Retry(r *Request, n int, outcome Outcome) (delay time.Duration, retry bool) {
	class := &p.Script.Classes[r.Class]
	if n > p.Script.Clients.Retries || outcome.MayHaveRun && class.Idempotency == script.NonIdempotent {
		return 0, false
	}
	delay = p.Backoff(n)
	if honors, _ := p.ClientBehavior(r); outcome.Rejected && honors && outcome.RetryAfter > 0 {
		delay = max(delay, min(outcome.RetryAfter, p.Script.Clients.MaxRetryAfter))
	}
	return delay, class.Deadline-outcome.Elapsed-delay > MinAttemptTime
}

// AttemptTimeout returns the time for which a client waits for an attempt. elapsed is the time between the arrival of
// the request and the attempt.
func (p *Plan) AttemptTimeout(r *Request, elapsed time.Duration) time.Duration {
	deadline := p.Script.Classes[r.Class].Deadline
	return min(time.Duration(p.Script.Clients.AttemptTimeoutFraction*float64(deadline)), deadline-elapsed)
}
