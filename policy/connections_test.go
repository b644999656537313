package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Connections idle for as long as those that went unanswered are closed before a send; a server is not
// blamed for attempts lost on them. Short gaps, and a site whose sends all fail alike, change nothing.
func TestConnections_StaleOnesAreClosedBeforeSend(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	target, now := b.order[0], Time(0)
	// attempt sends on a connection that was idle for so long, and reports whether connections were closed first.
	attempt := func(idle time.Duration, code Code) (closed int) {
		t.Helper()
		now += idle
		id := fmt.Sprint("r", now)
		acts := slices.Clone(b.Handle(now, testRequest(id, "single")))
		if server := sentServer(t, acts); server != target.Server {
			t.Fatalf("sent to %s", server)
		}
		now += 100 * ms
		b.Handle(now, testOutcome(id, 0, target.Server, code, 100*ms))
		return len(actionsOf(acts, CloseIdle))
	}
	for range 20 {
		attempt(50*ms, OK)
	}
	for range 2 {
		if attempt(900*ms, TimedOut) > 0 {
			t.Fatal("closed before it was known")
		}
		attempt(50*ms, OK)
	}
	if target.health.faultScore != 0 || target.health.ejected {
		t.Errorf("the server has a score of %v", target.health.faultScore)
	}
	if attempt(900*ms, OK) != 1 {
		t.Error("not closed before a send on a connection that was idle for as long as the lost ones")
	}
	if attempt(50*ms, OK) != 0 {
		t.Error("closed though it was in use")
	}
	closes := 0
	for range 80 {
		closes += attempt(900*ms, OK)
	}
	if closes == 80 {
		t.Error("the suspicion never decays")
	}
	attempt(900*ms, TimedOut)
	for range 2 { // on a fresh connection now
		attempt(50*ms, TimedOut)
	}
	if !target.health.ejected && target.health.faultScore == 0 {
		t.Error("a server silent on fresh connections isn't blamed")
	}
}
