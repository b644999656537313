package sim

import (
	"testing"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/levels"
)

// bookingLevels returns two levels of reduced service. The first level sheds half of the searches. The second level
// sheds 90 % of the searches and 40 % of the cancellations. Bookings are shed last.
func bookingLevels() *levels.Config {
	above := func(threshold float64) []levels.Condition {
		return []levels.Condition{{Signal: levels.Demand, Threshold: threshold, For: 2 * time.Second}}
	}
	belowCapacity := []levels.Condition{{Signal: levels.Demand, Threshold: 0.95, For: 10 * time.Second}}
	return &levels.Config{
		Classes: []levels.Class{{Name: "hladanie"}, {Name: "rezervacia", ShedLast: true}, {Name: "zrusenie"}},
		Levels: []levels.Level{
			{
				Name: "fewer searches", Enter: above(1.1), Exit: belowCapacity,
				Measures: []levels.Measure{{Class: "hladanie", Shed: 0.5, NoHedging: true}},
			},
			{
				Name: "bookings first", Enter: above(1.3), Exit: belowCapacity,
				Measures: []levels.Measure{{Class: "hladanie", Shed: 0.9}, {Class: "zrusenie", Shed: 0.4}},
			},
		},
	}
}

// TestLevels_ServeBookingsBetterUnderOverload checks that levels serve a larger share of the bookings' value under
// overload, without violating a rule. The quotas are higher than the servers' capacity, so no quota limits the load.
func TestLevels_ServeBookingsBetterUnderOverload(t *testing.T) {
	monday := func() *plan.Plan {
		scenario := loadScript(t, "../../scenarios/monday.toml")
		scenario.Traffic.Quota, scenario.Duration = 3000, 50*time.Second
		return newPlan(t, scenario)
	}
	with := run(t, monday(), Options{Levels: bookingLevels()})
	without := run(t, monday(), Options{})
	if !with.Verdict.Passed() {
		t.Errorf("%v", with.Verdict.Violations)
	}
	for name, service := range with.Classes {
		before := without.Classes[name]
		t.Logf("%s: value share %.3f (%.3f without levels), on time %d (%d)",
			name, service.ValueShare(), before.ValueShare(), service.OnTime, before.OnTime)
	}
	t.Logf("all classes: value share %.3f (%.3f without levels)", with.All.ValueShare(), without.All.ValueShare())
	if a, b := with.Classes["rezervacia"].ValueShare(), without.Classes["rezervacia"].ValueShare(); a < b+0.02 {
		t.Errorf("value share of bookings: %.3f with levels, %.3f without; want at least 0.02 more", a, b)
	}
}

// TestLevels_NoneWithoutOverload checks that faults that don't overload the servers activate no level. A level would
// shed load that the healthy servers can carry.
func TestLevels_NoneWithoutOverload(t *testing.T) {
	for _, name := range []string{script.FaultFastErrors, script.FaultHotNode} {
		scenario := loadScript(t, "../../scenarios/"+name+".toml")
		scenario.Duration = 20 * time.Second
		r := run(t, newPlan(t, scenario), Options{Levels: bookingLevels()})
		for at, l := range r.Levels {
			if l.Level != 0 {
				t.Fatalf("%s: level %d in second %d, demand %.2f; want level 0", name, l.Level, at, l.Demand)
			}
		}
		if len(r.Levels) < 15 {
			t.Errorf("%s: the level was recorded for %d seconds, want 15 or more", name, len(r.Levels))
		}
	}
}
