package levels

import (
	"testing"
	"time"
)

// exitTest simulates a load whose responses are late unless enough of the load is shed.
type exitTest struct {
	controller *Controller
	// canServeHalf is true if servers can handle the load that is admitted during an exit probe. If false, servers can
	// only handle the load that the level admits.
	canServeHalf bool
	probes       int
	hasLeft      bool
}

// TestExit_IsProbed checks that a level is left only after an exit probe. The probe admits half of the load that the
// level sheds. If the signal reaches its threshold during the probe, the level stays in force and no event is
// recorded. The test also checks that a level beyond MaxLevel is not entered.
func TestExit_IsProbed(t *testing.T) {
	config := Config{
		Classes: []Class{{Name: "x"}}, MinInterval: time.Second,
		Levels: []Level{{
			Name: "less", Enter: slowAbove(0.2, 0), Exit: slowAbove(0.1, 0),
			Measures: []Measure{{Class: "x", Shed: 0.8}},
		}},
	}
	for name, canServeHalf := range map[string]bool{"servers can't handle half": false, "servers can handle half": true} {
		t.Run(name, func(t *testing.T) {
			test := &exitTest{controller: newController(t, config), canServeHalf: canServeHalf}
			test.setMaxLevel(t, 0, 0)
			for i := range 120 {
				now := time.Duration(i+1) * time.Second
				if i == 30 {
					if level, _, _ := test.controller.Level(); level != 0 {
						t.Fatal("a level beyond MaxLevel was entered")
					}
					test.setMaxLevel(t, now, -1)
				}
				test.simulateSecond(t, now)
				level, _, _ := test.controller.Level()
				test.hasLeft = test.hasLeft || i > 60 && level == 0
			}
			if canServeHalf != test.hasLeft || test.probes == 0 {
				t.Errorf("level left: %v, after %d probes; events: %v", test.hasLeft, test.probes, test.controller.Events())
			}
			if !canServeHalf && (test.probes < 2 || len(test.controller.Events()) != 1) {
				t.Errorf("%d probes, events %v; want at least 2 probes and only one change", test.probes, test.controller.Events())
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

func (e *exitTest) simulateSecond(t *testing.T, now time.Duration) {
	t.Helper()
	late := 0.5
	if shed := e.controller.Effect("x", "").Shed; shed > 0.7 || e.canServeHalf && shed > 0 || e.hasLeft {
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
		t.Errorf("fraction shed is %v while the exit is probed, want 0.4", shed)
	}
}
