package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"cobaltward/policy"
)

// ruleChecker makes attempts with results drawn from a seed. It checks that no request of the class "pay" is sent
// again once it may have run.
type ruleChecker struct {
	mu         sync.Mutex
	rng        *rand.Rand
	mayHaveRun map[string]bool // by request ID
	violations []string
}

func newRuleChecker(source rand.Source) *ruleChecker {
	return &ruleChecker{rng: rand.New(source), mayHaveRun: make(map[string]bool)}
}

// attempt is an attemptFunc with a random result.
func (c *ruleChecker) attempt(ctx context.Context, _ string, r *Request) Result {
	code, took := c.draw(r)
	select {
	case <-time.After(took):
		return Result{Code: code}
	case <-ctx.Done():
		return Result{Code: policy.Cancelled}
	}
}

// draw checks an attempt of r, and draws its result and its duration.
func (c *ruleChecker) draw(r *Request) (policy.Code, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	code := drawCode(c.rng.Float64())
	took := time.Duration(c.rng.IntN(20)) * ms
	if r.Class == "pay" && c.mayHaveRun[r.ID] {
		c.violations = append(c.violations, r.ID+" was sent again although it may have run")
	}
	if !code.NotExecuted() {
		c.mayHaveRun[r.ID] = true
	}
	return code, took
}

func drawCode(draw float64) policy.Code {
	switch {
	case draw < 0.05:
		return policy.Overloaded
	case draw < 0.08:
		return policy.ConnectFailed
	case draw < 0.10:
		return policy.Reset
	case draw < 0.12:
		return policy.ServerError
	}
	return policy.OK
}
