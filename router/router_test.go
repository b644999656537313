package router

import (
	"strings"
	"testing"
	"testing/synctest"
)

func TestNew_InvalidArguments(t *testing.T) {
	if _, err := New(testConfig()); err == nil || !strings.Contains(err.Error(), "transport") {
		t.Errorf("without a transport: error %v, want one that names the transport", err)
	}
	config := testConfig()
	config.Settings.Classes[0].LatencyObjective = -1
	_, err := New(config, WithTransport(&fakeTransport{attempt: serveAtOnce}))
	if err == nil || !strings.Contains(err.Error(), `class "read": aim`) {
		t.Errorf("with a negative latency objective: error %v, want one that names the field", err)
	}
}

// TestRouter_InstancesAreIndependent checks that two routers in one process share nothing. Neither the end of one
// router nor its request IDs affect the other router.
func TestRouter_InstancesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		second, _ := newTestRouter(t, &fakeTransport{attempt: serveAtOnce}, nil)
		wantDo(t, first, readRequest("same"), Served)
		wantDo(t, second, readRequest("same"), Served)
		closeRouter(t, first)
		wantDo(t, second, readRequest("next"), Served)
		if stats := second.Stats(); stats.Answers[Served] != 2 {
			t.Errorf("%d served answers were counted, want 2", stats.Answers[Served])
		}
	})
}
