package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestSlowStart_DoesNotOverloadServer checks that a server in slow start gets, from all nodes together, at most half
// as many requests as the average server.
func TestSlowStart_DoesNotOverloadServer(t *testing.T) {
	list := testEndpoints(8)
	list[0].OnlineSince = 1000 * ms
	const nodes = 8
	sends, rate := 0, 0
	for n := range nodes {
		settings := testSettings(nodes)
		settings.Node = n
		b := startBalancer(t, settings, list)
		for i := range 3000 {
			now := 1000*ms + time.Duration(i)*ms
			id := fmt.Sprint(i)
			for _, a := range actionsOf(b.Handle(now, testRequest(id, "idempotent")), Send) {
				rate++
				if a.Server == "s00" {
					sends++
				}
				b.Handle(now, testOutcome(id, 0, a.Server, OK, ms))
			}
		}
	}
	if most := rate / len(list) / 2; sends > most || sends == 0 {
		t.Errorf("%d of %d requests went to the server in slow start, want some but at most %d", sends, rate, most)
	}
}

// TestSlowStart_RateLeavesMargin checks that the rate to a server in slow start is 0.7 * max(0.5, overload factor -
// 1) times its current capacity. The rest of the factor absorbs random variation.
func TestSlowStart_RateLeavesMargin(t *testing.T) {
	for factor, want := range map[float64]float64{1: 0.35, 2: 0.7, 3: 1.4} {
		t.Run(fmt.Sprintf("factor=%v", factor), func(t *testing.T) {
			settings := testSettings(1)
			settings.Rules.OverloadFactor = factor
			settings.Rules.SlowStartShare, settings.Rules.SlowStartWindow = 0.5, time.Hour
			b := startBalancer(t, settings, testEndpoints(1))
			b.now = time.Second
			b.completionRate, b.completionRateAt = 100, b.now // 100 answers per second from one server
			warming := b.order[0]
			warming.OnlineSince = b.now
			warming.slowStart = slowStartBucket{lastRefill: b.now - 10*ms}
			b.hasSlowStartCapacity(warming)
			if got, rate := warming.slowStart.tokens, want*0.5*100*0.01; math.Abs(got-rate) > 0.01 {
				t.Errorf("%v tokens after 10 ms, want %v", got, rate)
			}
		})
	}
}
