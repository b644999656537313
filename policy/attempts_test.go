package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestRequest_ZoneLocalAndMaxQueueTime(t *testing.T) {
	t.Run("stays in its zone when that is full", func(t *testing.T) {
		b := startBalancer(t, testSettings(1), testEndpoints(4))
		for _, s := range b.order {
			s.threshold = 1
		}
		for i := range 4 {
			r := testRequest(fmt.Sprint(i), "idempotent")
			r.ZoneLocal = true
			sends := actionsOf(b.Handle(ms, r), Send)
			if len(sends) > 1 || len(sends) == 1 && sends[0].Server != "s00" && sends[0].Server != "s02" {
				t.Errorf("zone-local request left its zone: %+v", sends)
			}
		}
	})
	t.Run("leaves a zone without servers", func(t *testing.T) {
		endpoints := testEndpoints(4)
		b := startBalancer(t, testSettings(1), []Endpoint{endpoints[1], endpoints[3]})
		r := testRequest("far", "idempotent")
		r.ZoneLocal = true
		if server := sentServer(t, b.Handle(ms, r)); server != "s01" {
			t.Errorf("zone-local request sent to %s, want s01", server)
		}
	})
	for maximum, want := range map[time.Duration]time.Duration{0: 125 * ms, 30 * ms: 30 * ms, time.Hour: 125 * ms} {
		t.Run(fmt.Sprintf("queued for %v at most", maximum), func(t *testing.T) {
			waited := queueTimeWithoutServer(t, maximum)
			if waited < want-25*ms || waited > want+25*ms {
				t.Errorf("rejected after %v, want %v", waited, want)
			}
		})
	}
}

// queueTimeWithoutServer returns the time until a queued request ends if there is no server. maximum is the
// MaxQueueTime of the request.
func queueTimeWithoutServer(t *testing.T, maximum time.Duration) time.Duration {
	t.Helper()
	b := startBalancer(t, testSettings(1), nil)
	r := testRequest("queued", "idempotent")
	r.MaxQueueTime = maximum
	acts, now := b.Handle(ms, r), ms
	for len(actionsOf(acts, Reject))+len(actionsOf(acts, Fail)) == 0 && now < 600*ms {
		now += 5 * ms
		acts = nil
		for token := range uint64(16) {
			acts = append(acts, b.Handle(now, Timer{Token: token})...)
		}
	}
	return now - ms
}

func TestRetry_FollowsIdempotency(t *testing.T) {
	for _, test := range []struct {
		name       string
		class      string
		code       Code
		after      time.Duration
		retried    bool
		sameZone   bool
		sameCell   bool
		wantAction ActionKind // action expected if the request is not retried
	}{
		{name: "idempotent after error", class: "idempotent", code: ServerError, retried: true},
		{name: "single after error", class: "single", code: ServerError, wantAction: Fail},
		{name: "single after reset", class: "single", code: Reset, wantAction: Fail},
		{name: "single after time-out", class: "single", code: TimedOut, wantAction: Fail},
		{name: "single after overload", class: "single", code: Overloaded, retried: true},
		{name: "single after failed connect", class: "single", code: ConnectFailed, retried: true},
		{name: "all servers deduplicate", class: "dedup-all", code: ServerError, retried: true},
		{name: "zone deduplicates", class: "dedup-zone", code: ServerError, retried: true, sameZone: true},
		{name: "cell deduplicates", class: "dedup-cell", code: ServerError, retried: true, sameCell: true},
		{name: "all, after the window", class: "dedup-all", code: ServerError, after: 301 * ms, wantAction: Reject},
		{name: "zone, after the window", class: "dedup-zone", code: ServerError, after: 301 * ms, wantAction: Fail},
		{name: "cell, after the window", class: "dedup-cell", code: ServerError, after: 301 * ms, wantAction: Fail},
	} {
		t.Run(test.name, func(t *testing.T) {
			endpoints := testEndpoints(8)
			b := startBalancer(t, testSettings(1), endpoints)
			first := sentServer(t, b.Handle(ms, testRequest("x", test.class)))
			acts := b.Handle(2*ms+test.after, testOutcome("x", 0, first, test.code, test.after))
			if !test.retried {
				if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, test.wantAction)) != 1 {
					t.Errorf("%s: outcome %v after %v led to %+v, want no retry but one action of the expected kind",
						test.class, test.code, test.after, acts)
				}
				return
			}
			second := sentServer(t, acts)
			zones, cells := map[string]string{}, map[string]Cell{}
			for _, endpoint := range endpoints {
				zones[endpoint.Server], cells[endpoint.Server] = endpoint.Zone, endpoint.Cell
			}
			if test.sameZone && zones[first] != zones[second] || test.sameCell && cells[first] != cells[second] {
				t.Errorf("%s: first attempt at %s, retry at %s outside the deduplication scope",
					test.class, first, second)
			}
		})
	}
}

// TestHedge_OnlyForSilentServers checks that a slow attempt is hedged only if its server has not answered other
// requests either. If the server answers other requests, the slow request is expensive at any server.
func TestHedge_OnlyForSilentServers(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			b := startBalancer(t, testSettings(1), testEndpoints(4))
			s := b.servers[sentServer(t, b.Handle(ms, testRequest("x", "idempotent")))]
			if !silent {
				s.lastAnswer = 50 * ms
			}
			acts := b.Handle(240*ms, Timer{Token: firstClassTimerToken})
			if got := len(actionsOf(acts, Send)) == 1; got != silent {
				t.Errorf("hedged request sent: %v, want %v", got, silent)
			}
		})
	}
}

// TestQueue_RejectsWithinHalfOfRequestTime checks that a queued request is rejected within half of its time. The
// client then has time left to retry elsewhere.
func TestQueue_RejectsWithinHalfOfRequestTime(t *testing.T) {
	b := startBalancer(t, testSettings(1), nil)
	r := testRequest("x", "idempotent")
	r.ExpiresIn = 100 * ms // shorter than the class's latency objective
	acts := b.Handle(ms, r)
	for now := ms; now <= 51*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(actionsOf(acts, Reject)) != 1 {
		t.Errorf("request was not rejected once within half of its time: %+v", acts)
	}
}
