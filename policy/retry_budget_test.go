package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// The budget counts every request taken, those refused too, and each further attempt itself.
func TestRetryBudget_CountsExactly(t *testing.T) {
	set := site(1)
	set.Rules.RetryBudget = &RetryBudget{MinRetries: 2, RetryRatio: 0.5, Window: time.Second}
	b := start(t, set, members(9))
	extras := func(now Time, from, n int) (sent int) {
		for i := range n {
			id := fmt.Sprint(from + i)
			for _, a := range of(slices.Clone(b.Handle(now, ask(id, "free"))), Send) {
				sent += len(of(b.Handle(now, outcome(id, 0, a.Server, ServerError, ms)), Send))
			}
		}
		return sent
	}
	if got := extras(ms, 0, 4); got > 4 { // two, and half of four
		t.Errorf("%d further attempts for 4 requests, at most 4 allowed", got)
	}
	b.retries, b.accepted = nil, []Time{0, 1, 2, 3}
	b.now = 500 * ms
	for n := range 10 {
		if may := b.retryBudgetAllows(); may != (n < 3) { // on the safe side of the exact 4
			t.Fatalf("after %d further attempts: may repeat %v", n, may)
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

// Offers after full answers cost a part of a further attempt, but only where servers shed early, nothing
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
		set := site(1)
		set.Rules.RetryBudget = c.budget
		b := start(t, set, members(2))
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
			t.Errorf("%+v: %d attempts booked", c, got)
		}
	}
}

// Also where nothing is ever sent again, what the budget of attempts counts by doesn't grow.
func TestRetryBudget_ForgetsAcceptedRequests(t *testing.T) {
	b := start(t, site(1), members(2))
	for i := range 5000 {
		b.Handle(Time(i)*10*ms, ask(fmt.Sprint(i), "free"))
		b.Handle(Time(i)*10*ms, ClientGone{ID: fmt.Sprint(i)})
	}
	if n := len(b.accepted); n > 1100 {
		t.Errorf("%d times kept for a span of %v", n, b.retryBudget.Window)
	}
}
