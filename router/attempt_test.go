package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// TestAttempt_SkippedBeyondMaxAttempts checks that attempts beyond the limit are skipped, keep their numbers, and are
// reported as superseded.
func TestAttempt_SkippedBeyondMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{attempt: endWith(policy.ServerError)}
		r, balancer := newTestRouter(t, transport, sendTimes(4))
		startDo(t.Context(), r, readRequest("r1"))
		synctest.Wait()
		got := balancer.eventNames()
		if len(got) != 6 || got[2] != outcomeName("r1", 3, policy.Superseded, false) {
			t.Errorf("the balancer received %q, want 6 events, the third of them the superseded attempt", got)
		}
		transport.wantAttempts(t, 3)
	})
}

// TestAttempt_NoneAfterFinalAnswer checks that no attempt is sent after the final answer. The outcome of the attempt
// in flight must still be reported.
func TestAttempt_NoneAfterFinalAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{attempt: hangUntilCancelled}
		respond := func(_ policy.Time, ev policy.Event) []policy.Action {
			switch ev := ev.(type) {
			case policy.Request:
				return append(sendActions(ev.ID, 1), policy.Action{Kind: policy.SetTimer, Token: 1, Wait: ms})
			case policy.Timer:
				return []policy.Action{
					{Kind: policy.Fail, ID: "r1"},
					{Kind: policy.Reject, ID: "r1"},
					{Kind: policy.Send, ID: "r1", Server: "s0"},
					{Kind: policy.Cancel, ID: "r1", Attempt: 0},
				}
			}
			return nil
		}
		r, balancer := newTestRouter(t, transport, respond)
		wantDo(t, r, readRequest("r1"), Failed) // the Fail action comes before the Reject action
		balancer.wantEvents(t, "list 2", "request r1", "timer 1",
			outcomeName("r1", 1, policy.Superseded, true), outcomeName("r1", 0, policy.Cancelled, true))
		transport.wantAttempts(t, 1)
	})
}

// TestAttempt_TimeoutClippedToDeadline checks that an attempt ends before the client's deadline, even if the balancer
// allows more time.
func TestAttempt_TimeoutClippedToDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var timeLeft time.Duration
		attempt := func(ctx context.Context, server string, r *Request) Result {
			end, _ := ctx.Deadline()
			timeLeft = time.Until(end)
			return hangUntilCancelled(ctx, server, r)
		}
		respond := func(now policy.Time, ev policy.Event) []policy.Action {
			switch ev := ev.(type) {
			case policy.Request:
				return []policy.Action{{Kind: policy.Send, ID: ev.ID, Server: "s0", Until: now + time.Hour}}
			case policy.Outcome:
				return []policy.Action{{Kind: policy.Fail, ID: ev.ID}}
			}
			return nil
		}
		r, _ := newTestRouter(t, &fakeTransport{attempt: attempt}, respond)
		req := readRequest("r1")
		req.Timeout = 2 * time.Second
		wantDo(t, r, req, Failed)
		if timeLeft <= 0 || timeLeft > 2*time.Second {
			t.Errorf("the attempt was given %v, though the client waits for 2 s", timeLeft)
		}
	})
}
