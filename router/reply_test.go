package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// TestRequest_ForgottenOnceFinished checks that a finished request leaves no state and no timer behind, even long
// before its deadline.
func TestRequest_ForgottenOnceFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reject := func(_ policy.Time, ev policy.Event) []policy.Action {
			if request, ok := ev.(policy.Request); ok {
				return []policy.Action{{Kind: policy.Reject, ID: request.ID}}
			}
			return nil
		}
		r, _ := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, reject)
		for i := range 50 {
			wantDo(t, r, readRequest(fmt.Sprint("r", i)), Rejected)
		}
		stats := r.Stats()
		wantNothingLeft(t, stats)
		if stats.Timers != 0 || stats.Answers[Rejected] != 50 {
			t.Errorf("unexpected statistics: %+v", stats)
		}
	})
}

// TestClientGone_NotifiesBalancer checks that the balancer is notified that a client has left. The balancer can then
// cancel the attempts of the request.
func TestClientGone_NotifiesBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, balancer := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, sendOnce)
		ctx, leave := context.WithCancel(t.Context())
		done := startDo(ctx, r, readRequest("r1"))
		synctest.Wait()
		leave()
		if result := <-done; !errors.Is(result.err, context.Canceled) {
			t.Errorf("got outcome %v, error %v; want the error of a canceled context", result.answer.Outcome, result.err)
		}
		balancer.wantEvents(t, "list 2", "request r1", "client gone r1", outcomeName("r1", 0, policy.Cancelled, true))
		wantOneClientGone(t, r)
	})
}

// startAndLeave calls Do for the request id in a goroutine, and cancels the context of Do once the bubble is idle.
func startAndLeave(t *testing.T, r *Router, id string) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	startDo(ctx, r, readRequest(id))
	synctest.Wait()
	leave()
	synctest.Wait()
}

// wantOneClientGone checks that r counts one client as gone, and that no request is left.
func wantOneClientGone(t *testing.T, r *Router) {
	t.Helper()
	stats := r.Stats()
	wantNothingLeft(t, stats)
	if stats.ClientsGone != 1 {
		t.Errorf("unexpected statistics, want one client gone: %+v", stats)
	}
}

// TestClientGone_NothingIsSent checks that nothing is sent for a request whose client has left, even while the
// clientLeft event is still queued. A queued request is not admitted. An admitted request gets no further attempt. An
// attempt that waits for a connection is not written once the client has left or the request is answered, even if the
// settings allow no cancellation.
func TestClientGone_NothingIsSent(t *testing.T) {
	t.Run("while queued", func(t *testing.T) { synctest.Test(t, testClientLeavesWhileQueued) })
	t.Run("between attempts", func(t *testing.T) { synctest.Test(t, testClientLeavesBetweenAttempts) })
	t.Run("while dialling, client gone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testAbandonedWhileDialling(t, sendOnce) })
	})
	t.Run("while dialling, answered", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { testAbandonedWhileDialling(t, sendAndFail) })
	})
}

func testClientLeavesWhileQueued(t *testing.T) {
	transport, resume := &fakeTransport{attempt: serveAtOnce}, make(chan struct{})
	respond := func(now policy.Time, ev policy.Event) []policy.Action {
		if request, ok := ev.(policy.Request); ok && request.ID == "r1" {
			<-resume // blocks the loop until the test closes resume
		}
		return sendOnce(now, ev)
	}
	r, balancer := newTestRouter(t, transport, respond)
	startDo(t.Context(), r, readRequest("r1"))
	synctest.Wait()
	startAndLeave(t, r, "r2")
	close(resume)
	balancer.wantEvents(t, "list 2", "request r1", outcomeName("r1", 0, policy.OK, true))
	transport.wantAttempts(t, 1)
	wantOneClientGone(t, r)
}

func testClientLeavesBetweenAttempts(t *testing.T) {
	transport, resume := &fakeTransport{attempt: endWith(policy.Overloaded)}, make(chan struct{})
	respond := func(_ policy.Time, ev policy.Event) []policy.Action {
		switch ev := ev.(type) {
		case policy.Request:
			return sendActions(ev.ID, 1)
		case policy.Outcome:
			if ev.Attempt == 0 {
				<-resume // blocks the loop until the test closes resume
				return sendActions(ev.ID, 1)
			}
		}
		return nil
	}
	r, balancer := newTestRouter(t, transport, respond)
	startAndLeave(t, r, "r1")
	close(resume)
	balancer.wantEvents(t, "list 2", "request r1",
		outcomeName("r1", 0, policy.Overloaded, false), outcomeName("r1", 1, policy.Superseded, true))
	transport.wantAttempts(t, 1)
	wantOneClientGone(t, r)
}

