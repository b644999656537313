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

// shardEnv holds the first seed of a shard, in the processes that TestMany starts.
const shardEnv = "CLUSTERSIM_SHARD"

var (
	schedules = flag.Int("schedules", 80, "schedules to run")
	first     = flag.Uint64("seed", 1, "the first schedule's seed")
	replay    = flag.Bool("replay", false, "run one schedule, and print what happens")
	lie       = flag.Bool("lie", false, "with -replay: clocks jump and run at any rate")
	length    = flag.Duration("length", 30*time.Second,
		"length of a schedule; from 11m on, some processes are paused for 10 minutes")
	versions = flag.Bool("versions", false, "with rollouts, and nodes that act under version leases")
	without  = flag.String("without", "", "a guard to take away: token, wait, asking, sync, before, right, behind, clear")
)

func configFor(seed uint64, without string, clockJumps bool) Config {
	cfg := Config{
		Seed: seed, Replicas: 3 + 2*int(seed%4/3), Nodes: 4, LeaseCandidates: 3, Length: *length,
		ClockJumps: clockJumps, Faults: faultsWithout[without],
	}
	switch without {
	case "token":
		cfg.Guards.SkipFencing = true
	case "wait":
		cfg.Guards.SkipExpiryDelay = true
	case "asking":
		cfg.Guards.CountFromResponse = true
	case "sync":
		cfg.NoSync = true
	case "before":
		cfg.Guards.RecordIntentLate = true
	case "right":
		cfg.Rollouts, cfg.VersionLeases.CountFromResponse = true, true
	case "behind":
		cfg.Rollouts, cfg.VersionLeases.GrantAnyVersion = true, true
	case "clear":
		cfg.Rollouts, cfg.VersionLeases.SkipRetirementDelay = true, true
	}
	if *versions {
		cfg.Rollouts = true
	}
	return cfg
}

// faultsWithout are the faults that a guard protects from. Without the guard only these are drawn, so that few
// schedules suffice to break an invariant.
var faultsWithout = map[string][]FaultKind{
	"token":  {faultCrashTwin, faultCrashTwin, FaultDuplicates, FaultPause},
	"asking": {FaultDelayedCandidate},
	"right":  {FaultDelayedNode},
	"sync":   {FaultBridgingVoter},
}

// runMany runs schedules until one breaks an invariant, and returns its seed; 0 where none does.
func runMany(from uint64, count int, without string, clockJumps bool) (total Result, failedSeed uint64) {
	for seed := from; seed < from+uint64(count); seed++ {
		result := Run(configFor(seed, without, clockJumps))
		total.Add(result)
		if len(result.Violations) > 0 {
			return total, seed
		}
	}
	return total, 0
}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// Schedules of all faults break no invariant. Where clocks jump, receivers still reject effects of an old lease
// holder after those of a newer one, and nothing is applied twice.
func TestSchedules(t *testing.T) {
	if *replay {
		cfg := configFor(*first, *without, *lie)
		cfg.Trace = func(line string) { fmt.Println(line) }
		result := Run(cfg)
		fmt.Println(result, result.Violations)
		return
	}
	for _, clockJumps := range []bool{false, true} {
		result, failed := runMany(*first, *schedules/2, *without, clockJumps)
		if failed != 0 {
			t.Errorf("clock jumps %v: %v; replay with -replay -seed %d -lie=%v",
				clockJumps, result.Violations, failed, clockJumps)
		}
		if result.Tokens < 2**schedules/2 || result.LongPauses == 0 || result.RollingUpdates == 0 ||
			result.Rejected == 0 && *schedules > 200 {
			t.Errorf("too little happened: %v", result)
		}
		t.Logf("clock jumps %v: %v", clockJumps, result)
	}
}

