package sim

import (
	"path/filepath"
	"testing"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
)

func load(t *testing.T, name string) *plan.Plan {
	t.Helper()
	s, err := script.Load(filepath.Join("../../scenarios", name+".toml"))
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

func TestScenarios(t *testing.T) {
	r := play(t, load(t, "calm"), Options{})
	t.Logf("%+v", r.All)
	t.Logf("share %.3f attempts %d repeats %d crossings %d conns %d work %.0f waste %.0f", r.All.Share(), r.Attempts, r.Repeats, r.Crossing, r.Conns, r.Work, r.Waste)
	t.Logf("%v %v %s", r.Verdict.Checked, r.Verdict.Count, r.Digest)
	for i, b := range r.Verdict.Breaches {
		if i < 10 {
			t.Errorf("%+v", b)
		}
	}
}
