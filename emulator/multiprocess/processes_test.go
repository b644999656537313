package multiprocess

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	seeds   = flag.Int("seeds", 2, "schedules of mixed faults")
	first   = flag.Uint64("seed", 1, "the first of them; with -seeds 1 it is played again")
	length  = flag.Duration("length", 6*time.Second, "of each")
	atOnce  = flag.Int("at-once", 2, "schedules played at a time")
	nodes   = flag.Int("nodes", 4, "real nodes under load")
	load    = flag.Float64("load", 200, "requests a second to them")
	without = flag.String("without", "", "guards that all processes lack: token, wait, asking, before")
	lease   = flag.Duration("lease", 2*time.Second, "of owners")
	all     = flag.Bool("all", false, "all hard cases, at a time, and not only the first ones")
	smaller = flag.Bool("smaller", false, "leave out what a schedule that fails does not need")
)

func TestMain(m *testing.M) {
	if status, is := Child(); is {
		os.Exit(status)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func options() Options { return Options{Command: []string{os.Args[0]}, Without: *without} }

// verdict plays a script, and adds to what the stand-ins say whether the asks for ownership can be explained.
func verdict(t *testing.T, s *Script, o Options) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, o)
	if err != nil {
		t.Fatalf("%s: %v", s.Title, err)
	}
	if err := CheckAsks(r.Asks, 30*time.Second); err != nil {
		r.Broken = append(r.Broken, err.Error())
	}
	return r
}

func show(t *testing.T, s *Script, r *Result) {
	t.Helper()
	for _, f := range s.Faults {
		t.Log(f)
	}
	t.Logf("%s\n%s", r, r.Log)
}

// Mixed faults of all kinds, drawn from seeds: nothing is out of token order, nothing done twice, nothing lost.
func TestMixed(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	var mu sync.Mutex
	var total Result
	total.Faults = make(map[string]int)
	began, through := time.Now(), 0
	room := make(chan struct{}, *atOnce)
	var runs sync.WaitGroup
	for i := range *seeds {
		room <- struct{}{}
		runs.Go(func() {
			defer func() { <-room }()
			s := Draw(*first+uint64(i), 3+2*(i%5/4), 5, *length)
			s.Lease = *lease
			r := verdict(t, s, options())
			mu.Lock()
			defer mu.Unlock()
			through++
			total.Effects, total.Owners, total.Late = total.Effects+r.Effects, total.Owners+r.Owners, total.Late+r.Late
			total.Refused, total.Commits, total.Rounds = total.Refused+r.Refused, total.Commits+r.Commits, total.Rounds+r.Rounds
			for k, n := range r.Faults {
				total.Faults[k] += n
			}
			if len(r.Broken) > 0 {
				for _, b := range r.Broken {
					t.Errorf("seed %d: %s", s.Seed, b)
				}
				show(t, s, r)
			}
			fmt.Printf("%d of %d after %v: seed %d: %s\n", through, *seeds, time.Since(began).Round(time.Second), s.Seed, r)
			if len(r.Broken) > 0 && *smaller {
				small := Smaller(s, func(less *Script) bool { return len(verdict(t, less, options()).Broken) > 0 })
				for _, f := range small.Faults {
					fmt.Print(f.TOML())
				}
			}
		})
	}
	runs.Wait()
	t.Logf("all: %s (links: see each)", &total)
	if total.Effects == 0 || total.Owners < 2 {
		t.Error("nothing was seen: no effects, or no change of owner")
	}
}

// A round without any fault: each node is patched once, and it ends.
func TestCalm(t *testing.T) {
	s := &Script{Title: "calm", Seed: 1, Council: 3, Nodes: 4, Lease: *lease, Tick: 25 * time.Millisecond, Length: 3 * time.Second, AtOnce: 1, Need: 3}
	r := verdict(t, s, options())
	if len(r.Broken) > 0 || r.Rounds == 0 || r.Late > 0 {
		t.Errorf("%v, %d rounds", r.Broken, r.Rounds)
		show(t, s, r)
	}
	t.Log(r)
}

// The same seed draws the same script, and a script says what it is.
func TestScripts(t *testing.T) {
	a, b := Draw(7, 3, 5, time.Minute), Draw(7, 3, 5, time.Minute)
	if fmt.Sprint(a) != fmt.Sprint(b) || len(a.Faults) < 5 {
		t.Errorf("%v\n%v", a, b)
	}
	text := "council = 3\nnodes = 5\nlength = \"1m\"\n"
	for _, f := range a.Faults {
		text += f.TOML()
	}
	s, err := Parse([]byte(text))
	if err != nil || fmt.Sprint(s.Faults) != fmt.Sprint(a.Faults) {
		t.Errorf("%v: %v\n%v", err, s, a.Faults)
	}
	small := Smaller(a, func(s *Script) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == "kill" })
	})
	if len(small.Faults) != 1 {
		t.Errorf("%v", small.Faults)
	}
	if _, err := Parse([]byte("council = 3\nnodes = 1\nlength = \"1s\"\n[[fault]]\nat = \"0s\"\nkind = \"kill\"\non = [\"n2\"]\n")); err == nil || err.Error() != `4: fault[0]: there is no process "n2"; there are c1 c2 c3 n1` {
		t.Error(err)
	}
}

// A round over real nodes under load, with its owner killed every five seconds: each node is patched once, no request
// is lost, none runs twice, and never fewer serve than are needed.
func TestRoundUnderLoad(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	s := &Script{
		Title: "round under load", Seed: *first, Council: 3, Nodes: *nodes, Lease: *lease, Tick: 25 * time.Millisecond, Length: *length, AtOnce: 2,
		Need: float64(*nodes - 2), Load: *load,
	}
	for at := 3 * time.Second; at < *length; at += 5 * time.Second {
		s.Faults = append(s.Faults, Fault{At: at, For: 1500 * time.Millisecond, Kind: "kill", On: []string{theOwner}, Disk: "same"})
	}
	r := verdict(t, s, options())
	if len(r.Broken) > 0 || r.Rounds == 0 || r.Owners < 2 {
		t.Errorf("%v, %d rounds", r.Broken, r.Rounds)
		show(t, s, r)
	}
	t.Log(r)
}
