package plan

import (
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/script"
)

// MinAttemptTime is the time left to the deadline below which a client doesn't retry.
const MinAttemptTime = 50 * time.Millisecond

// Work returns the work of a request in seconds of a core of speed 1: the same for each attempt, at each server and at
// each replay.
func (p *Plan) Work(r *Request) float64 {
	return p.work[p.Script.Classes[r.Class].Name].Draw(p.Seed, r.ID) * r.CostFactor
}

// Chance returns a number above 0 and below 1 that depends only on the seed, the purpose and the ID.
func (p *Plan) Chance(purpose, id string) float64 { return model.Uniform(p.Seed, purpose+"\x00"+id) }

// ClientBehavior returns whether the client of a request obeys Retry-After, and the fraction of the attempt's timeout
// after which the client disconnects; 0: it stays.
func (p *Plan) ClientBehavior(r *Request) (honorsRetryAfter bool, disconnectAfter float64) {
	clients := &p.Script.Clients
	honorsRetryAfter = p.Chance("honour", r.ID) < clients.HonorFraction
	if p.Chance("impatient", r.ID) < clients.EarlyLeaveFraction {
		disconnectAfter = p.Chance("leaves", r.ID)
	}
	return honorsRetryAfter, disconnectAfter
}

// Backoff returns the time that a client waits before its n-th retry.
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

// Outcome is the end of an unsuccessful attempt as its client sees it.
type Outcome struct {
	Rejected   bool          // by the node
	MayHaveRun bool          // the client can't exclude that the request ran
	RetryAfter time.Duration // of the response; 0: none
	Elapsed    time.Duration // since the arrival of the request
}

// Retry returns whether a client makes its n-th retry after an unsuccessful attempt, and the delay before it.
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

// AttemptTimeout returns the time that a client waits for an attempt, given the time since the request arrived.
func (p *Plan) AttemptTimeout(r *Request, elapsed time.Duration) time.Duration {
	deadline := p.Script.Classes[r.Class].Deadline
	return min(time.Duration(p.Script.Clients.AttemptTimeoutFraction*float64(deadline)), deadline-elapsed)
}
