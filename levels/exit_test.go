package levels

import (
	"testing"
	"time"
)

// exitTest plays two minutes of a load under which answers are late unless enough is shed.
type exitTest struct {
	controller *Controller
	// bearsHalf says that servers carry what passes while the exit is probed; else only what passes under the level.
	bearsHalf bool
	probes    int
	hasLeft   bool
}

// TestExit_IsProbed checks that the exit of a level is probed with half of its shed load: where that brings the signal
// back over its threshold, the level stays without a change. A level that is forbidden meanwhile is not entered.
func TestExit_IsProbed(t *testing.T) {
	config := Config{
		Classes: []Class{{Name: "x"}}, MinInterval: time.Second,
		Levels: []Level{{
			Name: "less", Enter: slowAbove(0.2, 0), Exit: slowAbove(0.1, 0),
			Measures: []Measure{{Class: "x", Shed: 0.8}},
		}},
	}
	for name, bearsHalf := range map[string]bool{"servers can't carry half": false, "servers carry half": true} {
		t.Run(name, func(t *testing.T) {
			test := &exitTest{controller: newController(t, config), bearsHalf: bearsHalf}
			test.setMaxLevel(t, 0, 0)
			for i := range 120 {
				now := time.Duration(i+1) * time.Second
				if i == 30 {
					if level, _, _ := test.controller.Level(); level != 0 {
						t.Fatal("a level that is forbidden was entered")
					}
					test.setMaxLevel(t, now, -1)
				}
				test.second(t, now)
				level, _, _ := test.controller.Level()
				test.hasLeft = test.hasLeft || i > 60 && level == 0
			}
			if bearsHalf != test.hasLeft || test.probes == 0 {
				t.Errorf("left: %v, after %d probes, %v", test.hasLeft, test.probes, test.controller.Events())
			}
			if !bearsHalf && (test.probes < 2 || len(test.controller.Events()) != 1) {
				t.Errorf("%d probes, %v; want further probes and no further change", test.probes, test.controller.Events())
			}
		})
	}
}

func (e *exitTest) setMaxLevel(t *testing.T, now time.Duration, level int) {
	t.Helper()
	if err := e.controller.SetMaxLevel(now, level, "who", "why"); err != nil {
		t.Fatal(err)
	}
}

func (e *exitTest) second(t *testing.T, now time.Duration) {
	t.Helper()
	late := 0.5
	if shed := e.controller.Effect("x", "").Shed; shed > 0.7 || e.bearsHalf && shed > 0 || e.hasLeft {
		late = 0
	}
	wasProbing := e.controller.ExitProbing()
	window := Window{Offered: 10, Work: 1, OnTime: 10 * (1 - late), Late: 10 * late}
	e.controller.Step(now, map[string]Window{"x": window})
	if !e.controller.ExitProbing() || wasProbing {
		return
	}
	e.probes++
	if shed := e.controller.Effect("x", "").Shed; shed != 0.4 {
		t.Errorf("sheds %v while its exit is probed, want 0.4", shed)
	}
}
