package levels

import (
	"math"
	"testing"
)

// TestEffect_ShedsExcessDemand checks that a measure with FollowDemand sheds exactly the demand beyond the capacity.
// The measure sheds nothing without excess demand, and never more than Shed. The next measure sheds the rest.
func TestEffect_ShedsExcessDemand(t *testing.T) {
	follow := func(shed float64, class string) Measure {
		return Measure{Class: class, Shed: shed, FollowDemand: true}
	}
	exit := []Condition{{Threshold: 0.5}}
	controller := newController(t, Config{
		Classes: []Class{{Name: "a"}, {Name: "b"}},
		Levels: []Level{
			{Name: "one", Enter: []Condition{{Threshold: 1.1}}, Exit: exit, Measures: []Measure{follow(0.5, "a")}},
			{
				Name: "two", Enter: []Condition{{Threshold: 1.2}}, Exit: exit,
				Measures: []Measure{follow(0.8, "a"), follow(0.4, "b")},
			},
		},
	})
	if err := controller.SetManual(0, 2, 0, "who", "why"); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ total, a, b, shedA, shedB float64 }{
		"no excess":                   {0.9, 0.5, 0.4, 0, 0},
		"small excess":                {1.2, 0.8, 0.4, 0.25, 0},
		"more than the first measure": {1.5, 0.8, 0.7, 0.625, 0},
		"the second class, too":       {1.7, 0.8, 0.9, 0.8, 0.06 / 0.9},
		"more than all measures":      {3, 1, 2, 0.8, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			controller.signals = map[signalKey]float64{
				{Demand, ""}: test.total, {Demand, "a"}: test.a, {Demand, "b"}: test.b,
			}
			controller.updateShed()
			shedA, shedB := controller.Effect("a", "").Shed, controller.Effect("b", "").Shed
			if math.Abs(shedA-test.shedA) > 1e-9 || math.Abs(shedB-test.shedB) > 1e-9 {
				t.Errorf("shed %.3f of class a and %.3f of class b, want %.3f and %.3f", shedA, shedB, test.shedA, test.shedB)
			}
		})
	}
}

func BenchmarkEffect(b *testing.B) {
	controller := newController(b, testConfig())
	if err := controller.SetManual(0, 2, 0, "who", "why"); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if controller.Effect("hladanie", "t").Shed == 0 {
			b.Fatal("no requests are shed at level 2")
		}
	}
}
