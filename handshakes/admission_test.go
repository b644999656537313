package handshakes

import "testing"

// A waiting handshake is evicted for another client only where that one would be accepted: not while the core has as
// many handshakes as it may.
func TestAdmitClient_CrowdedOnlyWithCPU(t *testing.T) {
	const maxConns, maxWaiting = 100, 25
	for _, test := range []struct {
		name                   string
		active, waiting        int
		wantAdmit, wantCrowded bool
	}{
		{"nothing", 0, 0, true, false},
		{"core busy", maxActiveClients, 0, false, false},
		{"many wait", 0, maxWaiting, false, true},
		{"many wait, core busy", maxActiveClients, maxWaiting, false, false},
	} {
		admit, crowded := AdmitClient(test.active, test.waiting, maxConns)
		if admit != test.wantAdmit || crowded != test.wantCrowded {
			t.Errorf("%s: admitted %v, crowded %v", test.name, admit, crowded)
		}
	}
}
