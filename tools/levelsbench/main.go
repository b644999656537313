// Command levelsbench compares levels of reduced service with no levels, with the best fixed limit on open requests
// and with the best share of searches that is shed all the time, on scripts of overload in virtual time. The best limit
// or share has the highest value of served requests. CI does not run it.
//
//	go run ./tools/levelsbench [-seeds 2] [-scripts scenarios]
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"cobaltward/emulator/plan"
	"cobaltward/emulator/result"
	"cobaltward/emulator/script"
	"cobaltward/emulator/sim"
	"cobaltward/internal/standalone"
	"cobaltward/levels"
	"cobaltward/tools/internal/benchkit"
)

// unlimitedQuota is a request rate that nobody reaches, so that no quota holds work back.
const unlimitedQuota = 3000

// Classes of the scripts.
const (
	classSearch  = "hladanie"
	classBooking = "rezervacia"
	classCancel  = "zrusenie"
)

// variant is one script of overload, made from a shipped one.
type variant struct {
	name   string
	base   string
	change func(*script.Script)
}

// wave returns a change of the traffic's shape; rate is in requests a second.
func wave(shape string, period time.Duration, swing, rate float64) func(*script.Script) {
	return func(s *script.Script) {
		s.Traffic.Shape, s.Traffic.Period, s.Traffic.Amplitude, s.Traffic.Rate = shape, period, swing, rate
	}
}

func withoutRetries(change func(*script.Script)) func(*script.Script) {
	return func(s *script.Script) {
		change(s)
		s.Clients.Retries = 0
	}
}

var variants = []variant{
	{"wave 1 s", "monday", wave("wave", time.Second, 0.4, 840)},
	{"wave 5 s", "monday", wave("wave", 5*time.Second, 0.4, 840)},
	{"wave 20 s", "monday", wave("wave", 20*time.Second, 0.4, 840)},
	{"wave 60 s", "monday", wave("wave", time.Minute, 0.4, 840)},
	{"wave 120 s", "monday", wave("wave", 2*time.Minute, 0.4, 840)},
	{"square 10 s", "monday", wave("square", 10*time.Second, 0.5, 840)},
	{"square 45 s", "monday", wave("square", 45*time.Second, 0.5, 840)},
	{"steady at the bound", "monday", wave("steady", 0, 0, 620)},
	{"steady beyond", "monday", wave("steady", 0, 0, 840)},
	{"steady far beyond", "monday", wave("steady", 0, 0, 1300)},
	{"ramp", "monday", wave("ramp", 0, 0.6, 840)},
	{"costly searches", "costly", func(s *script.Script) { s.Traffic.Rate *= 1.3 }},
	{"no retries", "monday", withoutRetries(wave("wave", 20*time.Second, 0.4, 840))},
}

func main() {
	seeds := flag.Int("seeds", 2, "of each script")
	dir := flag.String("scripts", "scenarios", "where the scripts are")
	levelsFile := flag.String("levels", "examples/levels.toml", "the ladder")
	length := flag.Duration("length", 2*time.Minute, "of each script")
	flag.Parse()
	run := bench{dir: *dir, length: *length, seeds: *seeds}
	benchkit.ExitOnError("levelsbench", run.compare(*levelsFile))
}

// bench is one run of the command.
type bench struct {
	dir    string
	length time.Duration // of each script
	seeds  int
}

// figure is what one protection against overload achieves, as a mean over seeds.
type figure struct {
	value        float64 // kept, as a share of the value offered
	booked       float64 // bookings within their latency objective, as a share of those offered
	waste        float64 // share of all work that servers did for abandoned requests
	levelChanges int
}

// protection is what a node of a script does against overload.
type protection struct {
	maxOpen int                                      // fixed limit on open requests; 0: none
	levels  func(*plan.Plan) (*levels.Config, error) // nil: no levels
}

const header = "script | worth kept: none, best limit, best share, levels | " +
	"bookings in aim: none, limit, share, levels | work for nobody: none, levels | changes (least between)"

