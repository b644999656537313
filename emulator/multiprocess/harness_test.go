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
	scheduleCount  = flag.Int("seeds", 2, "number of schedules of mixed faults")
	firstSeed      = flag.Uint64("seed", 1, "seed of the first schedule; -seeds 1 replays only that one")
	scheduleLength = flag.Duration("length", 6*time.Second, "length of a schedule")
	maxParallel    = flag.Int("at-once", 2, "number of schedules that run in parallel")
	nodeCount      = flag.Int("nodes", 4, "number of real nodes under load")
	requestRate    = flag.Float64("load", 200, "requests per second to real nodes")
	skipGuards     = flag.String("without", "", "safeguards to disable in all processes: token, wait, asking, before")
	leaseDuration  = flag.Duration("lease", 2*time.Second, "duration of leases")
	runAllCases    = flag.Bool("all", false, "run all hard cases in parallel, not only the first one")
	shrinkFailing  = flag.Bool("smaller", false, "shrink a failing schedule to the faults that make it fail")
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

func testOptions() Options { return Options{Command: []string{os.Args[0]}, SkipGuards: *skipGuards} }

// runScript runs a script. It adds a violation if no valid order explains the lease history.
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
	fmt.Printf("%d of %d after %v: seed %d: %s\n", m.finished, *scheduleCount, elapsed, script.Seed, result)
	if len(result.Violations) > 0 && *shrinkFailing {
		shrunk := Shrink(script, func(s *Script) bool { return len(runScript(t, s).Violations) > 0 })
		for _, fault := range shrunk.Faults {
			fmt.Print(fault.TOML())
		}
	}
}

// TestMixedFaults_EffectsInTokenOrder checks that each node receives effects in the order of their fencing tokens
// under random faults of all kinds. No patch may be lost or applied twice.
func TestMixedFaults_EffectsInTokenOrder(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	runs := &mixedRuns{startedAt: time.Now(), total: Result{Faults: make(map[string]int)}}
	slots := make(chan struct{}, *maxParallel)
	var tasks sync.WaitGroup
	for i := range *scheduleCount {
		slots <- struct{}{}
		tasks.Go(func() {
			defer func() { <-slots }()
			script := Draw(*firstSeed+uint64(i), 3+2*(i%5/4), 5, *scheduleLength)
			script.Lease = *leaseDuration
			runs.add(t, script, runScript(t, script))
		})
	}
	tasks.Wait()
	t.Logf("total: %s (message counts: see each schedule)", &runs.total)
	if runs.total.Effects == 0 || runs.total.Tokens < 2 {
		t.Error("the schedules covered too little: no effects, or no change of the lease holder")
	}
}

// TestRollingUpdate_WithoutFaults checks that, without faults, a rolling update patches each node once and ends.
func TestRollingUpdate_WithoutFaults(t *testing.T) {
	script := &Script{
		Title: "without faults", Seed: 1, Replicas: 3, Nodes: 4,
		Lease: *leaseDuration, Tick: testTick, Length: 3 * time.Second,
		MaxUnavailable: 1, MinCapacity: 3,
	}
	result := runScript(t, script)
	if len(result.Violations) > 0 || result.RollingUpdates == 0 || result.LateEffects > 0 {
		t.Errorf("violations: %v; rolling updates: %d", result.Violations, result.RollingUpdates)
		logRun(t, script, result)
	}
	t.Log(result)
}

// TestScripts_DrawParseAndShrink checks that a seed always draws the same script and that Parse reads the output of
// TOML. Shrink must keep only the faults that matter.
func TestScripts_DrawParseAndShrink(t *testing.T) {
	script, redrawn := Draw(7, 3, 5, time.Minute), Draw(7, 3, 5, time.Minute)
	if fmt.Sprint(script) != fmt.Sprint(redrawn) || len(script.Faults) < 5 {
		t.Errorf("two draws from a seed differ, or have too few faults:\n%v\n%v", script, redrawn)
	}
	text := "council = 3\nnodes = 5\nlength = \"1m\"\n"
	for _, fault := range script.Faults {
		text += fault.TOML()
	}
	parsed, err := Parse([]byte(text))
	if err != nil || fmt.Sprint(parsed.Faults) != fmt.Sprint(script.Faults) {
		t.Errorf("Parse: %v: got %v, want the faults\n%v", err, parsed, script.Faults)
	}
	shrunk := Shrink(script, func(s *Script) bool {
		return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return fault.Kind == FaultKill })
	})
	if len(shrunk.Faults) != 1 {
		t.Errorf("Shrink kept faults that do not matter: %v", shrunk.Faults)
	}
	text = "council = 3\nnodes = 1\nlength = \"1s\"\n[[fault]]\nat = \"0s\"\nkind = \"kill\"\non = [\"n2\"]\n"
	want := `4: fault[0]: unknown process "n2", want one of c1 c2 c3 n1`
	if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
		t.Error(err)
	}
}

// TestRollingUpdate_UnderLoadWhileLeaseHolderIsKilled checks that rolling updates of real nodes under load patch each
// node once, although the lease holder is killed every five seconds. No request may be lost, no booking may be
// executed twice, and enough nodes must stay ready.
func TestRollingUpdate_UnderLoadWhileLeaseHolderIsKilled(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	script := &Script{
		Title: "rolling update under load", Seed: *firstSeed, Replicas: 3, Nodes: *nodeCount,
		Lease: *leaseDuration, Tick: testTick, Length: *scheduleLength, MaxUnavailable: 2,
		MinCapacity: float64(*nodeCount - 2), RequestRate: *requestRate,
	}
	for at := 3 * time.Second; at < *scheduleLength; at += 5 * time.Second {
		script.Faults = append(script.Faults, Fault{
			At: at, Duration: 1500 * time.Millisecond,
			Kind: FaultKill, Targets: []string{leaseHolderName}, Disk: diskSame,
		})
	}
	result := runScript(t, script)
	if len(result.Violations) > 0 || result.RollingUpdates == 0 || result.Tokens < 2 {
		t.Errorf("violations: %v; rolling updates: %d", result.Violations, result.RollingUpdates)
		logRun(t, script, result)
	}
	t.Log(result)
}
