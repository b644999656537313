package sim

import (
	"testing"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/levels"
)

// ladder sheds what workspaces send beyond their shares, then searches.
func ladder() *levels.Config {
	over := func(bound float64) []levels.Condition {
		return []levels.Condition{{Signal: levels.Demand, Threshold: bound, For: 2 * time.Second}}
	}
	calm := []levels.Condition{{Signal: levels.Demand, Threshold: 0.95, For: 10 * time.Second}}
	return &levels.Config{Classes: []levels.Class{{Name: "hladanie"}, {Name: "rezervacia", ShedLast: true}, {Name: "zrusenie"}}, Levels: []levels.Level{
		{Name: "fewer searches", Enter: over(1.1), Exit: calm, Measures: []levels.Measure{{Class: "hladanie", Shed: 0.5, NoHedging: true}}},
		{Name: "bookings first", Enter: over(1.3), Exit: calm, Measures: []levels.Measure{{Class: "hladanie", Shed: 0.9}, {Class: "zrusenie", Shed: 0.4}}},
	}}
}

// On a Monday on which shares were promised that the servers can't carry, so that no bucket holds the work back,
// bookings are served better under levels than without, and every rule is kept.
func TestLevelsOnAMonday(t *testing.T) {
	monday := func() *plan.Plan {
		s, err := script.Load("../../scenarios/monday.toml")
		if err != nil {
			t.Fatal(err)
		}
		s.Traffic.Quota, s.Duration = 3000, 50*time.Second
		p, err := plan.New(s, 0)
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	with := play(t, monday(), Options{Levels: ladder()})
	without := play(t, monday(), Options{})
	if !with.Verdict.Passed() {
		t.Errorf("%v", with.Verdict.Violations)
	}
	for name, s := range with.Classes {
		t.Logf("%s: worth kept %.3f (%.3f without levels), in aim %d (%d)", name, s.ValueShare(), without.Classes[name].ValueShare(), s.OnTime, without.Classes[name].OnTime)
	}
	t.Logf("all: %.3f (%.3f)", with.All.ValueShare(), without.All.ValueShare())
	if a, b := with.Classes["rezervacia"].ValueShare(), without.Classes["rezervacia"].ValueShare(); a < b+0.02 {
		t.Errorf("bookings: %.3f with levels, %.3f without", a, b)
	}
}

// A fault that is no overload enters no level: what healthy servers can carry is not shed.
func TestNoLevelWithoutOverload(t *testing.T) {
	for _, name := range []string{"fast-errors", "hot-node"} {
		s, err := script.Load("../../scenarios/" + name + ".toml")
		if err != nil {
			t.Fatal(err)
		}
		s.Duration = 20 * time.Second
		p, err := plan.New(s, 0)
		if err != nil {
			t.Fatal(err)
		}
		r := play(t, p, Options{Levels: ladder()})
		for at, l := range r.Levels {
			if l.Level != 0 {
				t.Fatalf("%s: level %d after %d s, demand %.2f", name, l.Level, at, l.Demand)
			}
		}
		if len(r.Levels) < 15 {
			t.Errorf("%s: %d seconds were looked at", name, len(r.Levels))
		}
	}
}
