package realtime_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/realtime"
	"cobaltward/emulator/script"
	"cobaltward/internal/cli"

	"go.uber.org/goleak"
)

// runAsNodeEnv is the environment variable that makes the test binary run as a node.
const runAsNodeEnv = "WAYHOLD_TEST_NODE"

// TestMain runs a node if runAsNodeEnv is set. Tests start their own binary as nodes.
func TestMain(m *testing.M) {
	if os.Getenv(runAsNodeEnv) != "" {
		os.Exit(cli.Main(cli.Extensions{}))
	}
	if err := os.Setenv(runAsNodeEnv, "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

const site = `
seed = 5
length = "4s"
[net]
cross = "4ms"
[nodes]
count = 2
notice = "300ms"
[discovery]
delay = "200ms"
spread = "100ms"
[[kind]]
name = "small"
count = 5
cores = 4
cold_from = 0.4
cold_for = "2s"
[[class]]
name = "hladanie"
share = 0.5
work = "30ms"
aim = "600ms"
deadline = "2s"
repeat = "free"
[[class]]
name = "rezervacia"
share = 0.3
work = "30ms"
aim = "500ms"
deadline = "1500ms"
repeat = "never"
[[class]]
name = "zrusenie"
share = 0.2
work = "40ms"
aim = "1s"
deadline = "2s"
repeat = "guarded"
window = "4s"
[[tenant]]
name = "all"
share = 1
[traffic]
rate = 120
[clients]
retries = 1
impatient = 0.02
[[fault]]
kind = "fast-errors"
servers = ["s-0001"]
part = 0.8
at = "500ms"
for = "2s"
[[fault]]
kind = "reset"
servers = ["s-0002"]
part = 0.3
at = "1s"
for = "2s"
[[fault]]
kind = "half-answer"
servers = ["s-0003"]
part = 0.2
at = "1s"
for = "1s"
[[fault]]
kind = "garbled"
servers = ["s-0003"]
part = 0.2
at = "2s"
for = "1s"
[[fault]]
kind = "crash"
servers = ["s-0004"]
at = "1s"
for = "700ms"
[[fault]]
kind = "drain"
servers = ["s-0005"]
at = "1500ms"
for = "1200ms"
[[fault]]
kind = "node-crash"
nodes = ["n2"]
at = "1500ms"
for = "800ms"
[[fault]]
kind = "discovery-down"
at = "2s"
for = "1s"
`

// TestRun_KeepsRulesUnderFaults checks that a run with a killed node and many faults at once violates no rule and
// leaves no goroutine, in each protocol. The faults must affect requests.
func TestRun_KeepsRulesUnderFaults(t *testing.T) {
	t.Run("http", func(t *testing.T) { t.Parallel(); rehearse(t, site) })
	t.Run("msgpack", func(t *testing.T) {
		t.Parallel()
		overMsgpack := strings.Replace(site, `name = "small"`, "name = \"small\"\nprotocol = \"msgpack\"", 1)
		rehearse(t, "reports = [\"inflight\", \"queue\", \"util\"]\n"+overMsgpack)
	})
}

func rehearse(t *testing.T, text string) {
	t.Helper()
	scenario, err := script.Parse("site.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.New(scenario, 0)
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	r, err := realtime.Run(t.Context(), p, realtime.Options{Command: []string{os.Args[0], "serve"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%v: %+v, %d attempts, violations %v of %v checked",
		time.Since(startedAt), r.All, r.ServerAttempts, r.Verdict.Count, r.Verdict.Checked)
	if !r.Verdict.Passed() {
		t.Errorf("violations: %+v", r.Verdict.Violations)
	}
	if r.All.OnTime+r.All.Late < r.All.Offered/2 { // a low limit, which also holds on a busy machine
		t.Errorf("%d of %d requests were served, want at least half", r.All.OnTime+r.All.Late, r.All.Offered)
	}
	for _, f := range r.Faults {
		switch f.Kind {
		case script.FaultFastErrors, script.FaultReset, script.FaultHalfAnswer:
			if f.Affected == 0 {
				t.Errorf("%s affected no request", f.Label)
			}
		}
	}
}
