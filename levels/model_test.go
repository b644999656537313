package levels

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelTest drives a controller with random counts and random levels set by an operator.
type modelTest struct {
	controller  *Controller
	lastChange  time.Duration
	manualUntil time.Duration
}

// TestController_MatchesModel checks, for random counts, that the level changes by one at a time and respects the
// minimum interval, except for changes by operators. Each change is recorded as an event with a reason. Classes with
// ShedLast are never shed more than other classes. A level set by an operator stays for its duration.
func TestController_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller, err := New(testConfig())
		if err != nil {
			t.Fatal(err)
		}
		model := &modelTest{controller: controller, lastChange: -time.Hour}
		for i := range rapid.IntRange(1, 300).Draw(t, "seconds") {
			model.simulateSecond(t, time.Duration(i+1)*time.Second)
		}
	})
}

func (m *modelTest) simulateSecond(t *rapid.T, now time.Duration) {
	before, _, _ := m.controller.Level()
	isManual := rapid.IntRange(0, 40).Draw(t, "hand") == 0
	if isManual {
		m.setManual(t, now)
	} else {
		m.controller.Step(now, drawWindows(t))
	}
	after, name, reason := m.controller.Level()
	if reason == "" || name == "" {
		t.Fatal("the level has no name or no reason")
	}
	if !isManual {
		m.checkStep(t, now, before, after)
	}
	if after != before {
		m.lastChange = now
		want := Event{At: now, From: before, To: after, Name: name, Reason: reason}
		if events := m.controller.Events(); events[len(events)-1] != want {
			t.Fatalf("last event is %+v, want %+v", events[len(events)-1], want)
		}
	}
	m.checkEffect(t)
}

func (m *modelTest) setManual(t *rapid.T, now time.Duration) {
	duration := time.Duration(rapid.IntRange(1, 60).Draw(t, "for")) * time.Second
	if err := m.controller.SetManual(now, rapid.IntRange(0, 2).Draw(t, "level"), duration, "x", "y"); err != nil {
		t.Fatal(err)
	}
	m.manualUntil = now + duration
}

func drawWindows(t *rapid.T) map[string]Window {
	windows := make(map[string]Window)
	for _, class := range testClasses {
		requests := rapid.Float64Range(0, 100).Draw(t, "n")
		windows[class.Name] = Window{
			Offered: requests,
			Work:    1,
			OnTime:  requests * rapid.Float64Range(0, 1).Draw(t, "on time"),
			Late:    requests * rapid.Float64Range(0, 1).Draw(t, "late"),
			Open:    requests,
		}
	}
	return windows
}

func (m *modelTest) checkStep(t *rapid.T, now time.Duration, before, after int) {
	switch {
	case after > before+1 || after < before-1:
		t.Fatalf("level changed from %d to %d in one step", before, after)
	case after == before:
	case now < m.manualUntil:
		t.Fatalf("level changed to %d although an operator had set the level until %v", after, m.manualUntil)
	case now-m.lastChange < 30*time.Second:
		t.Fatalf("level changed %v after the previous change, want at least 30s", now-m.lastChange)
	}
}

func (m *modelTest) checkEffect(t *rapid.T) {
	if effect := m.controller.Effect("x", "t"); effect != (Effect{}) {
		t.Fatalf("a class without a measure has the effect %+v", effect)
	}
	shed := func(class string) float64 { return m.controller.Effect(class, "t").Shed }
	if shed("rezervacia") > min(shed("hladanie"), shed("zrusenie")) {
		t.Fatal("bookings are shed more than another class")
	}
}
