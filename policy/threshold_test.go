package policy

import (
	"fmt"
	"math"
	"testing"
)

// Servers that other nodes mostly use are learned of together: a node sees too little of each.
func TestThreshold_SharedServersLearnTogether(t *testing.T) {
	b := startBalancer(t, testSettings(12), testEndpoints(12))
	var others []*server
	for _, s := range b.order {
		if !s.inSubset {
			others = append(others, s)
		}
	}
	learn := func(code Code, n int) {
		for range n {
			b.updateThreshold(others[0], b.activeClasses[0], Outcome{Code: code, Latency: ms})
		}
	}
	was := b.effectiveThreshold(others[1])
	learn(OK, 40)
	if b.effectiveThreshold(others[1]) <= was {
		t.Error("good answers of one did not raise the limit of another")
	}
	raised := b.effectiveThreshold(others[1])
	learn(Overloaded, 10)
	if b.effectiveThreshold(others[1]) < raised {
		t.Error("overload answers of one lowered the limit of another: they do no harm, the request goes elsewhere")
	}
	learn(TimedOut, 100)
	if got := b.effectiveThreshold(others[1]); got != was {
		t.Errorf("after many time-outs the limit is %v, want the %v of the start", got, was)
	}
	if own := b.order[0]; b.effectiveThreshold(own) != own.threshold {
		t.Error("the node's own servers are scaled too")
	}
}

// Where servers reject work early, an overload answer is cheap: nothing is rejected without an attempt, the rates stay
// at the quotas and nobody is ejected for it. A late answer weighs against that, as does a hung server.
func TestLoadShedding_SendsPastMaxLoad(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	target := b.order[0]
	for range 40 {
		b.updateThreshold(target, b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
		b.updateHealth(&attempt{server: target}, OK)
	}
	if !b.serversShedLoad() {
		t.Fatal("40 overload answers and none late: not seen to shed load")
	}
	for _, s := range b.order {
		s.inFlight = 20
	}
	sentServer(t, b.Handle(ms, testRequest("x", "idempotent")))
	b.adjustRateScale(false)
	if b.rateScale != 1 {
		t.Errorf("rates at %v of the quotas", b.rateScale)
	}
	for range 10 {
		b.updateHealth(&attempt{server: target}, Overloaded)
	}
	if target.health.ejected {
		t.Error("ejected for overload answers")
	}
	for range 120 {
		b.updateThreshold(target, b.activeClasses[0], Outcome{Code: TimedOut, Latency: ms})
	}
	target.health.faultScore = 0.4
	for range 40 {
		// Of a hung server: they don't count.
		b.updateThreshold(target, b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
	}
	if b.serversShedLoad() {
		t.Error("still seen to shed load after many time-outs")
	}
	if acts := b.Handle(2*ms, testRequest("y", "idempotent")); len(actionsOf(acts, Send)) != 0 {
		t.Error("sent past the maximum load")
	}
}

// Overload answers of servers that jam are no sign that they shed load: the others they give time out.
func TestLoadShedding_NotWhereAnswersTimeOut(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	s := b.order[0]
	for range 30 {
		for range 9 {
			b.updateThreshold(s, b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
		}
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: TimedOut, Latency: ms})
		b.updateThreshold(s, b.activeClasses[0], Outcome{Code: OK, Latency: ms})
		s.health.faultScore = 0
	}
	if b.serversShedLoad() {
		t.Error("seen to shed load though half of the other answers time out")
	}
}

// The first thresholds of a server add up to the same over all nodes where these are few: four attempts of each
// of three nodes overload the first server in order.
func TestThreshold_InitialIsSharedByFewNodes(t *testing.T) {
	for nodes := 1; nodes <= maxUnstaggeredNodes; nodes++ {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			b := startBalancer(t, testSettings(nodes), testEndpoints(4))
			if all := b.order[0].threshold * float64(nodes); math.Abs(all-initialAmongFewNodes) > 1e-9 {
				t.Errorf("%v attempts in all, want %v", all, initialAmongFewNodes)
			}
		})
	}
}

// A hung server fills up: its overload answers don't show that servers shed load.
func TestLoadShedding_IgnoresOverloadOfSuspects(t *testing.T) {
	for score, want := range map[float64]bool{0: true, 0.4: false} {
		t.Run(fmt.Sprintf("score=%v", score), func(t *testing.T) {
			b := startBalancer(t, testSettings(1), testEndpoints(2))
			b.order[0].health.faultScore = score
			for range 40 {
				b.updateThreshold(b.order[0], b.activeClasses[0], Outcome{Code: Overloaded, Latency: ms})
			}
			if b.serversShedLoad() != want {
				t.Errorf("sheds load %v, want %v", !want, want)
			}
		})
	}
}
