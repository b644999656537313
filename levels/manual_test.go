package levels

import (
	"testing"
	"time"
)

// TestManualLevel_RestartsConditionTimes checks that a condition does not count as held while an operator sets the
// level. The condition holds shortly before the manual level starts. During the manual level, its signal is below the
// threshold. After ReleaseManual, the condition must hold for its whole duration again.
func TestManualLevel_RestartsConditionTimes(t *testing.T) {
	controller := newController(t, testConfig())
	simulateSecond := func(now int, late float64) {
		window := Window{Offered: 100, OnTime: 100 * (1 - late), Late: 100 * late, Work: 1}
		controller.Step(time.Duration(now)*time.Second, map[string]Window{testClasses[0].Name: window})
	}
	const noneLate, allLate = 0.0, 1.0
	now := 0
	for ; len(controller.conditionHeldSince) == 0; now++ { // until an entry condition holds
		if now > 100 {
			t.Fatal("no entry condition holds after 100 s of late responses")
		}
		simulateSecond(now, allLate)
	}
	at := time.Duration(now) * time.Second
	if err := controller.SetManual(at, 0, 0, "an operator", "a rehearsal"); err != nil {
		t.Fatal(err)
	}
	for end := now + 30; now < end; now++ {
		simulateSecond(now, noneLate)
	}
	controller.ReleaseManual()
	at = time.Duration(now) * time.Second
	simulateSecond(now, allLate)
	for name, since := range controller.conditionHeldSince {
		if since < at {
			t.Errorf("condition %q counts as held for %v while an operator had set the level", name, at-since)
		}
	}
	if level, name, _ := controller.Level(); level != 0 {
		t.Errorf("level %q was entered right after ReleaseManual", name)
	}
}