// sendAndFail is a respondFunc that sends each request and fails it at once.
func sendAndFail(now policy.Time, ev policy.Event) []policy.Action {
	if request, ok := ev.(policy.Request); ok {
		return append(sendActions(request.ID, 1), policy.Action{Kind: policy.Fail, ID: request.ID})
	}
	return sendOnce(now, ev)
}

func testAbandonedWhileDialling(t *testing.T, respond respondFunc) {
	connected := make(chan struct{})
	abandoned := false
	attempt := func(ctx context.Context, _ string, _ *Request) Result {
		<-connected
		abandoned = ctx.(AbandonableContext).Abandoned()
		return Result{Code: policy.Superseded}
	}
	r, _ := newTestRouter(t, &fakeTransport{attempt: attempt}, respond)
	startAndLeave(t, r, "r1")
	close(connected)
	synctest.Wait()
	if !abandoned {
		t.Error("the attempt may still be written")
	}
	wantNothingLeft(t, r.Stats())
}

// TestClose_AnswersOpenRequests checks that Close answers each open request once. The answer is Failed if the request
// may have run, and Rejected otherwise.
func TestClose_AnswersOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{attempt: hangUntilCancelled}
		r, balancer := newTestRouter(t, transport, sendOnceExcept("queued"))
		sent := startDo(t.Context(), r, readRequest("sent"))
		queued := startDo(t.Context(), r, readRequest("queued"))
		synctest.Wait()
		closeRouter(t, r)
		wantResult(t, "sent", sent, Failed)
		wantResult(t, "queued", queued, Rejected)
		names := balancer.eventNames()
		if !slices.Contains(names, "client gone sent") || !slices.Contains(names, "client gone queued") {
			t.Errorf("the balancer received %q, want both clients reported as gone", names)
		}
		if _, err := r.Do(t.Context(), readRequest("late")); !errors.Is(err, ErrClosed) {
			t.Errorf("Do after Close: error %v, want ErrClosed", err)
		}
		closeRouter(t, r)
		if transport.closed != 1 {
			t.Errorf("the transport was closed %d times, want once", transport.closed)
		}
	})
}

// TestClose_UnderLoad checks that each call of Do returns once, with an answer or an error, if Close is called under
// load. Requests arrive, end and are abandoned during Close.
func TestClose_UnderLoad(t *testing.T) {
	for range 20 {
		synctest.Test(t, testCloseUnderLoad)
	}
}

func testCloseUnderLoad(t *testing.T) {
	checker := newRuleChecker(rand.NewPCG(3, 4))
	config := testConfig()
	config.Endpoints = testEndpoints(4)
	r, _ := newTestRouterWithConfig(t, config, &fakeTransport{attempt: checker.attempt}, nil)
	var clients sync.WaitGroup
	for i := range 200 {
		clients.Go(func() {
			time.Sleep(time.Duration(i%20) * ms)
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%30)*ms)
			defer cancel()
			_, err := r.Do(ctx, readRequest(fmt.Sprint("r", i)))
			if err != nil && !errors.Is(err, ErrClosed) && !errors.Is(err, context.DeadlineExceeded) {
				t.Error(err)
			}
		})
	}
	time.Sleep(10 * ms)
	closeRouter(t, r)
	clients.Wait()
	if stats := r.Stats(); stats.Phase != Closed || len(stats.OpenByClass) != 0 {
		t.Errorf("unexpected statistics after Close: %+v", stats)
	}
}

// TestReject_RetryAfterWithinMaximum checks that Retry-After does not exceed Capabilities.MaxRetryAfter, even if the
// quota of the tenant refills slowly.
func TestReject_RetryAfterWithinMaximum(t *testing.T) {
	config := testConfig()
	config.Settings.Tenants = []policy.Tenant{{Name: "t", Quota: 0.1}} // one token every ten seconds
	config.Settings.Capabilities.MaxRetryAfter = 2 * time.Second
	engine, err := NewStepped(config, &countingHost{}, time.UnixMilli(1_700_000_000_000))
	if err != nil {
		t.Fatal(err)
	}
	rejected, longest := 0, time.Duration(0)
	for i := range 200 {
		request := Request{ID: fmt.Sprint("r", i), Class: "read", Tenant: "t"}
		err := engine.Submit(time.Second, request, func(answer Answer) {
			if answer.Outcome != Rejected {
				return
			}
			rejected++
			longest = max(longest, answer.RetryAfter)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if limit := config.Settings.Capabilities.MaxRetryAfter; rejected == 0 || longest <= 0 || longest > limit {
		t.Errorf("%d requests were rejected, with a Retry-After of at most %v; want at most %v", rejected, longest, limit)
	}
}
