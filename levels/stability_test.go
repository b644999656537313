package levels

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cobaltward/dropoverload"
)

// TestController_DoesNotOscillate checks that the level does not oscillate in 20 minutes of load near a threshold,
// across a threshold and far beyond a threshold. Two changes must be at least 30 s apart, and there may be at most 24
// changes. Bookings must be served no worse than without levels.
func TestController_DoesNotOscillate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for name, total := range map[string]func(second int) float64{
		"hovers":           func(int) float64 { return 100 + 10*random.Float64() },
		"slow swing":       func(i int) float64 { return 100 + 25*math.Sin(2*math.Pi*float64(i)/60) },
		"fast swing":       func(i int) float64 { return 110 + 30*math.Sin(2*math.Pi*float64(i)/7) },
		"square":           func(i int) float64 { return 85 + 60*float64(i/45%2) },
		"far beyond":       func(int) float64 { return 180 },
		"one slow wave":    func(i int) float64 { return 80 + 60*math.Sin(math.Pi*float64(i)/1200) },
		"hovers just over": func(int) float64 { return 118 },
	} {
		t.Run(name, func(t *testing.T) {
			controller := newController(t, testConfig())
			load := func(i int) (map[string]float64, map[string]float64) { return splitByClass(total(i)), equalWork }
			bookings, all := simulate(controller, 1200, load)
			bookingsWithout, allWithout := simulate(nil, 1200, load)
			checkIntervals(t, controller.Events())
			t.Logf("%d changes; bookings in time: %.3f (%.3f without levels), all requests: %.3f (%.3f without levels)",
				len(controller.Events()), bookings, bookingsWithout, all, allWithout)
			if bookings < bookingsWithout-0.005 {
				t.Errorf("fraction of bookings in time is %.3f, %.3f without levels", bookings, bookingsWithout)
			}
			if len(controller.Events()) > 24 { // one change per 50 s on average
				t.Errorf("%d changes in 1200 s, want at most 24", len(controller.Events()))
			}
		})
	}
}

// checkIntervals checks that changes are at least 30 s apart and that each change is by one level.
func checkIntervals(t *testing.T, events []Event) {
	t.Helper()
	last := -time.Hour
	for _, event := range events {
		if event.At-last < 30*time.Second {
			t.Errorf("changed only %v after the previous change: %+v", event.At-last, event)
		}
		if event.To > event.From+1 || event.To < event.From-1 {
			t.Errorf("changed by more than one level at once: %+v", event)
		}
		last = event.At
	}
}

// TestController_CostIncreaseOfOneClass checks that a level is entered within 20 s if the requests of one class
// become more expensive. The test triples the work per request for three minutes, at a constant number of requests.
// Full service must be in force at the end.
func TestController_CostIncreaseOfOneClass(t *testing.T) {
	controller := newController(t, testConfig())
	costlySearches := map[string]float64{"hladanie": 3, "rezervacia": 1, "zrusenie": 1}
	load := func(i int) (map[string]float64, map[string]float64) {
		if i >= 60 && i < 240 {
			return splitByClass(70), costlySearches
		}
		return splitByClass(70), equalWork
	}
	bookings, _ := simulate(controller, 600, load)
	bookingsWithout, _ := simulate(nil, 600, load)
	events := controller.Events()
	if len(events) == 0 || events[0].At < time.Minute || events[0].At > 80*time.Second {
		t.Errorf("no level was entered within 20 s after searches became costly: %+v", events)
	}
	if level, _, reason := controller.Level(); level != 0 {
		t.Errorf("still at level %d at the end: %s", level, reason)
	}
	if bookings < bookingsWithout+0.05 {
		t.Errorf("fraction of bookings in time is %.3f, want at least 0.05 more than %.3f without levels",
			bookings, bookingsWithout)
	}
	t.Logf("bookings in time: %.3f (%.3f without levels); events: %+v", bookings, bookingsWithout, events)
}

// TestController_EveryPeriod checks that the level does not follow a periodic load too closely. The load varies
// around the capacity of the servers, as a sine with noise, for periods from 1 s to 120 s with 20 seeds each. Two
// changes must be at least 30 s apart, and each change must be by one level. At most 40 changes may occur in 20
// minutes.
func TestController_EveryPeriod(t *testing.T) {
	for _, period := range []float64{1, 2, 5, 10, 20, 30, 45, 60, 90, 120} {
		t.Run(fmt.Sprintf("%vs", period), func(t *testing.T) {
			mostChanges := 0
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 1))
				controller := newController(t, testConfig())
				phase := 2 * math.Pi * random.Float64()
				simulate(controller, 1200, func(i int) (map[string]float64, map[string]float64) {
					swing := 25 * math.Sin(2*math.Pi*float64(i)/period+phase)
					return splitByClass(105 + swing + 8*random.NormFloat64()), equalWork
				})
				checkIntervals(t, controller.Events())
				mostChanges = max(mostChanges, len(controller.Events()))
			}
			if mostChanges > 40 {
				t.Errorf("%d changes in 1200 s, want at most 40", mostChanges)
			}
			t.Logf("at most %d changes in 20 minutes", mostChanges)
		})
	}
}

// TestShedding_FairToTenants checks that shedding by request id admits about the same fraction of each tenant's
// requests. Jain's fairness index over the fractions of 20 tenants must be at least 0.99.
func TestShedding_FairToTenants(t *testing.T) {
	const tenants, requests = 20, 2000
	var sum, squares float64
	for tenant := range tenants {
		passed := 0
		for i := range requests {
			if dropoverload.Fraction(fmt.Sprintf("t%d-%d", tenant, i)) >= 0.5 {
				passed++
			}
		}
		fraction := float64(passed) / requests
		sum += fraction
		squares += fraction * fraction
	}
	if jain := sum * sum / (tenants * squares); jain < 0.99 {
		t.Errorf("Jain's fairness index is %.4f, want at least 0.99", jain)
	}
}
