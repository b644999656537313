package sim

import (
	"slices"
	"testing"
	"time"

	"cobaltward/emulator/script"
)

// TestSnapshot_FewerAttemptsToFailingServersAfterRestart checks that a snapshot of the learned state helps a node
// that crashes and restarts while servers fail. The node must send at most half as many attempts to the failing
// servers as with the endpoint list alone.
func TestSnapshot_FewerAttemptsToFailingServersAfterRestart(t *testing.T) {
	scenario, err := script.Parse("x.toml", []byte(`base = "../../scenarios/calm.toml"
length = "86s"
seed = 41
[nodes]
count = 2
[[fault]]
kind = "fast-errors"
count = 3
part = 1.0
at = "5s"
for = "80s"
[[fault]]
kind = "node-crash"
nodes = ["n1"]
at = "20s"
for = "5s"
`))
	if err != nil {
		t.Fatal(err)
	}
	sent := func(options Options) (n int) { // attempts at failing servers in the first minute after the restart
		p := newPlan(t, scenario)
		var failing []string
		for _, i := range p.Faults[0].Servers {
			failing = append(failing, p.Servers[i].ID)
		}
		options.onSend = func(at time.Duration, node, server string) {
			if node == "n1" && at >= 25*time.Second && at < 85*time.Second && slices.Contains(failing, server) {
				n++
			}
		}
		if r := run(t, p, options); !r.Verdict.Passed() {
			t.Errorf("violations: %+v", r.Verdict.Violations)
		}
		return n
	}
	without, with := sent(Options{}), sent(Options{SnapshotInterval: 2 * time.Second})
	t.Logf("attempts at failing servers: %d with the endpoint list alone, %d with a snapshot", without, with)
	if without < 10 || with*2 > without {
		t.Errorf("attempts at failing servers: %d without snapshots (want 10+), %d with (want at most half)", without, with)
	}
}
