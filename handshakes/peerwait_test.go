package handshakes

import (
	"testing"
	"time"
)

// TestPeerWait_TotalOfAllWaits checks that the waits of a handshake add up, so that a peer that sends byte by byte is
// late as soon as a silent one. Bytes that arrived before they were read end the wait when they arrived.
func TestPeerWait_TotalOfAllWaits(t *testing.T) {
	var wait peerWait
	if total := wait.total(); total != 0 {
		t.Errorf("total %v before the first wait", total)
	}
	began := time.Now()
	for range 3 {
		wait.begin(began)
		wait.end(began.Add(400 * time.Millisecond))
	}
	wait.begin(began)
	wait.end(began.Add(-time.Minute)) // the bytes had arrived before the read
	if total := wait.total(); total != 1200*time.Millisecond {
		t.Errorf("total %v, want 1.2s", total)
	}
	wait.begin(time.Now().Add(-time.Minute))
	if total := wait.total(); total < time.Minute {
		t.Errorf("total %v, want the current wait of a minute included", total)
	}
}

// TestIsClientLate_LimitsClientsTime checks when a client is late with its handshake.
func TestIsClientLate_LimitsClientsTime(t *testing.T) {
	for _, test := range []struct {
		name        string
		silent      bool
		age, waited time.Duration
		want        bool
	}{
		{"new", true, 0, 0, false},
		{"silent for the allowed time", true, silentClientTimeout, silentClientTimeout, false},
		{"silent for longer", true, silentClientTimeout + 1, 0, true},
		{"old, waited for the server", false, time.Minute, stalledClientTimeout, false},
		{"stalled", false, time.Minute, stalledClientTimeout + 1, true},
	} {
		if got := IsClientLate(test.silent, test.age, test.waited); got != test.want {
			t.Errorf("%s: late %v", test.name, got)
		}
	}
}
