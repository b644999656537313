// Command levelsbench sets levels of reduced service beside no levels, the best fixed limit on open requests and the best
// share of searches shed all the time (each the one that keeps most worth), on scripts of overload in virtual time. It is no part of CI.
//
//	go run ./tools/levelsbench [-seeds 2] [-scripts scenarios]
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
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
)

// variant is one script of overload, made from a shipped one.
type variant struct {
	name   string
	base   string
	change func(*script.Script)
}

func wave(shape string, period time.Duration, swing, rate float64) func(*script.Script) {
	return func(s *script.Script) {
		s.Traffic.Shape, s.Traffic.Period, s.Traffic.Amplitude, s.Traffic.Rate = shape, period, swing, rate
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
	{"no retries", "monday", func(s *script.Script) { wave("wave", 20*time.Second, 0.4, 840)(s); s.Clients.Retries = 0 }},
}

func main() {
	seeds := flag.Int("seeds", 2, "of each script")
	dir := flag.String("scripts", "scenarios", "where the scripts are")
	ladder := flag.String("levels", "examples/levels.toml", "the ladder")
	length := flag.Duration("length", 2*time.Minute, "of each script")
	flag.Parse()
	if err := run(*dir, *ladder, *length, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, "levelsbench:", err)
		os.Exit(1)
	}
}

// figure is what one way of doing comes to, as a mean over seeds.
type figure struct {
	worth, booked, waste float64
	changes              int
}

func run(dir, file string, length time.Duration, seeds int) error {
	f, err := standalone.Load(file)
	if err != nil {
		return err
	}
	fmt.Println("script | worth kept: none, best limit, best share, levels | bookings in aim: none, limit, share, levels | work for nobody: none, levels | changes (least between)")
	for _, v := range variants {
		none, err := measure(dir, v, length, seeds, 0, nil)
		if err != nil {
			return err
		}
		var limit, share figure
		for _, open := range []int{40, 80, 160, 320} {
			x, err := measure(dir, v, length, seeds, open, nil)
			if err != nil {
				return err
			}
			if x.worth > limit.worth {
				limit = x
			}
		}
		for _, part := range []float64{0.1, 0.25, 0.4, 0.6, 0.8} {
			x, err := measure(dir, v, length, seeds, 0, func(*plan.Plan) (*levels.Config, error) { return always(part), nil })
			if err != nil {
				return err
			}
			if x.worth > share.worth {
				share = x
			}
		}
		with, err := measure(dir, v, length, seeds, 0, func(p *plan.Plan) (*levels.Config, error) { return f.LevelsConfig(p.Settings.Classes) })
		if err != nil {
			return err
		}
		fmt.Printf("%-20s | %.3f %.3f %.3f %.3f | %.3f %.3f %.3f %.3f | %.3f %.3f | %d\n", v.name, none.worth, limit.worth, share.worth, with.worth,
			none.booked, limit.booked, share.booked, with.booked, none.waste, with.waste, with.changes)
	}
	return nil
}

// always is a ladder whose one level is entered at once, and stays.
func always(part float64) *levels.Config {
	return &levels.Config{Classes: []levels.Class{{Name: "hladanie"}, {Name: "rezervacia", ShedLast: true}, {Name: "zrusenie"}}, Levels: []levels.Level{
		{
			Name: "always", Enter: []levels.Condition{{Signal: levels.Demand, Threshold: 0.02}}, Exit: []levels.Condition{{Signal: levels.Demand, Threshold: 0.01}},
			Measures: []levels.Measure{{Class: "hladanie", Shed: part}},
		},
	}}
}

func measure(dir string, v variant, length time.Duration, seeds, open int, ladder func(*plan.Plan) (*levels.Config, error)) (mean figure, err error) {
	var all sync.WaitGroup
	var mu sync.Mutex
	room := make(chan struct{}, runtime.NumCPU())
	for seed := range seeds {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			r, e := play(dir, v, length, uint64(seed+1), open, ladder)
			mu.Lock()
			defer mu.Unlock()
			if e != nil {
				err = fmt.Errorf("%s: %w", v.name, e)
				return
			}
			b := r.Classes["rezervacia"]
			n := float64(seeds)
			mean.worth += r.All.Share() / n
			mean.booked += float64(b.InAim) / float64(b.Offered) / n
			mean.waste += r.Waste / max(1, r.Work) / n
			for i := 1; i < len(r.Levels); i++ {
				if r.Levels[i].Level != r.Levels[i-1].Level {
					mean.changes++
				}
			}
		})
	}
	all.Wait()
	return mean, err
}

func play(dir string, v variant, length time.Duration, seed uint64, open int, ladder func(*plan.Plan) (*levels.Config, error)) (*result.Result, error) {
	s, err := script.Load(filepath.Join(dir, v.base+".toml"))
	if err != nil {
		return nil, err
	}
	s.Traffic.Quota, s.Duration = 3000, length // shares that nobody can carry: no bucket holds the work back
	v.change(s)
	if open > 0 {
		s.Nodes.MaxOpen = open
	}
	p, err := plan.New(s, seed)
	if err != nil {
		return nil, err
	}
	var o sim.Options
	if ladder != nil {
		if o.Levels, err = ladder(p); err != nil {
			return nil, err
		}
	}
	r, err := sim.Run(context.Background(), p, o)
	if err == nil && !r.Verdict.Kept() {
		err = fmt.Errorf("rules were broken: %v", r.Verdict.Breaches)
	}
	return r, err
}