// Without a guard some schedule breaks the invariant that the guard protects.
func TestGuards(t *testing.T) {
	for _, test := range []struct {
		without, violation string
		from               uint64
		count              int
		clockJumps         bool
	}{
		{"token", "drained at once", 53, 3000, true},
		{"wait", "two lease holders", 1, 3000, false},
		{"asking", "two lease holders", 25, 3000, false},
		{"sync", "", 23, 3000, false},
		{"before", "drained at once", 1, 3000, false},
	} {
		result, failed := runMany(test.from, test.count, test.without, test.clockJumps)
		if failed == 0 {
			t.Errorf("without %s: %d schedules broke nothing: %v", test.without, test.count, result)
			continue
		}
		if !strings.Contains(result.Violations[0], test.violation) {
			t.Errorf("without %s another invariant broke: %v", test.without, result.Violations)
		}
		t.Logf("without %s: seed %d: %s", test.without, failed, result.Violations[0])
	}
}

// Rollouts continue during all faults, and nodes never act on more than two versions. Without a guard they do.
func TestVersions(t *testing.T) {
	var total Result
	for seed := *first; seed < *first+uint64(*schedules/4); seed++ {
		cfg := configFor(seed, "", false)
		cfg.Rollouts = true
		result := Run(cfg)
		total.Add(result)
		if len(result.Violations) > 0 {
			t.Fatalf("%v; replay with -replay -versions -seed %d", result.Violations, seed)
		}
	}
	if total.Decisions == 0 || total.Rollouts < *schedules/4 {
		t.Errorf("too little happened: %v", total)
	}
	t.Log(total)
	// Each search starts shortly before a seed whose schedule breaks the invariant.
	for without, from := range map[string]uint64{"right": 58, "behind": 12, "clear": 9} {
		result, failed := runMany(from, 1000, without, false)
		if failed == 0 || !strings.Contains(result.Violations[0], "versions are active") {
			t.Errorf("without %s: %v", without, result)
			continue
		}
		t.Logf("without %s: seed %d: %s", without, failed, result.Violations[0])
	}
}

func TestReplay_SameSeedGivesSameTrace(t *testing.T) {
	for seed := uint64(1); seed < 4; seed++ {
		var once, again strings.Builder
		for _, out := range []*strings.Builder{&once, &again} {
			cfg := configFor(seed, "", false)
			cfg.Trace = func(line string) { fmt.Fprintln(out, line) }
			Run(cfg)
		}
		if once.String() != again.String() || once.Len() < 100 {
			t.Errorf("seed %d: two traces differ, or are short:\n%s\n%s", seed, once.String(), again.String())
		}
	}
}

// TestMany runs many schedules on all cores, in one process per core, and prints its progress:
//
//	go test ./emulator/clustersim -run TestMany -schedules 100000 -timeout 2h -v
func TestMany(t *testing.T) {
	if *schedules < 1000 {
		t.Skip("a measurement: -schedules 1000 or more")
	}
	if shard := os.Getenv(shardEnv); shard != "" {
		runShard(t, shard)
		return
	}
	shards := runtime.NumCPU()
	done := make(chan error, shards)
	for i := range shards {
		cmd := exec.Command(os.Args[0], "-test.run", "TestMany", "-test.timeout", "3h",
			"-schedules", strconv.Itoa(*schedules/shards), "-without", *without, "-length", length.String())
		from := *first + uint64(i**schedules/shards)
		cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", shardEnv, from), "GOMAXPROCS=1")
		cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
		go func() { done <- cmd.Run() }()
	}
	for range shards {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

// runShard runs the schedules of one process of TestMany. In every third batch, clocks jump.
func runShard(t *testing.T, shard string) {
	t.Helper()
	from, err := strconv.ParseUint(shard, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", shardEnv, err)
	}
	for i, batch := 0, 200; i < *schedules; i += batch {
		clockJumps := (i/batch)%3 == 2
		result, failed := runMany(from+uint64(i), min(batch, *schedules-i), *without, clockJumps)
		fmt.Printf("shard %d: %d of %d: %v %v\n", from, i+batch, *schedules, result, result.Violations)
		if failed != 0 {
			t.Errorf("seed %d, clock jumps %v: %v", failed, clockJumps, result.Violations)
		}
	}
}
