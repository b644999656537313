package levels

import (
	"errors"
	"strings"
	"testing"
)

// TestNew_InvalidConfig checks that New rejects each kind of invalid configuration with the right error message.
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
		`level 2: name: "a" is used twice`: {valid, valid},
		"name: want a unique name":         with(func(l *Level) { l.Name = "full" }),
		"no condition for entering":        with(func(l *Level) { l.Enter = nil }),
		"no condition for leaving":         with(func(l *Level) { l.Exit = nil }),
		"it has no measures":               withMeasures(),
		"want the exit below the entry":    with(func(l *Level) { l.Exit = enter }),
		"the class does not exist":         with(func(l *Level) { l.Enter = []Condition{{Class: "x", Threshold: 1}} }),
		`a measure for class "x"`:          withMeasures(Measure{Class: "x", Shed: 1}),
		"shed: want 0 to 1":                withMeasures(Measure{Class: "hladanie", Shed: 2}),
		"the measure has no effect":        withMeasures(Measure{Class: "hladanie"}),
		"0.5 of the guarded class rezervacia": withMeasures(
			Measure{Class: "rezervacia", Shed: 0.5}, Measure{Class: "hladanie", Shed: 0.9}),
		"its entry threshold has no effect": {
			valid, {Name: "b", Enter: slowAbove(0.15, 0), Exit: exit, Measures: measures},
		},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := New(Config{Levels: levels, Classes: testClasses})
			var invalid *ConfigError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), want) {
				t.Errorf("got error %v, want %q", err, want)
			}
		})
	}
	if _, err := New(testConfig()); err != nil {
		t.Error(err)
	}
}
