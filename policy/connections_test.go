package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Connections idle for as long as those that went unanswered are closed before a send; a server is not
// blamed for what was lost on them. Short gaps, and a site whose sends all fail alike, change nothing.
func TestConnections_StaleOnesAreClosedBeforeSend(t *testing.T) {
	b := startBalancer(t, testSettings(1), testEndpoints(2))
	s, now := b.order[0], Time(0)
	try := func(gap time.Duration, code Code) (closed int) {
		now += gap
		id := fmt.Sprint("r", now)
		acts := slices.Clone(b.Handle(now, testRequest(id, "single")))
		closed = len(actionsOf(acts, CloseIdle))
		to := sentServer(t, acts)
		if to != s.Server {
			t.Fatalf("sent to %s", to)
		}
		now += 100 * ms
		b.Handle(now, Outcome{ID: id, Server: to, Code: code, Latency: 100 * ms, Answered: code == OK})
		return closed
	}
	for range 20 {
		try(50*ms, OK)
	}
	for range 2 {
		if try(900*ms, TimedOut) > 0 {
			t.Fatal("closed before it was known")
		}
		try(50*ms, OK)
	}
	if s.health.faultScore != 0 || s.health.ejected {
		t.Errorf("the server has a score of %v", s.health.faultScore)
	}
	if try(900*ms, OK) != 1 {
		t.Error("not closed before a send on a connection that was idle for as long as the lost ones")
	}
	if try(50*ms, OK) != 0 {
		t.Error("closed though it was in use")
	}
	closes := 0
	for range 80 {
		closes += try(900*ms, OK)
	}
	if closes == 80 {
		t.Error("the suspicion never wears off")
	}
	try(900*ms, TimedOut)
	for range 2 { // on a fresh connection now
		try(50*ms, TimedOut)
	}
	if !s.health.ejected && s.health.faultScore == 0 {
		t.Error("a server silent on fresh connections isn't blamed")
	}
}
