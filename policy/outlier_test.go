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

// attemptRunner makes attempts at servers of its choice, 25 ms apart.
type attemptRunner struct {
	balancer *Balancer
	now      Time
}

func (r *attemptRunner) run(s *server, code Code) {
	r.now += 25 * ms
	id := fmt.Sprint(r.now)
	r.send(id, "single", s, false)
	r.balancer.Handle(r.now+20*ms, testOutcome(id, 0, s.Server, code, 20*ms))
}

func (r *attemptRunner) send(id, class string, s *server, probe bool) {
	b := r.balancer
	b.requests[id] = &request{id: id, class: b.classes[class], deadline: r.now + time.Second}
	b.send(b.requests[id], s, probe)
}

// runCommonFaults has one attempt in ten fail at all servers alike, sometimes two in a row at one.
func (r *attemptRunner) runCommonFaults(t *testing.T) {
	t.Helper()
	b := r.balancer
	for i := range 1200 {
		code := OK
		if k := i / 6 % 20; k == 7 || k == 8 {
			code = Reset
		}
		r.run(b.order[i%6], code)
		if b.ejectedCount > 0 {
			t.Fatalf("%d ejected after %d outcomes", b.ejectedCount, i)
		}
	}
}

// Faults that all servers have alike neither close thresholds nor eject; a server that has many more
// is ejected all the same, and where others have none it takes two in a row.
func TestOutlier_CommonFaultsCountLess(t *testing.T) {
	t.Run("common faults", func(t *testing.T) {
		b := startBalancer(t, testSettings(1), testEndpoints(6))
		initial := b.servers["s00"].threshold
		runner := &attemptRunner{balancer: b}
		runner.runCommonFaults(t)
		for _, s := range b.order {
			if s.threshold < initial/2 {
				t.Errorf("%s: threshold %v, was %v", s.Server, s.threshold, initial)
			}
		}
		b.eject(b.order[0])
		runner.now += 5 * time.Second
		runner.send("probe", "idempotent", b.order[0], true)
		b.Handle(runner.now, testOutcome("probe", 0, "s00", ConnectFailed, 0))
		if h := b.order[0].health; !h.ejected || h.ejectedUntil != runner.now+baseEjectionTime {
			t.Errorf("a probe that failed by a common fault puts the next off by %v", h.ejectedUntil-runner.now)
		}
		if b.badRatio > maxBadRatio {
			t.Errorf("%v of the answers count as bad", b.badRatio)
		}
		outlier := b.servers["s03"]
		for range 10 {
			runner.run(outlier, ServerError)
		}
		if !outlier.health.ejected {
			t.Errorf("a server that always fails is not ejected; score %v", outlier.health.faultScore)
		}
	})
	t.Run("no faults at others", func(t *testing.T) {
		b := startBalancer(t, testSettings(1), testEndpoints(6))
		runner := &attemptRunner{balancer: b, now: time.Minute}
		for range 5 {
			for _, s := range b.order {
				runner.run(s, OK)
			}
		}
		for range 2 {
			runner.run(b.order[1], Reset)
		}
		if !b.order[1].health.ejected {
			t.Error("two faults in a row, and none at others: not ejected")
		}
	})
}
