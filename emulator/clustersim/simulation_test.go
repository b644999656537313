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

// shardEnv is the environment variable that holds the first seed of a shard. TestManySchedules_NoViolations sets it
// for the processes that it starts.
const shardEnv = "CLUSTERSIM_SHARD"

var (
	scheduleCount    = flag.Int("schedules", 80, "number of schedules")
	firstSeed        = flag.Uint64("seed", 1, "seed of the first schedule")
	replay           = flag.Bool("replay", false, "run one schedule and print its trace")
	replayClockJumps = flag.Bool("lie", false, "with -replay: clocks jump and run at any rate")
	scheduleLength   = flag.Duration("length", 30*time.Second,
		"length of a schedule; from 11m on, some processes are paused for 10 minutes")
	withRollouts          = flag.Bool("versions", false, "run rollouts, with nodes that act under version leases")
	disabledSafeguardFlag = flag.String("without", "",
		"safeguard to disable: token, wait, asking, sync, before, right, behind, clear")
)

func configFor(seed uint64, disabledSafeguard string, clockJumps bool) Config {
	cfg := Config{
		Seed: seed, Replicas: 3 + 2*int(seed%4/3), Nodes: 4, LeaseCandidates: 3, Length: *scheduleLength,
		ClockJumps: clockJumps, Faults: faultsBySafeguard[disabledSafeguard],
	}
	switch disabledSafeguard {
	case "token":
		cfg.Unsafe.SkipFencing = true
	case "wait":
		cfg.Unsafe.SkipExpiryDelay = true
	case "asking":
		cfg.Unsafe.CountFromResponse = true
	case "sync":
		cfg.NoSync = true
	case "before":
		cfg.Unsafe.RecordIntentLate = true
	case "right":
		cfg.Rollouts, cfg.UnsafeRollouts.CountFromResponse = true, true
	case "behind":
		cfg.Rollouts, cfg.UnsafeRollouts.GrantAnyVersion = true, true
	case "clear":
		cfg.Rollouts, cfg.UnsafeRollouts.SkipRetirementDelay = true, true
	}
	if *withRollouts {
		cfg.Rollouts = true
	}
	return cfg
}

// faultsBySafeguard maps each safeguard to the faults against which it protects. A run without the safeguard draws
// only these faults. Few schedules are then enough to break an invariant.
var faultsBySafeguard = map[string][]FaultKind{
	"token":  {faultCrashAlias, faultCrashAlias, FaultDuplicates, FaultPause},
	"asking": {FaultDelayedCandidate},
	"right":  {FaultDelayedNode},
	"sync":   {FaultBridgingVoter},
}

