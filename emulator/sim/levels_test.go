package sim

import (
	"testing"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/levels"
)

// bookingLevels shed searches beyond the tenants' quotas, then nearly all searches and some cancellations.
func bookingLevels() *levels.Config {
	above := func(threshold float64) []levels.Condition {
		return []levels.Condition{{Signal: levels.Demand, Threshold: threshold, For: 2 * time.Second}}
	}
	calm := []levels.Condition{{Signal: levels.Demand, Threshold: 0.95, For: 10 * time.Second}}
	return &levels.Config{
		Classes: []levels.Class{{Name: "hladanie"}, {Name: "rezervacia", ShedLast: true}, {Name: "zrusenie"}},
		Levels: []levels.Level{
			{
				Name: "fewer searches", Enter: above(1.1), Exit: calm,
				Measures: []levels.Measure{{Class: "hladanie", Shed: 0.5, NoHedging: true}},
			},
			{
				Name: "bookings first", Enter: above(1.3), Exit: calm,
				Measures: []levels.Measure{{Class: "hladanie", Shed: 0.9}, {Class: "zrusenie", Shed: 0.4}},
			},
		},
	}
}

// With quotas beyond what the servers can carry, so that no quota limits the load, levels serve bookings better than no
// levels do, and every rule is kept.
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
		t.Logf("%s: worth kept %.3f (%.3f without levels), in aim %d (%d)",
			name, service.ValueShare(), before.ValueShare(), service.OnTime, before.OnTime)
	}
	t.Logf("all: %.3f (%.3f)", with.All.ValueShare(), without.All.ValueShare())
	if a, b := with.Classes["rezervacia"].ValueShare(), without.Classes["rezervacia"].ValueShare(); a < b+0.02 {
		t.Errorf("bookings: %.3f with levels, %.3f without", a, b)
	}
}

// Faults without overload enter no level: what healthy servers can carry is not shed.
func TestLevels_NoneWithoutOverload(t *testing.T) {
	for _, name := range []string{script.FaultFastErrors, script.FaultHotNode} {
		scenario := loadScript(t, "../../scenarios/"+name+".toml")
		scenario.Duration = 20 * time.Second
		r := run(t, newPlan(t, scenario), Options{Levels: bookingLevels()})
		for at, l := range r.Levels {
			if l.Level != 0 {
				t.Fatalf("%s: level %d after %d s, demand %.2f", name, l.Level, at, l.Demand)
			}
		}
		if len(r.Levels) < 15 {
			t.Errorf("%s: only %d seconds have a level", name, len(r.Levels))
		}
	}
}
