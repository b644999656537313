// Command fleetbench measures a fleet of real processes on loopback. CI does not run it.
//
//	go run ./tools/fleetbench [-only owner,heal,hold,rest,rate,requests,followers] [-rounds 20]
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"cobaltward/emulator/multiprocess"
	"cobaltward/internal/cli"
	"cobaltward/internal/fleetcli"
)

var (
	only   = flag.String("only", "", "measurements to run, separated by commas; all by default")
	rounds = flag.Int("rounds", 20, "samples of each measurement")
)

const (
	leaseDuration  = time.Second
	raftTick       = 50 * time.Millisecond
	awaitTimeout   = time.Minute
	awaitInterval  = 5 * time.Millisecond
	proposeTimeout = 2 * time.Second // timeout of one attempt
)

func main() {
	programs := multiprocess.Programs{
		Node: func() int { return cli.Main(cli.Extensions{}) },
		Fleet: func(hooks multiprocess.FleetHooks) int {
			return fleetcli.Main(fleetcli.TestHooks{
				Clock: hooks.Clock, Storage: hooks.Storage, Unsafe: hooks.Unsafe, ObserveProposal: hooks.ObserveProposal,
			})
		},
	}
	if status, isChild := multiprocess.Child(programs); isChild {
		os.Exit(status)
	}
	flag.Parse()
	for _, measurement := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"owner", measureFailover},
		{"heal", measurePartitionRecovery},
		{"hold", measureDisableOrder},
		{"rest", measureIdle},
		{"rate", measureProposalRate},
		{"followers", measureWatchers},
		{"requests", measureRequests},
	} {
		if *only != "" && !slices.Contains(strings.Split(*only, ","), measurement.name) {
			continue
		}
		if err := measurement.run(context.Background()); err != nil {
			fmt.Fprintf(os.Stderr, "fleetbench: %s: %v\n", measurement.name, err)
			os.Exit(1)
		}
	}
}

// start starts a fleet with the given numbers of replicas and nodes. If requestRate, in requests per second, is above
// 0, the nodes are real node processes.
func start(ctx context.Context, replicas, nodes int, requestRate float64) (*multiprocess.Harness, error) {
	return multiprocess.Start(ctx, &multiprocess.Script{
		Seed: 1, Replicas: replicas, Nodes: nodes, LeaseCandidates: min(nodes, 5), Lease: leaseDuration, Tick: raftTick,
		Length: time.Second, MaxUnavailable: 1, RequestRate: requestRate,
	}, multiprocess.Options{Command: []string{os.Args[0]}})
}

// await waits until the condition is met, but at most for awaitTimeout, and returns the duration of the wait.
func await(condition func() bool) time.Duration {
	startedAt := time.Now()
	for !condition() && time.Since(startedAt) < awaitTimeout {
		time.Sleep(awaitInterval)
	}
	return time.Since(startedAt)
}

// summarize formats the median and the 99th percentile of at least one sample. It sorts the samples.
func summarize(samples []time.Duration) string {
	slices.Sort(samples)
	median, p99 := samples[len(samples)/2], samples[p99Index(len(samples))]
	return fmt.Sprintf("median %v, p99 %v, of %d",
		median.Round(time.Millisecond), p99.Round(time.Millisecond), len(samples))
}

// p99Index returns the index of the 99th percentile in a sorted slice of the given length.
func p99Index(samples int) int { return int(0.99 * float64(samples-1)) }
