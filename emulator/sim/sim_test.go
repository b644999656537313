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

func load(t *testing.T, path string) *plan.Plan {
	t.Helper()
	s, err := script.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	p, err := plan.New(s, 0)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func play(t *testing.T, p *plan.Plan, o Options) *result.Result {
	t.Helper()
	r, err := Run(t.Context(), p, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Every scenario of the incident record ends with all rules kept, and with facts held against each rule that
// it is about.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/*.toml")
	if err != nil || len(paths) < 12 {
		t.Fatalf("%d scenarios, error %v", len(paths), err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".toml"), func(t *testing.T) {
			t.Parallel()
			r := play(t, load(t, path), Options{})
			t.Logf("share %.3f attempts %d repeats %d crossings %d conns %d work %.0f waste %.0f %v", r.All.ValueShare(), r.ServerAttempts, r.Retries, r.CrossZone, r.Connections, r.Work, r.WastedWork, r.Verdict.Checked)
			if !r.Verdict.Passed() {
				t.Errorf("broken: %v", r.Verdict.Count)
				for _, b := range r.Verdict.Violations[:min(5, len(r.Verdict.Violations))] {
					t.Errorf("%+v", b)
				}
			}
		})
	}
}

// Each engine with a guard taken away is convicted of the right rule, by a request or a server that is named.
func TestMutantsAreConvicted(t *testing.T) {
	for _, m := range Mutants() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			r := play(t, load(t, "../../scenarios/"+m.Scenario+".toml"), m.Options())
			i := slices.IndexFunc(r.Verdict.Violations, func(b checker.Violation) bool { return b.Rule == m.Rule })
			if i < 0 {
				t.Fatalf("not convicted of %v: %v", m.Rule, r.Verdict.Count)
			}
			if b := r.Verdict.Violations[i]; b.ID == "" || b.At == 0 || b.Description == "" {
				t.Errorf("without evidence: %+v", b)
			}
			t.Logf("%v: %+v", r.Verdict.Count, r.Verdict.Violations[i])
		})
	}
}

// The same plan comes to the same end, byte for byte, on one core and on several; another seed to another.
func TestReplay(t *testing.T) {
	text := func(p *plan.Plan) string {
		raw, err := json.Marshal(play(t, p, Options{}))
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	short := func() *plan.Plan { // with all of its faults begun
		p := load(t, "../../scenarios/together.toml")
		p.Script.Duration = 16 * time.Second
		return p
	}
	p := short()
	first := text(p)
	for _, n := range []int{1, 4} {
		was := runtime.GOMAXPROCS(n)
		again := text(short())
		runtime.GOMAXPROCS(was)
		if again != first {
			t.Errorf("another end on %d cores", n)
		}
	}
	other, err := plan.New(p.Script, 99)
	if err != nil {
		t.Fatal(err)
	}
	if text(other) == first {
		t.Error("the seed changes nothing")
	}
}

// Several faults at once: the result tells which request met which, and requests that met one alone fare as
// where it is alone.
func TestFaultsTogether(t *testing.T) {
	r := play(t, load(t, "../../scenarios/together.toml"), Options{})
	for _, f := range r.Faults {
		if f.Kind == script.FaultFastErrors || f.Kind == script.FaultNodeCrash {
			if f.Affected == 0 || f.AffectedAlone == 0 || f.AffectedAlone > f.Affected || f.AffectedServed > f.Affected {
				t.Errorf("%+v", f)
			}
		}
	}
}
