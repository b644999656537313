package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The budget counts every request accepted, those rejected too, and each retry itself.
func TestRetryBudget_CountsExactly(t *testing.T) {
	settings := testSettings(1)
	settings.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0.5, Window: time.Second}
	b := startBalancer(t, settings, testEndpoints(9))
	extras := func(now Time, from, n int) (sent int) {
		for i := range n {
			id := fmt.Sprint(from + i)
			for _, a := range actionsOf(slices.Clone(b.Handle(now, testRequest(id, "idempotent"))), Send) {
				sent += len(actionsOf(b.Handle(now, testOutcome(id, 0, a.Server, ServerError, ms)), Send))
			}
		}
		return sent
	}
	if got := extras(ms, 0, 4); got > 4 { // two, and half of four
		t.Errorf("%d retries for 4 requests, at most 4 allowed", got)
	}
	b.retries, b.accepted = nil, []Time{0, 1, 2, 3}
	b.now = 500 * ms
	for n := range 10 {
		if may := b.retryBudgetAllows(); may != (n < 3) { // on the safe side of the exact 4
			t.Fatalf("after %d retries: may repeat %v", n, may)
		}
		if !b.retryBudgetAllows() {
			break
		}
		b.retries = append(b.retries, b.now)
	}
	b.now = time.Second + 4 // the requests have left the window, the attempts have not
	if b.retryBudgetAllows() {
		t.Error("more than the least is allowed for requests that have left the window")
	}
	b.now = 2 * time.Second
	if !b.retryBudgetAllows() || len(b.retries)+len(b.accepted) != 0 {
		t.Error("the window was not emptied")
	}
}

// Offers after overload answers cost a part of a retry, but only where servers shed load, nothing
// ran, and the site states no budget.
func TestRetryBudget_ChargesLessWhereServersShedLoad(t *testing.T) {
	for _, c := range []struct {
		early, ran bool
		budget     *RetryBudget
		want       int
	}{
		{early: true, want: 3}, // 20 times 0.15
		{early: false, want: 20},
		{early: true, ran: true, want: 20},
		{early: true, budget: &RetryBudget{MinRetries: 50, Window: time.Second}, want: 20},
	} {
		settings := testSettings(1)
		settings.Rules.RetryBudget = c.budget
		b := startBalancer(t, settings, testEndpoints(2))
		if c.early {
			b.overloadRatio = 1
		}
		r := &request{}
		if c.ran {
			r.mayHaveRun = &attempt{}
		}
		for range 20 {
			b.chargeRetry(r)
		}
		if got := len(b.retries); got < c.want-1 || got > c.want {
			t.Errorf("%+v: %d attempts charged", c, got)
		}
	}
}

// Also where nothing is ever sent again, what the retry budget counts by doesn't grow.
func TestRetryBudget_ForgetsAcceptedRequests(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	for i := range 5000 {
		b.Handle(Time(i)*10*ms, testRequest(fmt.Sprint(i), "idempotent"))
		b.Handle(Time(i)*10*ms, ClientGone{ID: fmt.Sprint(i)})
	}
	if n := len(b.accepted); n > 1100 {
		t.Errorf("%d times kept for a span of %v", n, b.retryBudget.Window)
	}
}
