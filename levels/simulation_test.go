package levels

import (
	"math"
	"testing"
	"time"
)

var testClasses = []Class{{Name: "hladanie"}, {Name: "rezervacia", ShedLast: true}, {Name: "zrusenie"}}

// slowAbove returns a condition on SlowAnswers with the given threshold and duration. Entry and exit conditions use
// it.
func slowAbove(threshold float64, duration time.Duration) []Condition {
	return []Condition{{Signal: SlowAnswers, Threshold: threshold, For: duration}}
}

// testConfig returns two levels. The first level sheds searches (hladanie), and the second also sheds cancellations
// (zrusenie). Bookings (rezervacia) are never shed.
func testConfig() Config {
	exit := slowAbove(0.05, 10*time.Second)
	return Config{
		Classes: testClasses,
		Levels: []Level{
			{
				Name: "fewer searches", Enter: slowAbove(0.15, 3*time.Second), Exit: exit,
				Measures: []Measure{{Class: "hladanie", Shed: 0.4, NoHedging: true}},
			},
			{
				Name: "bookings first", Enter: slowAbove(0.2, 3*time.Second), Exit: exit,
				Measures: []Measure{{Class: "hladanie", Shed: 0.8}, {Class: "zrusenie", Shed: 0.3, MaxAttempts: 1}},
			},
		},
	}
}

func newController(t testing.TB, config Config) *Controller {
	t.Helper()
	controller, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

// servers simulates servers that complete a fixed amount of work per second before the deadline. Work of any class
// beyond that amount is late, and leaves a backlog that delays later work.
type servers struct{ capacity, backlog float64 }

// simulateSecond returns the counts of one second. load is the number of requests by class, and work is the work per
// request by class. controller decides how much is shed. If controller is nil, nothing is shed.
func (s *servers) simulateSecond(controller *Controller, load, work map[string]float64) map[string]Window {
	windows := make(map[string]Window)
	demanded := s.backlog
	for _, class := range testClasses {
		window := Window{Offered: load[class.Name], Work: work[class.Name]}
		if controller != nil {
			window.Shed = window.Offered * controller.Effect(class.Name, "t").Shed
		}
		demanded += (window.Offered - window.Shed) * window.Work
		windows[class.Name] = window
	}
	late := math.Max(0, 1-s.capacity/math.Max(demanded, 1e-9))
	s.backlog = math.Min(math.Max(0, demanded-s.capacity), s.capacity) // older work is past its deadline
	for name, window := range windows {
		passed := window.Offered - window.Shed
		window.OnTime, window.Late, window.Open = passed*(1-late), passed*late, passed
		windows[name] = window
	}
	return windows
}

// splitByClass splits total requests per second among the classes.
func splitByClass(total float64) map[string]float64 {
	return map[string]float64{"hladanie": total * 0.5, "rezervacia": total * 0.3, "zrusenie": total * 0.2}
}

var equalWork = map[string]float64{"hladanie": 1, "rezervacia": 1, "zrusenie": 1}

// loadFunc returns, by class, the requests of a second and the work per request.
type loadFunc func(second int) (load, work map[string]float64)

// simulate runs a load for a number of seconds. It returns the fraction of bookings, and of all requests, that were
// served before their deadline.
func simulate(controller *Controller, seconds int, load loadFunc) (bookings, all float64) {
	simulated := servers{capacity: 100}
	var bookingsOnTime, bookingsOffered, allOnTime, allOffered float64
	for i := range seconds {
		amount, work := load(i)
		windows := simulated.simulateSecond(controller, amount, work)
		for _, class := range testClasses {
			window := windows[class.Name]
			allOnTime += window.OnTime
			allOffered += window.Offered
			if class.Name == "rezervacia" {
				bookingsOnTime += window.OnTime
				bookingsOffered += window.Offered
			}
		}
		if controller != nil {
			controller.Step(time.Duration(i+1)*time.Second, windows)
		}
	}
	return bookingsOnTime / bookingsOffered, allOnTime / allOffered
}
