package main

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"cobaltward/emulator/multiprocess"
	"cobaltward/fleet"
	"cobaltward/fleet/agent"
	"cobaltward/fleet/consensus"
)

const (
	watcherCount   = 1000
	outageDuration = 5 * time.Second
)

// watchers are state watchers in this process. Each of them stands in for an agent.
type watchers struct {
	harness *multiprocess.Harness
	all     []*agent.StateWatcher
}

// measureWatchers measures the time until all watchers have an entry. It measures while the fleet is idle, and right
// after an outage of all replicas, when all watchers reconnect at once.
func measureWatchers(ctx context.Context) error {
	harness, err := start(ctx, 3, 1, 0)
	if err != nil {
		return err
	}
	defer harness.Close()
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	started := startWatchers(ctx, harness, &tasks)
	await(func() bool { return started.reached(1) == watcherCount })
	for range 3 {
		if err := started.measureEntry(ctx, "idle"); err != nil {
			return err
		}
	}
	if err := restartReplicas(ctx, harness); err != nil {
		return err
	}
	return started.measureEntry(ctx, "right after the replicas' return")
}

func startWatchers(ctx context.Context, harness *multiprocess.Harness, tasks *sync.WaitGroup) *watchers {
	started := &watchers{harness: harness, all: make([]*agent.StateWatcher, watcherCount)}
	for i := range started.all {
		client := harness.Client()
		client.AddressOverrides = harness.ProxyAddresses("n1")
		client.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		report := func() consensus.AgentReport { return consensus.AgentReport{Name: fmt.Sprint("f", i)} }
		watcher := agent.NewStateWatcher(client, report, slog.New(slog.DiscardHandler))
		started.all[i] = watcher
		tasks.Go(func() { watcher.Run(ctx) })
	}
	return started
}

// reached returns the number of watchers whose state has reached the given position.
func (w *watchers) reached(position fleet.Position) (count int) {
	for _, watcher := range w.all {
		if state, _ := watcher.State(); state.Position >= position {
			count++
		}
	}
	return count
}

// measureEntry proposes an entry. It measures the time until the entry is applied, and the time until all watchers
// have the entry. condition describes the state of the fleet in the output.
func (w *watchers) measureEntry(ctx context.Context, condition string) error {
	id := fmt.Sprint("hold-", time.Now().UnixNano())
	proposedAt := time.Now()
	if err := disableServer(ctx, w.harness, id); err != nil {
		return err
	}
	applied := time.Since(proposedAt)
	state, _ := w.harness.State(ctx)
	await(func() bool { return w.reached(state.DisableOrders[id].Position) == watcherCount })
	fmt.Printf("%d watchers, %s: an entry applied after %v, known to all after %v\n", watcherCount, condition,
		applied.Round(time.Millisecond), time.Since(proposedAt).Round(time.Millisecond))
	return nil
}

// restartReplicas kills all replicas, restarts them after outageDuration, and waits for a leader.
func restartReplicas(ctx context.Context, harness *multiprocess.Harness) error {
	replicas := []string{"c1", "c2", "c3"}
	for _, name := range replicas {
		harness.Kill(name)
	}
	time.Sleep(outageDuration)
	restartedAt := time.Now()
	for _, name := range replicas {
		if err := harness.Restart(name); err != nil {
			return err
		}
	}
	await(func() bool {
		_, hasLeader := harness.State(ctx)
		return hasLeader
	})
	fmt.Printf("%d watchers, the replicas back after %v: a leader after %v\n", watcherCount, outageDuration,
		time.Since(restartedAt).Round(time.Millisecond))
	return nil
}
