package handshakes

import "testing"

// TestAdmitClient_CrowdedOnlyWithCPU checks that crowded is reported only if the client would be accepted with fewer
// waiting handshakes. The caller evicts a waiting handshake if crowded is reported. The eviction would be useless
// while the CPU has no capacity for another handshake.
func TestAdmitClient_CrowdedOnlyWithCPU(t *testing.T) {
	const maxConns, maxWaiting = 100, 25
	for _, test := range []struct {
		name                   string
		active, waiting        int
		wantAdmit, wantCrowded bool
	}{
		{"no handshakes", 0, 0, true, false},
		{"CPU busy", maxActiveClients, 0, false, false},
		{"many waiting", 0, maxWaiting, false, true},
		{"many waiting, CPU busy", maxActiveClients, maxWaiting, false, false},
	} {
		admit, crowded := AdmitClient(test.active, test.waiting, maxConns)
		if admit != test.wantAdmit || crowded != test.wantCrowded {
			t.Errorf("%s: admitted %v, crowded %v", test.name, admit, crowded)
		}
	}
}
