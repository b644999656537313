package sim

import (
	"slices"
	"testing"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
)

// A node that dies while servers fail, and comes back with what it last wrote down, sends at most half of the requests
// to the failing servers that one sends which comes back with its list alone.
func TestRestartWithKnowledge(t *testing.T) {
	s, err := script.Parse("x.toml", []byte(`base = "../../scenarios/calm.toml"
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
	sent := func(o Options) (n int) { // attempts of the restarted node to failing servers in its first minute
		p, err := plan.New(s, 0)
		if err != nil {
			t.Fatal(err)
		}
		var failing []string
		for _, i := range p.Faults[0].Servers {
			failing = append(failing, p.Servers[i].ID)
		}
		o.sent = func(at time.Duration, node, server string) {
			if node == "n1" && at >= 25*time.Second && at < 85*time.Second && slices.Contains(failing, server) {
				n++
			}
		}
		if r := play(t, p, o); !r.Verdict.Passed() {
			t.Errorf("%+v", r.Verdict.Violations)
		}
		return n
	}
	cold, warm := sent(Options{}), sent(Options{Remember: 2 * time.Second})
	t.Logf("to failing servers in the first minute: %d with the list alone, %d with knowledge", cold, warm)
	if cold < 10 || warm*2 > cold {
		t.Errorf("%d with the list alone, %d with knowledge", cold, warm)
	}
}
