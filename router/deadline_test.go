package router

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestBackstop_AnswersForSilentBalancer checks that the backstop answers shortly before the client stops waiting if
// the balancer never answers.
func TestBackstop_AnswersForSilentBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, balancer := newTestRouter(t, &fakeTransport{attempt: hangUntilCancelled}, noActions)
		began := time.Now()
		req := readRequest("r1")
		req.Timeout = 200 * ms
		wantDo(t, r, req, Expired)
		if took := time.Since(began); took >= 200*ms || took < 180*ms {
			t.Errorf("answered after %v, want 180 ms to 200 ms", took)
		}
		balancer.wantEvents(t, "list 2", "request r1", "client gone r1")
	})
}
