package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestConnections_StaleOnesAreClosedBeforeSend checks that connections are closed before a send if the network
// silently drops idle connections. Sends on the dropped connections go unanswered. After such losses, connections
// with a similar idle time are closed before a send. The lost attempts do not count as faults of the server, but
// time-outs on fresh connections do.
func TestConnections_StaleOnesAreClosedBeforeSend(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	target, now := b.order[0], Time(0)
	// attempt makes an attempt after an idle time, and returns the number of CloseIdle actions that came with the
	// send.
	attempt := func(idle time.Duration, code Code) (closed int) {
		t.Helper()
		now += idle
		id := fmt.Sprint("r", now)
		acts := slices.Clone(b.Handle(now, testRequest(id, "single")))
		if server := sentServer(t, acts); server != target.Server {
			t.Fatalf("attempt sent to %s", server)
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
			t.Fatal("connections were closed before enough sends on idle ones went unanswered")
		}
		attempt(50*ms, OK)
	}
	if target.health.faultScore != 0 || target.health.ejected {
		t.Errorf("lost connections raised the server's fault score to %v, or ejected it", target.health.faultScore)
	}
	if attempt(900*ms, OK) != 1 {
		t.Error("no close before a send on a connection that was idle for as long as the lost ones")
	}
	if attempt(50*ms, OK) != 0 {
		t.Error("connections were closed though they were in use")
	}
	closes := 0
	for range 80 {
		closes += attempt(900*ms, OK)
	}
	if closes == 80 {
		t.Error("connections are closed before each of 80 sends; the unanswered ratio never decays")
	}
	attempt(900*ms, TimedOut)
	for range 2 { // on fresh connections, because the idle connections were closed
		attempt(50*ms, TimedOut)
	}
	if !target.health.ejected && target.health.faultScore == 0 {
		t.Error("time-outs on fresh connections did not raise the server's fault score")
	}
}
