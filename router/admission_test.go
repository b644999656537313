package router

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
)

// TestOverload_RetryAfterFollowsSettings checks that requests that the router rejects without the balancer get a
// Retry-After only if the settings allow it. The Retry-After must not exceed the maximum of the settings.
func TestOverload_RetryAfterFollowsSettings(t *testing.T) {
	tests := map[string]struct {
		capabilities policy.Capabilities
		want         time.Duration
	}{
		"not allowed":   {policy.Capabilities{MaxRetryAfter: time.Minute}, 0},
		"short maximum": {policy.Capabilities{RetryAfter: true, MaxRetryAfter: 200 * ms}, 200 * ms},
		"long maximum":  {policy.Capabilities{RetryAfter: true, MaxRetryAfter: time.Minute}, routerRetryAfter},
		"no maximum":    {policy.Capabilities{RetryAfter: true}, routerRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := testConfig()
				config.Settings.Capabilities = test.capabilities
				config.MaxInFlight = 1
				r, _ := newTestRouterWithConfig(t, config, &fakeTransport{attempt: hangUntilCancelled}, noActions)
				startDo(t.Context(), r, readRequest("r1"))
				synctest.Wait()
				if got := wantDo(t, r, readRequest("surplus"), Overloaded).RetryAfter; got != test.want {
					t.Errorf("Retry-After %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestAdmission_AnswersDuplicatesAndSurplus checks that the router answers duplicates and requests beyond the limit
// without the balancer.
func TestAdmission_AnswersDuplicatesAndSurplus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, balancer := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, noActions)
		startDo(t.Context(), r, readRequest("r1"))
		synctest.Wait()
		wantDo(t, r, readRequest("r1"), Conflict)
		for i := 2; i <= 100; i++ {
			startDo(t.Context(), r, readRequest(fmt.Sprint("r", i)))
		}
		synctest.Wait()
		if answer := wantDo(t, r, readRequest("surplus"), Overloaded); answer.RetryAfter <= 0 {
			t.Errorf("Retry-After %v, want more than 0", answer.RetryAfter)
		}
		if n := len(balancer.eventNames()); n != 1+100 {
			t.Errorf("the balancer received %d events, want the list and 100 requests", n)
		}
		time.Sleep(classDeadline)
		wantDo(t, r, readRequest("r1"), Conflict) // also after the first request has ended
	})
}

// TestAdmission_BoundsOpenRequests checks that the limit on open requests holds. Ten thousand concurrent requests
// meet a limit of a hundred. The surplus is rejected at once, and no goroutine of the router is left.
func TestAdmission_BoundsOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		r, _ := newTestRouter(t, &fakeTransport{attempt: serveAfter(release)}, sendTimes(1))
		var outcomes [len(outcomeNames)]atomic.Int64
		var clients sync.WaitGroup
		for i := range 10_000 {
			clients.Go(func() {
				answer, err := r.Do(t.Context(), readRequest(fmt.Sprint("r", i)))
				if err != nil {
					t.Error(err)
				}
				outcomes[answer.Outcome].Add(1)
			})
		}
		synctest.Wait()
		if stats := r.Stats(); stats.OpenByClass["read"] != 100 || stats.AttemptsInFlight != 100 {
			t.Errorf("%d open, %d attempts in flight, want 100", stats.OpenByClass["read"], stats.AttemptsInFlight)
		}
		close(release)
		clients.Wait()
		if served, overloaded := outcomes[Served].Load(), outcomes[Overloaded].Load(); served != 100 || overloaded != 9_900 {
			t.Errorf("%d served, %d overloaded; want 100 and 9900", served, overloaded)
		}
	})
}
