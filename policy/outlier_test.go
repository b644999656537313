package policy

import (
	"fmt"
	"testing"
	"time"
)

// A probe that its hedged request outran must not block later probes.
func TestProbe_OutrunByHedgeIsRepeated(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.health.ejectedUntil
	if got := sentServer(t, b.Handle(now, testRequest("x", "idempotent"))); got != "s00" {
		t.Fatalf("probe went to %s", got)
	}
	b.Handle(now+100*ms, testOutcome("x", 0, "s00", Cancelled, 100*ms))
	if s.health.probeInFlight {
		t.Error("the probe still counts as out")
	}
	now = s.health.ejectedUntil
	if got := sentServer(t, b.Handle(now, testRequest("y", "idempotent"))); got != "s00" {
		t.Errorf("next probe went to %s, want s00", got)
	}
}

// A hung server that is full rejects probes at once: that must not invite the next probe.
func TestProbe_OverloadPostponesNext(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.health.ejectedUntil
	b.Handle(now, testRequest("x", "idempotent"))
	b.Handle(now+ms, testOutcome("x", 0, "s00", Overloaded, ms))
	if got := sentServer(t, b.Handle(now+2*ms, testRequest("y", "idempotent"))); got == "s00" {
		t.Error("probed again at once")
	}
}

// A slow request at a server that answers others is no sign of a hang.
func TestOutlier_TimeoutAtAnsweringServerIsNoFault(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.Handle(ms, testRequest("x", "single"))
	s.lastAnswer = 100 * ms
	b.Handle(600*ms, testOutcome("x", 0, "s00", TimedOut, 600*ms))
	if s.health.faultScore != 0 {
		t.Errorf("score %v, want 0", s.health.faultScore)
	}
}

// Faults that all servers have alike neither close thresholds nor eject; a server that has many more
// is ejected all the same, and where others have none it takes two in a row.
func TestOutlier_CommonFaultsCountLess(t *testing.T) {
	try := func(b *Balancer, now Time, s *server, code Code) {
		id := fmt.Sprint(now)
		b.requests[id] = &request{id: id, class: b.classes["single"], deadline: now + time.Second}
		b.send(b.requests[id], s, false)
		b.Handle(now+20*ms, testOutcome(id, 0, s.Server, code, 20*ms))
	}
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	first := b.servers["s00"].threshold
	now := Time(0)
	for i := range 1200 { // one in ten, and sometimes two in a row
		now += 25 * ms
		code := OK
		if k := i / 6 % 20; k == 7 || k == 8 {
			code = Reset
		}
		try(b, now, b.order[i%6], code)
		if n := b.ejectedCount; n > 0 {
			t.Fatalf("%d ejected after %d outcomes", n, i)
		}
	}
	for _, s := range b.order {
		if s.threshold < first/2 {
			t.Errorf("%s: threshold %v, was %v", s.Server, s.threshold, first)
		}
	}
	b.eject(b.order[0]) // for once
	now += 5 * time.Second
	b.requests["trial"] = &request{id: "trial", class: b.classes["idempotent"], deadline: now + time.Second}
	b.send(b.requests["trial"], b.order[0], true)
	b.Handle(now, testOutcome("trial", 0, "s00", ConnectFailed, 0))
	if h := b.order[0].health; !h.ejected || h.ejectedUntil != now+baseEjectionTime {
		t.Errorf("a probe that failed by what all have alike puts the next off by %v", h.ejectedUntil-now)
	}
	if b.badRatio > maxBadRatio {
		t.Errorf("%v of the answers count as bad", b.badRatio)
	}
	bad := b.servers["s03"]
	for range 10 {
		now += 25 * ms
		try(b, now, bad, ServerError)
	}
	if !bad.health.ejected {
		t.Errorf("a server that always fails is not ejected; score %v", bad.health.faultScore)
	}

	b = startBalancer(t, testSettings(1), testEndpoints(6))
	for range 5 {
		for _, s := range b.order {
			now += 25 * ms
			try(b, now, s, OK)
		}
	}
	for range 2 {
		now += 25 * ms
		try(b, now, b.order[1], Reset)
	}
	if !b.order[1].health.ejected {
		t.Error("two faults in a row, and none at others: not ejected")
	}
}