// compare prints a line for each script.
func (b bench) compare(levelsFile string) error {
	config, err := standalone.Load(levelsFile)
	if err != nil {
		return err
	}
	fmt.Println(header)
	for _, overload := range variants {
		none, err := b.measure(overload, protection{})
		if err != nil {
			return err
		}
		limit, err := b.best(overload, fixedLimits())
		if err != nil {
			return err
		}
		share, err := b.best(overload, fixedShares())
		if err != nil {
			return err
		}
		with, err := b.measure(overload, protection{levels: func(p *plan.Plan) (*levels.Config, error) {
			return config.LevelsConfig(p.Settings.Classes)
		}})
		if err != nil {
			return err
		}
		fmt.Printf("%-20s | %.3f %.3f %.3f %.3f | %.3f %.3f %.3f %.3f | %.3f %.3f | %d\n",
			overload.name, none.value, limit.value, share.value, with.value,
			none.booked, limit.booked, share.booked, with.booked, none.waste, with.waste, with.levelChanges)
	}
	return nil
}

func fixedLimits() (all []protection) {
	for _, open := range []int{40, 80, 160, 320} {
		all = append(all, protection{maxOpen: open})
	}
	return all
}

func fixedShares() (all []protection) {
	for _, share := range []float64{0.1, 0.25, 0.4, 0.6, 0.8} {
		all = append(all, protection{levels: func(*plan.Plan) (*levels.Config, error) {
			return shedAlways(share), nil
		}})
	}
	return all
}

// shedAlways is a configuration whose one level is entered at once, and stays.
func shedAlways(share float64) *levels.Config {
	return &levels.Config{
		Classes: []levels.Class{{Name: classSearch}, {Name: classBooking, ShedLast: true}, {Name: classCancel}},
		Levels: []levels.Level{{
			Name:     "always",
			Enter:    []levels.Condition{{Signal: levels.Demand, Threshold: 0.02}},
			Exit:     []levels.Condition{{Signal: levels.Demand, Threshold: 0.01}},
			Measures: []levels.Measure{{Class: classSearch, Shed: share}},
		}},
	}
}

// best returns the figure of the protection that keeps most value.
func (b bench) best(v variant, of []protection) (best figure, err error) {
	for _, p := range of {
		achieved, err := b.measure(v, p)
		if err != nil {
			return figure{}, err
		}
		if achieved.value > best.value {
			best = achieved
		}
	}
	return best, nil
}

// measure runs a script with each seed, as many at once as there are cores.
func (b bench) measure(v variant, p protection) (mean figure, err error) {
	var all sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, runtime.NumCPU())
	for seed := range b.seeds {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			run, runErr := b.play(v, uint64(seed+1), p)
			mu.Lock()
			defer mu.Unlock()
			if runErr != nil {
				err = errors.Join(err, fmt.Errorf("%s, seed %d: %w", v.name, seed+1, runErr))
				return
			}
			mean.add(run, float64(b.seeds))
		})
	}
	all.Wait()
	return mean, err
}

// add adds one run of so many that the mean is of.
func (f *figure) add(run *result.Result, runs float64) {
	bookings := run.Classes[classBooking]
	f.value += run.All.ValueShare() / runs
	f.booked += float64(bookings.OnTime) / float64(bookings.Offered) / runs
	f.waste += run.WastedWork / max(1, run.Work) / runs
	for i := 1; i < len(run.Levels); i++ {
		if run.Levels[i].Level != run.Levels[i-1].Level {
			f.levelChanges++
		}
	}
}

// play runs a script with one seed. A broken rule is an error.
func (b bench) play(v variant, seed uint64, with protection) (*result.Result, error) {
	scenario, err := script.Load(filepath.Join(b.dir, v.base+".toml"))
	if err != nil {
		return nil, err
	}
	scenario.Traffic.Quota, scenario.Duration = unlimitedQuota, b.length
	v.change(scenario)
	if with.maxOpen > 0 {
		scenario.Nodes.MaxOpen = with.maxOpen
	}
	scheduled, err := plan.New(scenario, seed)
	if err != nil {
		return nil, err
	}
	var options sim.Options
	if with.levels != nil {
		if options.Levels, err = with.levels(scheduled); err != nil {
			return nil, err
		}
	}
	run, err := sim.Run(context.Background(), scheduled, options)
	if err == nil && !run.Verdict.Passed() {
		err = fmt.Errorf("rules were broken: %v", run.Verdict.Violations)
	}
	return run, err
}
