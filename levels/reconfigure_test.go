package levels

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reconfigureTest drives a controller whose configuration is replaced at random.
type reconfigureTest struct {
	controller *Controller
	config     Config
	now        time.Duration
	lastChange time.Duration
}

// TestReconfigure_KeepsLevel checks that the level in force stays if a new configuration has a level with the same
// name. If there is none, the nearest lower level that still exists must be entered. The test replaces the
// configuration at random times. The minimum interval between two changes still applies.
func TestReconfigure_KeepsLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := drawConfig(t, "first")
		controller, err := New(config)
		if err != nil {
			t.Skip(err)
		}
		test := &reconfigureTest{controller: controller, config: config, lastChange: -time.Hour}
		for range rapid.IntRange(1, 60).Draw(t, "seconds") {
			test.now += time.Second
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				test.reconfigure(t)
			case 1:
				test.setManual(t)
			default:
				test.step(t)
			}
		}
	})
}

func drawConfig(t *rapid.T, label string) Config {
	names := []string{"a", "b", "c", "d"}
	config := Config{Classes: []Class{{Name: "x"}}, MinInterval: 30 * time.Second}
	order := rapid.Permutation(names).Draw(t, label)
	for i, name := range order[:rapid.IntRange(1, len(names)).Draw(t, label+" levels")] {
		config.Levels = append(config.Levels, Level{
			Name:     name,
			Enter:    []Condition{{Signal: Demand, Threshold: 1.1 + 0.1*float64(i)}},
			Exit:     []Condition{{Signal: Demand, Threshold: 0.9}},
			Measures: []Measure{{Class: "x", Shed: 0.1 * float64(i+1)}},
		})
	}
	return config
}

func (r *reconfigureTest) reconfigure(t *rapid.T) {
	before, nameBefore, _ := r.controller.Level()
	next := drawConfig(t, "next")
	changed, err := r.controller.Reconfigure(r.now, next)
	after, nameAfter, _ := r.controller.Level()
	if err != nil {
		if after != before || nameAfter != nameBefore {
			t.Fatal("an invalid configuration changed the level")
		}
		return
	}
	want := 0
	for level := before; level > 0 && want == 0; level-- {
		// The test looks up the level itself, because Config.levelOf is under test.
		sameName := func(other Level) bool { return other.Name == r.config.Levels[level-1].Name }
		want = slices.IndexFunc(next.Levels, sameName) + 1
	}
	if after != want || changed != (before > 0 && nameAfter != nameBefore) {
		t.Fatalf("level changed from %d (%s) to %d (%s), want level %d; changed is %v",
			before, nameBefore, after, nameAfter, want, changed)
	}
	r.config = next
	if changed {
		r.lastChange = r.now
	}
}

func (r *reconfigureTest) setManual(t *rapid.T) {
	before, _, _ := r.controller.Level()
	level := rapid.IntRange(0, len(r.config.Levels)).Draw(t, "by hand")
	if err := r.controller.SetManual(r.now, level, 5*time.Second, "w", "y"); err != nil {
		t.Fatal(err)
	}
	if after, _, _ := r.controller.Level(); after != before {
		r.lastChange = r.now
	}
}

func (r *reconfigureTest) step(t *rapid.T) {
	before, _, _ := r.controller.Level()
	work := rapid.Float64Range(0, 200).Draw(t, "offered")
	window := Window{Offered: work, Work: 1, OnTime: min(work, 50), Late: max(0, work-50)}
	r.controller.Step(r.now, map[string]Window{"x": window})
	if after, _, _ := r.controller.Level(); after == before {
		return
	}
	if r.now-r.lastChange < 30*time.Second {
		t.Fatalf("level changed %v after the previous change, want at least 30s", r.now-r.lastChange)
	}
	r.lastChange = r.now
}
