package levels

import (
	"errors"
	"strings"
	"testing"
)

// TestNew_InvalidConfig checks the error for each kind of mistake in a configuration.
func TestNew_InvalidConfig(t *testing.T) {
	enter, exit := slowAbove(0.2, 0), slowAbove(0.1, 0)
	measures := []Measure{{Class: "hladanie", Shed: 0.5}}
	valid := Level{Name: "a", Enter: enter, Exit: exit, Measures: measures}
	with := func(change func(*Level)) []Level {
		level := valid
		change(&level)
		return []Level{level}
	}
	withMeasures := func(measures ...Measure) []Level {
		return with(func(l *Level) { l.Measures = measures })
	}
	for want, levels := range map[string][]Level{
		`level 2: name: "a" is there twice`: {valid, valid},
		"name: want one of its own":         with(func(l *Level) { l.Name = "full" }),
		"it is never entered":               with(func(l *Level) { l.Enter = nil }),
		"it is never left":                  with(func(l *Level) { l.Exit = nil }),
		"it does nothing":                   withMeasures(),
		"want the exit below the entry":     with(func(l *Level) { l.Exit = enter }),
		"there is no such class":            with(func(l *Level) { l.Enter = []Condition{{Class: "x", Threshold: 1}} }),
		`a measure for class "x"`:           withMeasures(Measure{Class: "x", Shed: 1}),
		"shed: want 0 to 1":                 withMeasures(Measure{Class: "hladanie", Shed: 2}),
		"the measure does nothing":          withMeasures(Measure{Class: "hladanie"}),
		"0.5 of rezervacia, which is guarded": withMeasures(
			Measure{Class: "rezervacia", Shed: 0.5}, Measure{Class: "hladanie", Shed: 0.9}),
		"it can't be reached on its own": {
			valid, {Name: "b", Enter: slowAbove(0.15, 0), Exit: exit, Measures: measures},
		},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := New(Config{Levels: levels, Classes: testClasses})
			var invalid *ConfigError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %q", err, want)
			}
		})
	}
	if _, err := New(testConfig()); err != nil {
		t.Error(err)
	}
}
