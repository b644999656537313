// Command levelsbench runs scripts of overload in virtual time. It compares levels of reduced service with three
// alternatives: no levels, a fixed limit on open requests, and a fixed share of searches that is always shed. The
// limit and the share are those with the highest value of served requests. CI does not run it.
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

// unlimitedQuota is a quota that no tenant reaches, so that quotas reject no requests.
const unlimitedQuota = 3000

// Names of the request classes in the scripts.
const (
	classSearch  = "hladanie"
	classBooking = "rezervacia"
	classCancel  = "zrusenie"
)

// variant is a script of overload. base is the name of a shipped script, and change turns that script into the
// variant.
type variant struct {
	name   string
	base   string
	change func(*script.Script)
}

// withTraffic returns a function that changes a script's traffic. rate is in requests per second.
func withTraffic(shape string, period time.Duration, amplitude, rate float64) func(*script.Script) {
	return func(s *script.Script) {
		s.Traffic.Shape, s.Traffic.Period, s.Traffic.Amplitude, s.Traffic.Rate = shape, period, amplitude, rate
	}
}

func withoutRetries(change func(*script.Script)) func(*script.Script) {
	return func(s *script.Script) {
		change(s)
		s.Clients.Retries = 0
	}
}

var variants = []variant{
	{"wave 1 s", "monday", withTraffic("wave", time.Second, 0.4, 840)},
	{"wave 5 s", "monday", withTraffic("wave", 5*time.Second, 0.4, 840)},
	{"wave 20 s", "monday", withTraffic("wave", 20*time.Second, 0.4, 840)},
	{"wave 60 s", "monday", withTraffic("wave", time.Minute, 0.4, 840)},
	{"wave 120 s", "monday", withTraffic("wave", 2*time.Minute, 0.4, 840)},
	{"square 10 s", "monday", withTraffic("square", 10*time.Second, 0.5, 840)},
	{"square 45 s", "monday", withTraffic("square", 45*time.Second, 0.5, 840)},
	{"steady at the bound", "monday", withTraffic("steady", 0, 0, 620)},
	{"steady beyond", "monday", withTraffic("steady", 0, 0, 840)},
	{"steady far beyond", "monday", withTraffic("steady", 0, 0, 1300)},
	{"ramp", "monday", withTraffic("ramp", 0, 0.6, 840)},
	{"costly searches", "costly", func(s *script.Script) { s.Traffic.Rate *= 1.3 }},
	{"no retries", "monday", withoutRetries(withTraffic("wave", 20*time.Second, 0.4, 840))},
}

func main() {
	seeds := flag.Int("seeds", 2, "seeds per script")
	dir := flag.String("scripts", "scenarios", "directory of the scripts")
	levelsFile := flag.String("levels", "examples/levels.toml", "the ladder")
	duration := flag.Duration("length", 2*time.Minute, "length of each script")
	flag.Parse()
	run := bench{dir: *dir, duration: *duration, seeds: *seeds}
	benchkit.ExitOnError("levelsbench", run.compare(*levelsFile))
}

// bench has the options of one run of the command.
type bench struct {
	dir      string
	duration time.Duration // length of each script
	seeds    int
}

// protectionResult is the result of one protection against overload. The fractions are means over all seeds.
type protectionResult struct {
	value          float64 // value of the served requests, as a fraction of the value offered
	bookingsOnTime float64 // bookings served within their latency objective, as a fraction of the offered bookings
	wastedWork     float64 // work that servers did for abandoned requests, as a fraction of all work
	levelChanges   int     // total number over all seeds
}

// protection configures the protection of nodes against overload.
type protection struct {
	maxOpen int                                      // fixed limit on open requests; 0: none
	levels  func(*plan.Plan) (*levels.Config, error) // nil: no levels
}

const header = "script | value served: none, best limit, best share, levels | " +
	"bookings on time: none, limit, share, levels | wasted work: none, levels | level changes"

// compare measures each variant with each kind of protection, and prints one line per variant. levelsFile has the
// configuration of the levels.
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
		limit, err := b.measureBest(overload, fixedLimits())
		if err != nil {
			return err
		}
		share, err := b.measureBest(overload, fixedShares())
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
			none.bookingsOnTime, limit.bookingsOnTime, share.bookingsOnTime, with.bookingsOnTime,
			none.wastedWork, with.wastedWork, with.levelChanges)
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

// shedAlways returns a configuration with one level that sheds the given share of searches. The level becomes active
// at once and stays active.
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

// measureBest measures each candidate and returns the result with the highest value.
func (b bench) measureBest(v variant, candidates []protection) (best protectionResult, err error) {
	for _, p := range candidates {
		achieved, err := b.measure(v, p)
		if err != nil {
			return protectionResult{}, err
		}
		if achieved.value > best.value {
			best = achieved
		}
	}
	return best, nil
}

// measure runs a variant once with each seed, and returns the mean. At most one run per core is in progress.
func (b bench) measure(v variant, p protection) (mean protectionResult, err error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, runtime.NumCPU())
	for seed := range b.seeds {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			run, runErr := b.runScript(v, uint64(seed+1), p)
			mu.Lock()
			defer mu.Unlock()
			if runErr != nil {
				err = errors.Join(err, fmt.Errorf("%s, seed %d: %w", v.name, seed+1, runErr))
				return
			}
			mean.add(run, float64(b.seeds))
		})
	}
	group.Wait()
	return mean, err
}

// add adds one run to the mean of the given number of runs.
func (f *protectionResult) add(run *result.Result, runs float64) {
	bookings := run.Classes[classBooking]
	f.value += run.All.ValueShare() / runs
	f.bookingsOnTime += float64(bookings.OnTime) / float64(bookings.Offered) / runs
	f.wastedWork += run.WastedWork / max(1, run.Work) / runs
	for i := 1; i < len(run.Levels); i++ {
		if run.Levels[i].Level != run.Levels[i-1].Level {
			f.levelChanges++
		}
	}
}

// runScript runs a script with one seed. It returns an error if the run violates a rule that the verdict checks.
func (b bench) runScript(v variant, seed uint64, with protection) (*result.Result, error) {
	scenario, err := script.Load(filepath.Join(b.dir, v.base+".toml"))
	if err != nil {
		return nil, err
	}
	scenario.Traffic.Quota, scenario.Duration = unlimitedQuota, b.duration
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
		err = fmt.Errorf("the run violated rules: %v", run.Verdict.Violations)
	}
	return run, err
}