// runSchedules runs schedules until one breaks an invariant. failedSeed is the seed of that schedule, or 0 if no
// schedule breaks an invariant.
func runSchedules(from uint64, count int, disabledSafeguard string, clockJumps bool) (total Result, failedSeed uint64) {
	for seed := from; seed < from+uint64(count); seed++ {
		result := Run(configFor(seed, disabledSafeguard, clockJumps))
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

// TestSchedules_NoViolations checks that schedules with all kinds of faults break no invariant. With clock jumps,
// receivers must still reject effects of an old lease holder after effects of a newer holder. No patch may be applied
// twice.
func TestSchedules_NoViolations(t *testing.T) {
	if *replay {
		cfg := configFor(*firstSeed, *disabledSafeguardFlag, *replayClockJumps)
		cfg.Trace = func(line string) { fmt.Println(line) }
		result := Run(cfg)
		fmt.Println(result, result.Violations)
		return
	}
	for _, clockJumps := range []bool{false, true} {
		result, failed := runSchedules(*firstSeed, *scheduleCount/2, *disabledSafeguardFlag, clockJumps)
		if failed != 0 {
			t.Errorf("clock jumps %v: %v; replay with -replay -seed %d -lie=%v",
				clockJumps, result.Violations, failed, clockJumps)
		}
		if result.Tokens < 2**scheduleCount/2 || result.LongPauses == 0 || result.RollingUpdates == 0 ||
			result.Rejected == 0 && *scheduleCount > 200 {
			t.Errorf("the schedules covered too little: %v", result)
		}
		t.Logf("clock jumps %v: %v", clockJumps, result)
	}
}

// TestGuards_ViolationWithoutEach checks that each safeguard is needed. Without the safeguard, some schedule must
// break the invariant that the safeguard protects.
func TestGuards_ViolationWithoutEach(t *testing.T) {
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
		result, failed := runSchedules(test.from, test.count, test.without, test.clockJumps)
		if failed == 0 {
			t.Errorf("without %s: %d schedules broke no invariant: %v", test.without, test.count, result)
			continue
		}
		if !strings.Contains(result.Violations[0], test.violation) {
			t.Errorf("without %s: broke another invariant than expected: %v", test.without, result.Violations)
		}
		t.Logf("without %s: seed %d: %s", test.without, failed, result.Violations[0])
	}
}

// TestVersions_AtMostTwoActive checks that rollouts make progress during all faults while nodes act on at most two
// versions at a time. Without a safeguard, some schedule must have more than two active versions.
func TestVersions_AtMostTwoActive(t *testing.T) {
	var total Result
	for seed := *firstSeed; seed < *firstSeed+uint64(*scheduleCount/4); seed++ {
		cfg := configFor(seed, "", false)
		cfg.Rollouts = true
		result := Run(cfg)
		total.Add(result)
		if len(result.Violations) > 0 {
			t.Fatalf("%v; replay with -replay -versions -seed %d", result.Violations, seed)
		}
	}
	if total.Decisions == 0 || total.Rollouts < *scheduleCount/4 {
		t.Errorf("the schedules covered too little: %v", total)
	}
	t.Log(total)
	// Each search starts shortly before a seed that breaks the invariant.
	for without, from := range map[string]uint64{"right": 58, "behind": 12, "clear": 9} {
		result, failed := runSchedules(from, 1000, without, false)
		if failed == 0 || !strings.Contains(result.Violations[0], "versions are active") {
			t.Errorf("without %s: no schedule with too many active versions: %v", without, result)
			continue
		}
		t.Logf("without %s: seed %d: %s", without, failed, result.Violations[0])
	}
}

func TestReplay_SameSeedGivesSameTrace(t *testing.T) {
	for seed := uint64(1); seed < 4; seed++ {
		var firstTrace, secondTrace strings.Builder
		for _, out := range []*strings.Builder{&firstTrace, &secondTrace} {
			cfg := configFor(seed, "", false)
			cfg.Trace = func(line string) { fmt.Fprintln(out, line) }
			Run(cfg)
		}
		if firstTrace.String() != secondTrace.String() || firstTrace.Len() < 100 {
			t.Errorf("seed %d: two traces differ, or are too short:\n%s\n%s", seed, firstTrace.String(), secondTrace.String())
		}
	}
}

// TestManySchedules_NoViolations runs many schedules, in one process per core, and prints the progress:
//
//	go test ./emulator/clustersim -run TestManySchedules_NoViolations -schedules 100000 -timeout 2h -v
func TestManySchedules_NoViolations(t *testing.T) {
	if *scheduleCount < 1000 {
		t.Skip("a long run: needs -schedules 1000 or more")
	}
	if shard := os.Getenv(shardEnv); shard != "" {
		runShard(t, shard)
		return
	}
	shards := runtime.NumCPU()
	done := make(chan error, shards)
	for i := range shards {
		cmd := exec.Command(os.Args[0], "-test.run", "TestMany", "-test.timeout", "3h",
			"-schedules", strconv.Itoa(*scheduleCount/shards), "-without", *disabledSafeguardFlag,
			"-length", scheduleLength.String())
		from := *firstSeed + uint64(i**scheduleCount/shards)
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

// runShard runs the schedules of one process of TestManySchedules_NoViolations. Clocks jump in every third batch.
func runShard(t *testing.T, shard string) {
	t.Helper()
	from, err := strconv.ParseUint(shard, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", shardEnv, err)
	}
	for i, batch := 0, 200; i < *scheduleCount; i += batch {
		clockJumps := (i/batch)%3 == 2
		result, failed := runSchedules(from+uint64(i), min(batch, *scheduleCount-i), *disabledSafeguardFlag, clockJumps)
		fmt.Printf("shard %d: %d of %d: %v %v\n", from, i+batch, *scheduleCount, result, result.Violations)
		if failed != 0 {
			t.Errorf("seed %d, clock jumps %v: %v", failed, clockJumps, result.Violations)
		}
	}
}
