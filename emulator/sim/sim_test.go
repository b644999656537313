package sim

import (
	"encoding/json"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"cobaltward/emulator/checker"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
)

func loadScript(t *testing.T, path string) *script.Script {
	t.Helper()
	scenario, err := script.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func newPlan(t *testing.T, scenario *script.Script) *plan.Plan {
	t.Helper()
	p, err := plan.New(scenario, 0)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func load(t *testing.T, path string) *plan.Plan {
	t.Helper()
	return newPlan(t, loadScript(t, path))
}

func run(t *testing.T, p *plan.Plan, options Options) *result.Result {
	t.Helper()
	r, err := Run(t.Context(), p, options)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRun_ScenariosKeepAllRules checks that no scenario in scenarios/ violates a rule.
func TestRun_ScenariosKeepAllRules(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(paths) < 12 {
		t.Fatalf("found %d scenarios, want 12 or more; error %v", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".toml"), func(t *testing.T) {
			t.Parallel()
			r := run(t, load(t, path), Options{})
			t.Logf("value %.3f, attempts %d, retries %d, cross-zone %d, connections %d, work %.0f, wasted %.0f, checked %v",
				r.All.ValueShare(), r.ServerAttempts, r.Retries, r.CrossZone, r.Connections, r.Work, r.WastedWork,
				r.Verdict.Checked)
			if !r.Verdict.Passed() {
				t.Errorf("violations: %v", r.Verdict.Count)
				for _, violation := range r.Verdict.Violations[:min(5, len(r.Verdict.Violations))] {
					t.Errorf("%+v", violation)
				}
			}
		})
	}
}

// TestMutants_AreDetected checks that the checker reports a violation of each mutant's rule. The violation must have
// a request, a time and a description.
func TestMutants_AreDetected(t *testing.T) {
	for _, mutant := range Mutants() {
		t.Run(mutant.Name, func(t *testing.T) {
			t.Parallel()
			r := run(t, load(t, "../../scenarios/"+mutant.Scenario+".toml"), mutant.Options())
			i := slices.IndexFunc(r.Verdict.Violations, func(v checker.Violation) bool { return v.Rule == mutant.Rule })
			if i < 0 {
				t.Fatalf("no violation of rule %v; violations by rule: %v", mutant.Rule, r.Verdict.Count)
			}
			if v := r.Verdict.Violations[i]; v.ID == "" || v.At == 0 || v.Description == "" {
				t.Errorf("violation lacks the request, time or description: %+v", v)
			}
			t.Logf("%v: %+v", r.Verdict.Count, r.Verdict.Violations[i])
		})
	}
}

// TestRun_SamePlanGivesSameResult checks that a plan always gives the same result, byte for byte, on one core and on
// several cores. Another seed must give another result.
func TestRun_SamePlanGivesSameResult(t *testing.T) {
	resultJSON := func(p *plan.Plan) string {
		raw, err := json.Marshal(run(t, p, Options{}))
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	short := func() *plan.Plan { // long enough for all faults to start
		p := load(t, "../../scenarios/together.toml")
		p.Script.Duration = 16 * time.Second
		return p
	}
	p := short()
	first := resultJSON(p)
	for _, n := range []int{1, 4} {
		previous := runtime.GOMAXPROCS(n)
		repeated := resultJSON(short())
		runtime.GOMAXPROCS(previous)
		if repeated != first {
			t.Errorf("the result with GOMAXPROCS=%d differs from the first one", n)
		}
	}
	other, err := plan.New(p.Script, 99)
	if err != nil {
		t.Fatal(err)
	}
	if resultJSON(other) == first {
		t.Error("another seed gave the same result")
	}
}

// TestRun_AttributesRequestsToFaults checks that affected requests are counted for each of several faults at once.
// The result counts all requests that a fault affected, and the requests that only this fault affected.
func TestRun_AttributesRequestsToFaults(t *testing.T) {
	r := run(t, load(t, "../../scenarios/together.toml"), Options{})
	for _, f := range r.Faults {
		if f.Kind == script.FaultFastErrors || f.Kind == script.FaultNodeCrash {
			if f.Affected == 0 || f.AffectedAlone == 0 || f.AffectedAlone > f.Affected || f.AffectedServed > f.Affected {
				t.Errorf("inconsistent counts of affected requests: %+v", f)
			}
		}
	}
}
