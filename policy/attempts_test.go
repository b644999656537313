package policy

import (
	"fmt"
	"testing"
	"time"
)

// What is not to cross zones goes to the node's own as long as it has a server, however full; what is to wait for less is
// rejected then.
func TestRequest_ZoneLocalAndMaxQueueTime(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(4))
	for _, s := range b.order {
		s.threshold = 1
	}
	for i := range 4 {
		r := testRequest(fmt.Sprint(i), "idempotent")
		r.ZoneLocal = true
		if acts := actionsOf(b.Handle(ms, r), Send); len(acts) > 1 || len(acts) == 1 && acts[0].Server != "s00" && acts[0].Server != "s02" {
			t.Errorf("it crosses zones: %+v", acts)
		}
	}
	far := testEndpoints(4)
	b = startBalancer(t, testSettings(1), []Endpoint{far[1], far[3]})
	r := testRequest("far", "idempotent")
	if r.ZoneLocal = true; sentServer(t, b.Handle(ms, r)) != "s01" {
		t.Error("a zone without a server keeps what is not to cross it")
	}
	for hold, want := range map[time.Duration]time.Duration{0: 125 * ms, 30 * ms: 30 * ms, time.Hour: 125 * ms} {
		b = startBalancer(t, testSettings(1), nil)
		r := testRequest("held", "idempotent")
		r.MaxQueueTime = hold
		acts, now := b.Handle(ms, r), Time(ms)
		for len(actionsOf(acts, Reject))+len(actionsOf(acts, Fail)) == 0 && now < 600*ms {
			now += 5 * ms
			acts = nil
			for token := range uint64(16) {
				acts = append(acts, b.Handle(now, Timer{Token: token})...)
			}
		}
		if waited := time.Duration(now - ms); waited < want-25*ms || waited > want+25*ms {
			t.Errorf("to be queued for %v: rejected after %v, want %v", hold, waited, want)
		}
	}
}

func TestRetry_FollowsIdempotency(t *testing.T) {
	for _, c := range []struct {
		class      string
		code       Code
		after      time.Duration
		resent     bool
		sameZone   bool
		sameCell   bool
		mayRefuse  bool
		wantAction ActionKind
	}{
		{class: "idempotent", code: ServerError, resent: true},
		{class: "single", code: ServerError, wantAction: Fail},
		{class: "single", code: Reset, wantAction: Fail},
		{class: "single", code: TimedOut, wantAction: Fail},
		{class: "single", code: Overloaded, resent: true},
		{class: "single", code: ConnectFailed, resent: true},
		{class: "dedup-all", code: ServerError, resent: true},
		{class: "dedup-zone", code: ServerError, resent: true, sameZone: true},
		{class: "dedup-cell", code: ServerError, resent: true, sameCell: true},
		{class: "dedup-all", code: ServerError, after: 301 * ms, wantAction: Reject},
		{class: "dedup-zone", code: ServerError, after: 301 * ms, wantAction: Fail},
		{class: "dedup-cell", code: ServerError, after: 301 * ms, wantAction: Fail},
	} {
		list := testEndpoints(8)
		b := startBalancer(t, testSettings(1), list)
		first := sentServer(t, b.Handle(ms, testRequest("x", c.class)))
		acts := b.Handle(2*ms+c.after, testOutcome("x", 0, first, c.code, c.after))
		if !c.resent {
			if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, c.wantAction)) != 1 {
				t.Errorf("%s after %v at %v: got %+v", c.class, c.code, c.after, acts)
			}
			continue
		}
		second := sentServer(t, acts)
		zone, cell := map[string]string{}, map[string]int64{}
		for _, m := range list {
			zone[m.Server], cell[m.Server] = m.Zone, m.Cell
		}
		if c.sameZone && zone[first] != zone[second] || c.sameCell && cell[first] != cell[second] {
			t.Errorf("%s: first %s, then %s outside its group", c.class, first, second)
		}
	}
}

// A hedged request is for an attempt whose server has gone silent; one that answers others has a heavy
// request, and a copy would be as heavy elsewhere.
func TestHedge_OnlyForSilentServers(t *testing.T) {
	for _, silent := range []bool{true, false} {
		b := startBalancer(t, testSettings(1), testEndpoints(4))
		s := b.servers[sentServer(t, b.Handle(ms, testRequest("x", "idempotent")))]
		if !silent {
			s.lastAnswer = 50 * ms
		}
		acts := b.Handle(240*ms, Timer{Token: firstClassTimerToken})
		if got := len(actionsOf(acts, Send)) == 1; got != silent {
			t.Errorf("silent %v: hedged request sent %v", silent, got)
		}
	}
}

// A client that is rejected still has half of its time to go elsewhere.
func TestQueue_RejectsWithinHalfOfRequestTime(t *testing.T) {
	b := startBalancer(t, testSettings(1), nil)
	e := testRequest("x", "idempotent")
	e.ExpiresIn = 100 * ms // less than the class's objective
	acts := b.Handle(ms, e)
	for now := ms; now <= 51*ms; now += queuePollInterval {
		acts = append(acts, b.Handle(now, Timer{Token: queueTimerToken})...)
	}
	if len(actionsOf(acts, Reject)) != 1 {
		t.Errorf("not rejected within half of its time: %+v", acts)
	}
}
