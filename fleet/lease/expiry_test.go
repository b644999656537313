package lease

import (
	"testing"
	"time"

	"cobaltward/fleet"
)

func stateWith(leases ...fleet.Lease) *fleet.State {
	state := fleet.NewState(1)
	state.Leases = make(map[string]fleet.Lease)
	for _, lease := range leases {
		state.Leases[lease.Resource] = lease
	}
	return state
}

// checkExpired fails the test unless the tracker proposes to end exactly the leases of resources, in that order.
func checkExpired(t *testing.T, tracker *ExpiryTracker, now time.Duration, resources ...string) []fleet.Entry {
	t.Helper()
	entries := tracker.Expired(now)
	if len(entries) != len(resources) {
		t.Fatalf("at %v: %d leases have expired, want %v", now, len(entries), resources)
	}
	for i, entry := range entries {
		if entry.Kind != fleet.KindExpireLease || entry.Resource != resources[i] {
			t.Errorf("at %v: entry %+v, want the expiry of the lease of %s", now, entry, resources[i])
		}
	}
	return entries
}

func TestExpiryDelay_CoversDriftAndMargin(t *testing.T) {
	if got, want := ExpiryDelay(4*time.Second), 5*time.Second; got != want {
		t.Errorf("the delay of a lease of 4s is %v, want %v", got, want)
	}
}

func TestExpiryTracker_WaitsFromNewestRenewal(t *testing.T) {
	var tracker ExpiryTracker
	lease := fleet.Lease{Resource: "w", FencingToken: 7, Duration: 4 * time.Second}
	tracker.Observe(stateWith(lease), 0)
	checkExpired(t, &tracker, 5*time.Second-1)
	lease.Renewals = 1
	tracker.Observe(stateWith(lease), 2*time.Second)
	tracker.Observe(stateWith(lease), 3*time.Second) // the same renewal must not restart the wait
	checkExpired(t, &tracker, 7*time.Second-1)
	entry := checkExpired(t, &tracker, 7*time.Second, "w")[0]
	if entry.FencingToken != 7 || entry.Argument != 1 {
		t.Errorf("the entry %+v does not have token 7 and renewal 1", entry)
	}
}

func TestExpiryTracker_DropsEndedLeases(t *testing.T) {
	var tracker ExpiryTracker
	tracker.Observe(stateWith(
		fleet.Lease{Resource: "x", FencingToken: 7, Duration: time.Second},
		fleet.Lease{Resource: "w", FencingToken: 8, Duration: time.Second}), 0)
	checkExpired(t, &tracker, time.Minute, "w", "x")
	tracker.Observe(stateWith(fleet.Lease{Resource: "x", FencingToken: 9, Duration: time.Second}), time.Minute)
	checkExpired(t, &tracker, time.Minute) // the lease of w has ended; the lease of x was granted again
}
