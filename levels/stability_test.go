package levels

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cobaltward/dropoverload"
)

// TestController_DoesNotOscillate plays loads near a threshold, loads that swing across it, and loads far beyond it for
// twenty minutes: never two changes within 30 s, few changes in all, and bookings are served no worse than without
// levels.
func TestController_DoesNotOscillate(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for name, total := range map[string]func(second int) float64{
		"hovers":           func(int) float64 { return 100 + 10*random.Float64() },
		"slow swing":       func(i int) float64 { return 100 + 25*math.Sin(2*math.Pi*float64(i)/60) },
		"fast swing":       func(i int) float64 { return 110 + 30*math.Sin(2*math.Pi*float64(i)/7) },
		"square":           func(i int) float64 { return 85 + 60*float64(i/45%2) },
		"far beyond":       func(int) float64 { return 180 },
		"a long Monday":    func(i int) float64 { return 80 + 60*math.Sin(math.Pi*float64(i)/1200) },
		"hovers just over": func(int) float64 { return 118 },
	} {
		t.Run(name, func(t *testing.T) {
			controller := newController(t, testConfig())
			load := func(i int) (map[string]float64, map[string]float64) { return loadOf(total(i)), evenWork }
			bookings, all := play(controller, 1200, load)
			bookingsWithout, allWithout := play(nil, 1200, load)
			checkIntervals(t, controller.Events())
			t.Logf("%d changes; bookings in time %.3f (%.3f without levels), all %.3f (%.3f)",
				len(controller.Events()), bookings, bookingsWithout, all, allWithout)
			if bookings < bookingsWithout-0.005 {
				t.Errorf("bookings in time %.3f, %.3f without levels", bookings, bookingsWithout)
			}
			if len(controller.Events()) > 24 { // one change each 50 s
				t.Errorf("%d changes", len(controller.Events()))
			}
		})
	}
}

// checkIntervals checks that no two changes are within 30 s, and that each is by one level.
func checkIntervals(t *testing.T, events []Event) {
	t.Helper()
	last := -time.Hour
	for _, event := range events {
		if event.At-last < 30*time.Second {
			t.Errorf("%v after the change before: %+v", event.At-last, event)
		}
		if event.To > event.From+1 || event.To < event.From-1 {
			t.Errorf("more than one level at once: %+v", event)
		}
		last = event.At
	}
}

// TestController_CostlyClass makes one class costly while the number of requests stays: a level is entered for the
// work that is offered, and left once it is over.
func TestController_CostlyClass(t *testing.T) {
	controller := newController(t, testConfig())
	costlySearches := map[string]float64{"hladanie": 3, "rezervacia": 1, "zrusenie": 1}
	load := func(i int) (map[string]float64, map[string]float64) {
		if i >= 60 && i < 240 {
			return loadOf(70), costlySearches
		}
		return loadOf(70), evenWork
	}
	bookings, _ := play(controller, 600, load)
	bookingsWithout, _ := play(nil, 600, load)
	events := controller.Events()
	if len(events) == 0 || events[0].At < time.Minute || events[0].At > 80*time.Second {
		t.Errorf("not entered when searches became costly: %+v", events)
	}
	if level, _, reason := controller.Level(); level != 0 {
		t.Errorf("at level %d at the end: %s", level, reason)
	}
	if bookings < bookingsWithout+0.05 {
		t.Errorf("bookings in time %.3f, %.3f without levels", bookings, bookingsWithout)
	}
	t.Logf("bookings in time %.3f (%.3f without levels), %+v", bookings, bookingsWithout, events)
}

// TestController_EveryPeriod swings the load around what servers carry, as a sine with noise, at every period from 1 s
// to 120 s and from 20 seeds: never two changes within 30 s, never two levels at once, and not many changes.
func TestController_EveryPeriod(t *testing.T) {
	for _, period := range []float64{1, 2, 5, 10, 20, 30, 45, 60, 90, 120} {
		t.Run(fmt.Sprintf("%vs", period), func(t *testing.T) {
			mostChanges := 0
			for seed := range uint64(20) {
				random := rand.New(rand.NewPCG(seed, 1))
				controller := newController(t, testConfig())
				phase := 2 * math.Pi * random.Float64()
				play(controller, 1200, func(i int) (map[string]float64, map[string]float64) {
					swing := 25 * math.Sin(2*math.Pi*float64(i)/period+phase)
					return loadOf(105 + swing + 8*random.NormFloat64()), evenWork
				})
				checkIntervals(t, controller.Events())
				mostChanges = max(mostChanges, len(controller.Events()))
			}
			if mostChanges > 40 {
				t.Errorf("%d changes in 1200 s", mostChanges)
			}
			t.Logf("at most %d changes in 20 minutes", mostChanges)
		})
	}
}

// TestShedding_FairToTenants checks that shedding by request id lets the same fraction of each tenant's requests
// through: Jain's index of the fractions of 20 tenants.
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
		t.Errorf("Jain's index %.4f", jain)
	}
}
