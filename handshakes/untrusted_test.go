package handshakes

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const tickInterval = 50 * time.Millisecond

// TestUntrustedBackoff_RecheckIntervals checks the limits on rechecks with random numbers of untrusted servers. At
// most MaxConcurrentRechecks rechecks run at once. Each server is rechecked within seconds, but not before its
// backoff ends.
func TestUntrustedBackoff_RecheckIntervals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backoff, servers := NewUntrustedBackoff(), rapid.IntRange(1, 40).Draw(t, "servers")
		lastChecked := make(map[string]time.Duration)
		for i := range servers {
			id := fmt.Sprint("s", i)
			if !backoff.RecordFailure(0, id, "expired") || backoff.RecordFailure(0, id, "expired") {
				t.Fatal("the first failure is not reported as such, or the second one is")
			}
			lastChecked[id] = 0
		}
		checkRecheckIntervals(t, backoff, lastChecked)
		checkRecheckAll(t, backoff, servers)
	})
}

// checkRecheckIntervals lets all rechecks of a minute fail, and checks the intervals between them.
func checkRecheckIntervals(t *rapid.T, backoff *UntrustedBackoff, lastChecked map[string]time.Duration) {
	rechecks := make(map[string]int)
	tolerance := time.Second + time.Duration(len(lastChecked))*tickInterval
	for now := time.Duration(0); now < time.Minute; now += tickInterval {
		due := backoff.StartDue(now)
		if len(due) > MaxConcurrentRechecks {
			t.Fatalf("%d rechecks were started at once, want at most %d", len(due), MaxConcurrentRechecks)
		}
		for _, id := range due {
			earliest := withJitter(id, min(maxBackoff, initialBackoff<<rechecks[id]))
			if gap := now - lastChecked[id]; gap < earliest || gap > earliest+tolerance {
				t.Fatalf("recheck %d of server %s started after %v, want about %v", rechecks[id], id, gap, earliest)
			}
			rechecks[id]++
			lastChecked[id] = now
			backoff.RecordFailure(now, id, "expired")
		}
	}
}

// checkRecheckAll checks that all servers are rechecked within 3 s after a change of the trust store, and that
// servers that pass are trusted again.
func checkRecheckAll(t *rapid.T, backoff *UntrustedBackoff, servers int) {
	backoff.RecheckAll(time.Minute)
	rechecked := make(map[string]bool)
	for now := time.Minute; now < time.Minute+3*time.Second; now += tickInterval {
		for _, id := range backoff.StartDue(now) {
			rechecked[id] = true
			if !backoff.RecordSuccess(id) {
				t.Fatalf("server %s was rechecked though it was trusted", id)
			}
		}
	}
	if len(rechecked) != servers || len(backoff.List()) != 0 {
		t.Fatalf("%d of %d servers were rechecked after a change of the trust store", len(rechecked), servers)
	}
	if _, untrusted := backoff.Reason("s0"); untrusted || backoff.RecordSuccess("s0") {
		t.Fatal("a server that passed verification is untrusted")
	}
}
