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

	"cobaltward/internal/cli"
	"cobaltward/internal/fleetcli"
)

const testTick = 25 * time.Millisecond

var (
	seeds         = flag.Int("seeds", 2, "number of schedules of mixed faults")
	first         = flag.Uint64("seed", 1, "the first schedule's seed; with -seeds 1 the schedule is replayed")
	length        = flag.Duration("length", 6*time.Second, "length of a schedule")
	atOnce        = flag.Int("at-once", 2, "schedules that run at the same time")
	nodes         = flag.Int("nodes", 4, "real nodes under load")
	load          = flag.Float64("load", 200, "requests per second to real nodes")
	without       = flag.String("without", "", "guards that all processes lack: token, wait, asking, before")
	leaseDuration = flag.Duration("lease", 2*time.Second, "duration of leases")
	all           = flag.Bool("all", false, "run all hard cases, in parallel, and not only the first one")
	smaller       = flag.Bool("smaller", false, "remove the faults that a failing schedule does not need")
)

func TestMain(m *testing.M) {
	programs := Programs{
		Node: func() int { return cli.Main(cli.Extensions{}) },
		Fleet: func(hooks FleetHooks) int {
			return fleetcli.Main(fleetcli.TestHooks{
				Clock: hooks.Clock, Storage: hooks.Storage, Unsafe: hooks.Unsafe, ObserveProposal: hooks.ObserveProposal,
			})
		},
	}
	if status, isChild := Child(programs); isChild {
		os.Exit(status)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func testOptions() Options { return Options{Command: []string{os.Args[0]}, Without: *without} }

// runScript runs a script, and adds to the violations whether the lease history is explicable.
func runScript(t *testing.T, script *Script) *Result {
	t.Helper()
	result, err := Run(context.Background(), script, testOptions())
	if err != nil {
		t.Fatalf("%s: %v", script.Title, err)
	}
	if err := CheckLeaseHistory(result.LeaseRequests, 30*time.Second); err != nil {
		result.Violations = append(result.Violations, err.Error())
	}
	return result
}

func logRun(t *testing.T, script *Script, result *Result) {
	t.Helper()
	for _, fault := range script.Faults {
		t.Log(fault)
	}
	t.Logf("%s\n%s", result, result.Log)
}

// mixedRuns adds up the results of schedules of mixed faults.
type mixedRuns struct {
	mu        sync.Mutex
	startedAt time.Time
	finished  int
	total     Result
}

func (m *mixedRuns) add(t *testing.T, script *Script, result *Result) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finished++
	m.total.Effects += result.Effects
	m.total.Tokens += result.Tokens
	m.total.LateEffects += result.LateEffects
	m.total.Rejected += result.Rejected
	m.total.Patches += result.Patches
	m.total.RollingUpdates += result.RollingUpdates
	for kind, count := range result.Faults {
		m.total.Faults[kind] += count
	}
	for _, violation := range result.Violations {
		t.Errorf("seed %d: %s", script.Seed, violation)
	}
	if len(result.Violations) > 0 {
		logRun(t, script, result)
	}
	elapsed := time.Since(m.startedAt).Round(time.Second)
	fmt.Printf("%d of %d after %v: seed %d: %s\n", m.finished, *seeds, elapsed, script.Seed, result)
	if len(result.Violations) > 0 && *smaller {
		shrunk := Shrink(script, func(s *Script) bool { return len(runScript(t, s).Violations) > 0 })
		for _, fault := range shrunk.Faults {
			fmt.Print(fault.TOML())
		}
	}
}

// Under mixed faults of all kinds, drawn from seeds, effects are in the order of their tokens, and none is applied
// twice or lost.
func TestMixed(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	runs := &mixedRuns{startedAt: time.Now(), total: Result{Faults: make(map[string]int)}}
	slots := make(chan struct{}, *atOnce)
	var tasks sync.WaitGroup
	for i := range *seeds {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			script := Draw(*first+uint64(i), 3+2*(i%5/4), 5, *length)
			script.Lease = *leaseDuration
			runs.add(t, script, runScript(t, script))
		})
	}
	tasks.Wait()
	t.Logf("all: %s (links: see each)", &runs.total)
	if runs.total.Effects == 0 || runs.total.Tokens < 2 {
		t.Error("too little happened: no effects, or no change of the lease holder")
	}
}

// Without faults, a rolling update patches each node once, and ends.
func TestRollingUpdate_WithoutFaults(t *testing.T) {
	script := &Script{
		Title: "without faults", Seed: 1, Replicas: 3, Nodes: 4,
		Lease: *leaseDuration, Tick: testTick, Length: 3 * time.Second,
		MaxUnavailable: 1, MinCapacity: 3,
	}
	result := runScript(t, script)
	if len(result.Violations) > 0 || result.RollingUpdates == 0 || result.LateEffects > 0 {
		t.Errorf("%v, %d rolling updates", result.Violations, result.RollingUpdates)
		logRun(t, script, result)
	}
	t.Log(result)
}

// The same seed draws the same script, Parse reads what TOML writes, and Shrink keeps only the faults that matter.
func TestScripts(t *testing.T) {
	script, again := Draw(7, 3, 5, time.Minute), Draw(7, 3, 5, time.Minute)
	if fmt.Sprint(script) != fmt.Sprint(again) || len(script.Faults) < 5 {
		t.Errorf("%v\n%v", script, again)
	}
	text := "council = 3\nnodes = 5\nlength = \"1m\"\n"
	for _, fault := range script.Faults {
		text += fault.TOML()
	}
	parsed, err := Parse([]byte(text))
	if err != nil || fmt.Sprint(parsed.Faults) != fmt.Sprint(script.Faults) {
		t.Errorf("%v: %v\n%v", err, parsed, script.Faults)
	}
	shrunk := Shrink(script, func(s *Script) bool {
		return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return fault.Kind == FaultKill })
	})
	if len(shrunk.Faults) != 1 {
		t.Errorf("%v", shrunk.Faults)
	}
	text = "council = 3\nnodes = 1\nlength = \"1s\"\n[[fault]]\nat = \"0s\"\nkind = \"kill\"\non = [\"n2\"]\n"
	want := `4: fault[0]: unknown process "n2", want one of c1 c2 c3 n1`
	if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
		t.Error(err)
	}
}

// In rolling updates of real nodes under load, while the lease holder is killed every five seconds, each node is
// patched once, no request is lost, none is executed twice, and never too few nodes serve.
func TestRollingUpdate_UnderLoadWhileLeaseHolderIsKilled(t *testing.T) {
	if testing.Short() {
		t.Skip("real time")
	}
	script := &Script{
		Title: "rolling update under load", Seed: *first, Replicas: 3, Nodes: *nodes, Lease: *leaseDuration, Tick: testTick,
		Length: *length, MaxUnavailable: 2, MinCapacity: float64(*nodes - 2), RequestRate: *load,
	}
	for at := 3 * time.Second; at < *length; at += 5 * time.Second {
		script.Faults = append(script.Faults, Fault{
			At: at, Duration: 1500 * time.Millisecond,
			Kind: FaultKill, Targets: []string{leaseHolderName}, Disk: diskSame,
		})
	}
	result := runScript(t, script)
	if len(result.Violations) > 0 || result.RollingUpdates == 0 || result.Tokens < 2 {
		t.Errorf("%v, %d rolling updates", result.Violations, result.RollingUpdates)
		logRun(t, script, result)
	}
	t.Log(result)
}
