package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestProbe_RepeatedAfterHedgeAnswersFirst checks that a probe that is cancelled after the answer of a hedged request
// does not block later probes.
func TestProbe_RepeatedAfterHedgeAnswersFirst(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.health.ejectedUntil
	if got := sentServer(t, b.Handle(now, testRequest("x", "idempotent"))); got != "s00" {
		t.Fatalf("probe sent to %s, want s00", got)
	}
	b.Handle(now+100*ms, testOutcome("x", 0, "s00", Cancelled, 100*ms))
	if s.health.probeInFlight {
		t.Error("the cancelled probe still counts as in flight")
	}
	now = s.health.ejectedUntil
	if got := sentServer(t, b.Handle(now, testRequest("y", "idempotent"))); got != "s00" {
		t.Errorf("next probe sent to %s, want s00", got)
	}
}

// TestProbe_OverloadPostponesNext checks that an overload answer to a probe postpones the next probe. A hung server
// at its capacity limit rejects a probe immediately.
func TestProbe_OverloadPostponesNext(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.eject(s)
	now := s.health.ejectedUntil
	b.Handle(now, testRequest("x", "idempotent"))
	b.Handle(now+ms, testOutcome("x", 0, "s00", Overloaded, ms))
	if got := sentServer(t, b.Handle(now+2*ms, testRequest("y", "idempotent"))); got == "s00" {
		t.Error("server probed again right after an overload answer")
	}
}

// TestOutlier_TimeoutAtAnsweringServerIsNoFault checks that a time-out does not count as a fault of a server that
// answers other requests.
func TestOutlier_TimeoutAtAnsweringServerIsNoFault(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(6))
	s := b.servers["s00"]
	b.Handle(ms, testRequest("x", "single"))
	s.lastAnswer = 100 * ms
	b.Handle(600*ms, testOutcome("x", 0, "s00", TimedOut, 600*ms))
	if s.health.faultScore != 0 {
		t.Errorf("fault score %v, want 0", s.health.faultScore)
	}
}

// attemptRunner makes attempts at given servers, 25 ms apart.
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

// runCommonFaults makes 1200 attempts in turn at six servers. One in ten attempts fails at every server, always two
// in a row.
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
			t.Fatalf("%d servers ejected after %d outcomes, want none", b.ejectedCount, i)
		}
	}
}

// TestOutlier_CommonFaultsCountLess checks that faults that are common to all servers neither reduce thresholds much
// nor eject servers. A server with many more faults than the other servers is still ejected. If the other servers
// have no faults, two faults in a row eject a server.
func TestOutlier_CommonFaultsCountLess(t *testing.T) {
	t.Run("common faults", func(t *testing.T) {
		b := startBalancer(t, testSettings(1), testEndpoints(6))
		initial := b.servers["s00"].threshold
		runner := &attemptRunner{balancer: b}
		runner.runCommonFaults(t)
		for _, s := range b.order {
			if s.threshold < initial/2 {
				t.Errorf("%s: threshold %v, less than half of the initial %v", s.Server, s.threshold, initial)
			}
		}
		b.eject(b.order[0])
		runner.now += 5 * time.Second
		runner.send("probe", "idempotent", b.order[0], true)
		b.Handle(runner.now, testOutcome("probe", 0, "s00", ConnectFailed, 0))
		if h := b.order[0].health; !h.ejected || h.ejectedUntil != runner.now+baseEjectionTime {
			t.Errorf("after a probe failed by a common fault, ejected for another %v, want baseEjectionTime",
				h.ejectedUntil-runner.now)
		}
		if b.badRatio > maxBadRatio {
			t.Errorf("badRatio is %v, though faults are common to all servers", b.badRatio)
		}
		outlier := b.servers["s03"]
		for range 10 {
			runner.run(outlier, ServerError)
		}
		if !outlier.health.ejected {
			t.Errorf("a server that always fails is not ejected; its fault score is %v", outlier.health.faultScore)
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
			t.Error("not ejected after two faults in a row, with none at other servers")
		}
	})
}
