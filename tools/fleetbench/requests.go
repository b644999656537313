package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"cobaltward/emulator/multiprocess"
)

const (
	trafficWarmUpTime = 2 * time.Second
	stateSettleTime   = 500 * time.Millisecond
	latencySampleTime = 4 * time.Second
	recoveryTime      = 2 * time.Second
	floodProposers    = 16
)

// States of the replicas in which requests are measured.
const (
	replicasRunning = "work"
	replicasPaused  = "are paused"
	replicasDown    = "are down"
	replicasFlooded = "are flooded"
)

var replicaNames = []string{"c1", "c2", "c3"}

// measureRequests measures the latencies of requests to nodes in each state of the replicas: running, paused, down,
// and flooded with proposals.
func measureRequests(ctx context.Context) error {
	harness, err := start(ctx, 3, 3, 600)
	if err != nil {
		return err
	}
	defer harness.Close()
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { harness.SendTraffic(ctx) })
	time.Sleep(trafficWarmUpTime)
	harness.Latencies()
	p99 := make(map[string][]float64) // by state, in milliseconds
	states := []string{replicasRunning, replicasPaused, replicasDown, replicasFlooded}
	for range max(3, *rounds/4) {
		for _, state := range states {
			sample, err := sampleLatency(ctx, harness, state)
			if err != nil {
				return err
			}
			p99[state] = append(p99[state], sample)
		}
	}
	baseline := median(p99[replicasRunning])
	for _, state := range states {
		medianP99 := median(p99[state])
		fmt.Printf("p99 of requests while the replicas %s: %.1f ms, %.2f of that while they work\n",
			state, medianP99, medianP99/baseline)
	}
	return nil
}

func median(samples []float64) float64 {
	slices.Sort(samples)
	return samples[len(samples)/2]
}

// sampleLatency puts the replicas into the given state, returns the 99th percentile of the request latencies in
// milliseconds, and lets the replicas recover.
func sampleLatency(ctx context.Context, harness *multiprocess.Harness, state string) (float64, error) {
	floodCtx, stopFlood := context.WithCancel(ctx)
	defer stopFlood()
	stopReplicas(harness, state)
	var flood sync.WaitGroup
	if state == replicasFlooded {
		startFlood(floodCtx, harness, &flood)
	}
	time.Sleep(stateSettleTime)
	harness.Latencies()
	time.Sleep(latencySampleTime)
	latencies := harness.Latencies()
	stopFlood()
	if err := resumeReplicas(harness, state); err != nil {
		return 0, err
	}
	time.Sleep(recoveryTime)
	flood.Wait()
	return latencies[p99Index(len(latencies))].Seconds() * 1e3, nil
}

func stopReplicas(harness *multiprocess.Harness, state string) {
	for _, name := range replicaNames {
		switch state {
		case replicasPaused:
			harness.Signal(name, syscall.SIGSTOP)
		case replicasDown:
			harness.Kill(name)
		}
	}
}

func resumeReplicas(harness *multiprocess.Harness, state string) error {
	for _, name := range replicaNames {
		switch state {
		case replicasPaused:
			harness.Signal(name, syscall.SIGCONT)
		case replicasDown:
			if err := harness.Restart(name); err != nil {
				return err
			}
		}
	}
	return nil
}

// startFlood starts tasks that propose entries without a pause until ctx ends.
func startFlood(ctx context.Context, harness *multiprocess.Harness, tasks *sync.WaitGroup) {
	client := harness.Client()
	for i := range floodProposers {
		tasks.Go(func() {
			for ctx.Err() == nil {
				_ = proposeRegistration(ctx, client, i) // the outcome is ignored: only the load matters
			}
		})
	}
}
