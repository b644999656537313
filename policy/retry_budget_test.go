package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestRetryBudget_CountsExactly checks that the retry budget counts all received requests, including rejected
// requests, and each retry.
func TestRetryBudget_CountsExactly(t *testing.T) {
	settings := testSettings(1)
	settings.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0.5, Window: time.Second}
	b := startBalancer(t, settings, testEndpoints(9))
	countRetries := func(now Time, from, n int) (sent int) {
		for i := range n {
			id := fmt.Sprint(from + i)
			for _, a := range actionsOf(slices.Clone(b.Handle(now, testRequest(id, "idempotent"))), Send) {
				sent += len(actionsOf(b.Handle(now, testOutcome(id, 0, a.Server, ServerError, ms)), Send))
			}
		}
		return sent
	}
	if got := countRetries(ms, 0, 4); got > 4 { // MinRetries is 2, plus half of the 4 requests
		t.Errorf("%d retries for 4 requests, at most 4 allowed", got)
	}
	b.retries, b.accepted = nil, []Time{0, 1, 2, 3}
	b.now = 500 * ms
	for n := range 10 {
		if allowed := b.retryBudgetAllows(); allowed != (n < 3) { // a further retry must stay below the limit of 4
			t.Fatalf("after %d retries: another one allowed: %v", n, allowed)
		}
		if !b.retryBudgetAllows() {
			break
		}
		b.retries = append(b.retries, b.now)
	}
	b.now = time.Second + 4 // the requests have left the window, and the retries have not
	if b.retryBudgetAllows() {
		t.Error("more than MinRetries allowed for requests that have left the window")
	}
	b.now = 2 * time.Second
	if !b.retryBudgetAllows() || len(b.retries)+len(b.accepted) != 0 {
		t.Error("retries or requests of a past window still count")
	}
}

// TestRetryBudget_ChargesLessWhereServersShedLoad checks that a retry is charged less than 1 to the budget if servers
// shed load, the request can't have been executed, and the site sets no budget.
func TestRetryBudget_ChargesLessWhereServersShedLoad(t *testing.T) {
	stated := &RetryBudget{MinRetries: 50, Window: time.Second}
	for _, test := range []struct {
		name     string
		shedding bool
		ran      bool
		budget   *RetryBudget
		want     int
	}{
		{name: "servers shed load", shedding: true, want: 3}, // 20 retries at sheddingRetryCost, 0.15
		{name: "servers don't shed load", shedding: false, want: 20},
		{name: "request may have been executed", shedding: true, ran: true, want: 20},
		{name: "budget set by the site", shedding: true, budget: stated, want: 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings(1)
			settings.Rules.RetryBudget = test.budget
			b := startBalancer(t, settings, testEndpoints(2))
			if test.shedding {
				b.overloadRatio = 1
			}
			r := &request{}
			if test.ran {
				r.firstMaybeExecuted = &attempt{}
			}
			for range 20 {
				b.chargeRetry(r)
			}
			if got := len(b.retries); got < test.want-1 || got > test.want {
				t.Errorf("%d retries charged, want %d", got, test.want)
			}
		})
	}
}

// TestRetryBudget_ForgetsAcceptedRequests checks that the number of recorded request times is bounded, even without
// retries.
func TestRetryBudget_ForgetsAcceptedRequests(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	for i := range 5000 {
		b.Handle(Time(i)*10*ms, testRequest(fmt.Sprint(i), "idempotent"))
		b.Handle(Time(i)*10*ms, ClientGone{ID: fmt.Sprint(i)})
	}
	if n := len(b.accepted); n > 1100 {
		t.Errorf("times of %d requests kept, want those within the window of %v", n, b.retryBudget.Window)
	}
}
