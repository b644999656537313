package clustersim

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

var (
	schedules = flag.Int("schedules", 80, "to play")
	first     = flag.Uint64("seed", 1, "the first of them")
	replay    = flag.Bool("replay", false, "play one, and print what happens")
	lie       = flag.Bool("lie", false, "with clocks that jump and run at any rate")
	length    = flag.Duration("length", 30*time.Second, "of each: from 11m on, some processes are stopped for 10 minutes")
	versions  = flag.Bool("versions", false, "with rollouts, and nodes that act by rights to versions")
	without   = flag.String("without", "", "a guard that is gone: token, wait, asking, sync, before")
)

func config(seed uint64, without string, lie bool) Config {
	c := Config{Seed: seed, Members: 3 + 2*int(seed%4/3), Nodes: 4, Owners: 3, Length: *length, Lie: lie}
	c.Only = mostly[without]
	switch without {
	case "token":
		c.Guards.SkipFencing = true
	case "wait":
		c.Guards.SkipExpiryDelay = true
	case "asking":
		c.Guards.CountFromResponse = true
	case "sync":
		c.NoSync = true
	case "before":
		c.Guards.RecordIntentLate = true
	case "right":
		c.Versions, c.Rights.CountFromResponse = true, true
	case "behind":
		c.Versions, c.Rights.GrantAnyVersion = true, true
	case "clear":
		c.Versions, c.Rights.SkipRetirementDelay = true, true
	}
	if *versions {
		c.Versions = true
	}
	return c
}

// mostly is which faults a build without a guard meets: those that the guard is there for, so that few schedules do.
var mostly = map[string][]int{
	"token":  {1, 1, 9, 2}, // disks of receivers that are older, repeats, stops
	"asking": {11},         // processes that hear late, and are cut off then
	"right":  {13},         // a node that hears late
	"sync":   {12},         // a voter that dies and is back at once, between two that don't see each other
}

// many plays schedules until one breaks a rule, or all are through.
func many(from uint64, n int, without string, lie bool) (total Result, broke uint64) {
	for seed := from; seed < from+uint64(n); seed++ {
		r := Run(config(seed, without, lie))
		total.Add(r)
		if len(r.Broken) > 0 {
			return total, seed
		}
	}
	return total, 0
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// Schedules of everything that may go wrong break no rule. With clocks that lie, receivers still take nothing by an
// old owner after anything by a newer one, and nothing is done twice.
func TestSchedules(t *testing.T) {
	if *replay {
		c := config(*first, *without, *lie)
		c.Trace = func(s string) { fmt.Println(s) }
		r := Run(c)
		fmt.Println(r, r.Broken)
		return
	}
	for _, lie := range []bool{false, true} {
		r, broke := many(*first, *schedules/2, *without, lie)
		if broke != 0 {
			t.Errorf("lying clocks %v: %v; play it again with -replay -seed %d -lie=%v", lie, r.Broken, broke, lie)
		}
		if r.Tokens < 2**schedules/2 || r.Wakes == 0 || r.Rounds == 0 || r.Refused == 0 && *schedules > 200 {
			t.Errorf("too little happened: %v", r)
		}
		t.Logf("lying clocks %v: %v", lie, r)
	}
}

// Without a guard some schedule breaks a rule: the rules can be broken, and the guards are what keeps them.
func TestGuards(t *testing.T) {
	for _, g := range []struct {
		without, rule string
		from          uint64
		most          int
		lie           bool
	}{
		{"token", "out at once", 53, 3000, true},
		{"wait", "two owners", 1, 3000, false},
		{"asking", "two owners", 25, 3000, false},
		{"sync", "", 23, 3000, false},
		{"before", "out at once", 1, 3000, false},
	} {
		r, broke := many(g.from, g.most, g.without, g.lie)
		if broke == 0 {
			t.Errorf("without %s: %d schedules broke nothing: %v", g.without, g.most, r)
			continue
		}
		if !strings.Contains(r.Broken[0], g.rule) {
			t.Errorf("without %s another rule broke: %v", g.without, r.Broken)
		}
		t.Logf("without %s: seed %d: %s", g.without, broke, r.Broken[0])
	}
}

// Rollouts go on through all that: at no time do nodes act on more than two versions. Without a guard they do.
func TestVersions(t *testing.T) {
	var total Result
	for seed := *first; seed < *first+uint64(*schedules/4); seed++ {
		c := config(seed, "", false)
		c.Versions = true
		r := Run(c)
		total.Add(r)
		if len(r.Broken) > 0 {
			t.Fatalf("%v; play it again with -replay -versions -seed %d", r.Broken, seed)
		}
	}
	if total.Acts == 0 || total.Rollouts < *schedules/4 {
		t.Errorf("too little happened: %v", total)
	}
	t.Log(total)
	for without, from := range map[string]uint64{"right": 58, "behind": 12, "clear": 9} { // each convicts soon after
		r, broke := many(from, 1000, without, false)
		if broke == 0 || !strings.Contains(r.Broken[0], "versions are acted on") {
			t.Errorf("without %s: %v", without, r)
			continue
		}
		t.Logf("without %s: seed %d: %s", without, broke, r.Broken[0])
	}
}

// The same seed plays the same schedule.
func TestReplay(t *testing.T) {
	for seed := uint64(1); seed < 4; seed++ {
		var a, b strings.Builder
		for _, out := range []*strings.Builder{&a, &b} {
			c := config(seed, "", false)
			c.Trace = func(s string) { fmt.Fprintln(out, s) }
			Run(c)
		}
		if a.String() != b.String() || a.Len() < 100 {
			t.Errorf("seed %d: two plays differ, or nothing happens:\n%s\n%s", seed, a.String(), b.String())
		}
	}
}

// TestMany plays many schedules on all cores, each in processes of their own, with progress:
//
//	go test ./emulator/clustersim -run TestMany -schedules 100000 -timeout 2h -v
func TestMany(t *testing.T) {
	if *schedules < 1000 {
		t.Skip("a measurement: -schedules 1000 or more")
	}
	if shard := os.Getenv("CONCERT_SHARD"); shard != "" {
		from, _ := strconv.ParseUint(shard, 10, 64)
		for i, part := 0, 200; i < *schedules; i += part {
			r, broke := many(from+uint64(i), min(part, *schedules-i), *without, (i/part)%3 == 2)
			fmt.Printf("shard %d: %d of %d: %v %v\n", from, i+part, *schedules, r, r.Broken)
			if broke != 0 {
				t.Errorf("seed %d, lying clocks %v: %v", broke, (i/part)%3 == 2, r.Broken)
			}
		}
		return
	}
	n := runtime.NumCPU()
	done := make(chan error, n)
	for i := range n {
		cmd := exec.Command(os.Args[0], "-test.run", "TestMany", "-test.timeout", "3h", "-schedules", strconv.Itoa(*schedules/n), "-without", *without, "-length", length.String())
		cmd.Env = append(os.Environ(), fmt.Sprintf("CONCERT_SHARD=%d", *first+uint64(i**schedules/n)), "GOMAXPROCS=1")
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		go func() { done <- cmd.Run() }()
	}
	for range n {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
