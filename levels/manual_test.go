package levels

import (
	"testing"
	"time"
)

// TestManualLevel_ConditionsHoldAnew has a condition hold for a moment, then an operator set the level that is in force
// for a while: the condition has to hold for its whole time after that, whatever the signals were meanwhile.
func TestManualLevel_ConditionsHoldAnew(t *testing.T) {
	controller := newController(t, testConfig())
	second := func(now int, late float64) {
		window := Window{Offered: 100, OnTime: 100 * (1 - late), Late: 100 * late, Work: 1}
		controller.Step(time.Duration(now)*time.Second, map[string]Window{testClasses[0].Name: window})
	}
	const quiet, busy = 0.0, 1.0
	now := 0
	for ; len(controller.conditionHeldSince) == 0; now++ { // until a condition of an entry holds
		if now > 100 {
			t.Fatal("no condition ever holds")
		}
		second(now, busy)
	}
	at := time.Duration(now) * time.Second
	if err := controller.SetManual(at, 0, 0, "an operator", "a rehearsal"); err != nil {
		t.Fatal(err)
	}
	for end := now + 30; now < end; now++ {
		second(now, quiet)
	}
	controller.ReleaseManual()
	at = time.Duration(now) * time.Second
	second(now, busy)
	for name, since := range controller.conditionHeldSince {
		if since < at {
			t.Errorf("%q counts as held for %v, in which an operator had set the level", name, at-since)
		}
	}
	if level, name, _ := controller.Level(); level != 0 {
		t.Errorf("%q is in force at once", name)
	}
}
