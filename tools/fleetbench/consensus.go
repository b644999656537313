package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/emulator/multiprocess"
	"cobaltward/fleet"
	"cobaltward/fleet/agent"
)

const (
	partitionDuration   = 3 * time.Second
	idleSettleTime      = 2 * time.Second
	idleSampleTime      = 10 * time.Second
	rateSampleTime      = 5 * time.Second
	concurrentProposals = 64
)

var errNotAccepted = errors.New("no replica accepted the entry")

// propose sends an entry to the replicas, one after the other, until a replica reports the outcome of the entry. An
// entry that exists already counts as applied.
func propose(ctx context.Context, harness *multiprocess.Harness, entry fleet.Entry) error {
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(2 * awaitInterval) {
		attemptCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		client := harness.Client()
		for range client.Replicas {
			result, err := client.Propose(attemptCtx, entry)
			if err != nil {
				continue
			}
			cancel()
			if errors.Is(result.Err, fleet.ErrAlreadyExists) {
				return nil
			}
			return result.Err
		}
		cancel()
	}
	return fmt.Errorf("propose %s for %v: %w", entry.Kind, awaitTimeout, errNotAccepted)
}

// disableServer proposes an order that disables a server at all nodes. The order's ID is the server's ID.
func disableServer(ctx context.Context, harness *multiprocess.Harness, id string) error {
	order := &fleet.DisableOrder{ID: id, Servers: []string{id}, Until: time.Now().Add(time.Minute)}
	return propose(ctx, harness, fleet.Entry{Kind: fleet.KindDisableServers, DisableOrder: order})
}

// measureFailover measures the time from killing or pausing the lease holder until another process holds the lease.
func measureFailover(ctx context.Context) error {
	harness, err := start(ctx, 3, 5, 0)
	if err != nil {
		return err
	}
	defer harness.Close()
	for _, fault := range []string{"killed", "paused"} {
		var samples []time.Duration
		for range *rounds {
			sample, err := failOver(ctx, harness, fault)
			if err != nil {
				return err
			}
			samples = append(samples, sample)
			time.Sleep(leaseDuration / 2)
		}
		fmt.Printf("no lease holder after it is %s (lease %v): %s\n", fault, leaseDuration, summarize(samples))
	}
	return nil
}

// failOver kills or pauses the lease holder, waits until another process holds the lease, and restarts or resumes the
// first holder. fault is "killed" or "paused". failOver returns the duration of the wait.
func failOver(ctx context.Context, harness *multiprocess.Harness, fault string) (time.Duration, error) {
	holder := func() (string, fleet.FencingToken) {
		state, _ := harness.State(ctx)
		if state == nil {
			return "", 0
		}
		lease := state.Leases[fleet.ResourceRollingUpdate]
		name, _, _ := strings.Cut(lease.Holder, "/")
		return name, lease.FencingToken
	}
	await(func() bool {
		_, token := holder()
		return token != 0
	})
	name, token := holder()
	if fault == "killed" {
		harness.Kill(name)
	} else {
		harness.Signal(name, syscall.SIGSTOP)
	}
	elapsed := await(func() bool {
		newName, newToken := holder()
		return newName != name && newToken > token
	})
	if fault == "killed" {
		return elapsed, harness.Restart(name)
	}
	harness.Signal(name, syscall.SIGCONT)
	return elapsed, nil
}

// measurePartitionRecovery measures the time from the end of a partition until a disable order has reached all nodes.
// The order is proposed at the end of the partition.
func measurePartitionRecovery(ctx context.Context) error {
	harness, err := start(ctx, 5, 6, 0)
	if err != nil {
		return err
	}
	defer harness.Close()
	var samples []time.Duration
	for i := range *rounds {
		harness.InjectLinkFault(1, multiprocess.Fault{
			Kind: multiprocess.FaultPartition, Targets: []string{"c1", "c2", "n1", "n2", "n3"},
		})
		time.Sleep(partitionDuration)
		harness.LiftLinkFault(1)
		liftedAt := time.Now()
		id := fmt.Sprint("h", i)
		if err := disableServer(ctx, harness, id); err != nil {
			return err
		}
		await(func() bool { return harness.NodesDisabling(id) == 6 })
		samples = append(samples, time.Since(liftedAt))
		lift := fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: &fleet.DisableOrder{ID: id}}
		if err := propose(ctx, harness, lift); err != nil {
			return err
		}
	}
	fmt.Printf("from the end of a partition of 2 replicas and 3 of 6 nodes "+
		"until a disable order proposed at that time has reached all nodes: %s\n", summarize(samples))
	return nil
}

// measureDisableOrder measures the time from proposing a disable order until all nodes have disabled the server.
func measureDisableOrder(ctx context.Context) error {
	for _, nodes := range []int{3, 30} {
		samples, err := sampleDisableOrder(ctx, nodes)
		if err != nil {
			return err
		}
		fmt.Printf("a server disabled at %d nodes: %s\n", nodes, summarize(samples))
	}
	return nil
}

func sampleDisableOrder(ctx context.Context, nodes int) ([]time.Duration, error) {
	harness, err := start(ctx, 3, nodes, 0)
	if err != nil {
		return nil, err
	}
	defer harness.Close()
	var samples []time.Duration
	for i := range *rounds {
		id := fmt.Sprint("s", i)
		orderedAt := time.Now()
		if err := disableServer(ctx, harness, id); err != nil {
			return nil, err
		}
		await(func() bool { return harness.NodesDisabling(id) == nodes })
		samples = append(samples, time.Since(orderedAt))
	}
	return samples, nil
}

// measureIdle measures the messages, the memory and the CPU time of idle fleets.
func measureIdle(ctx context.Context) error {
	for _, nodes := range []int{3, 12, 27} {
		if err := measureIdleFleet(ctx, nodes); err != nil {
			return err
		}
	}
	return nil
}

func measureIdleFleet(ctx context.Context, nodes int) error {
	harness, err := start(ctx, 3, nodes, 0)
	if err != nil {
		return err
	}
	defer harness.Close()
	time.Sleep(idleSettleTime)
	sampled := []string{"c1", "c2", "n1", "n3"}
	requests, bytes := harness.Messages.Requests.Load(), harness.Messages.Bytes.Load()
	before := make(map[string]multiprocess.Usage)
	for _, name := range sampled {
		if before[name], err = harness.Usage(name); err != nil {
			return err
		}
	}
	time.Sleep(idleSampleTime)
	perSecond := func(count int64) float64 { return float64(count) / idleSampleTime.Seconds() }
	fmt.Printf("idle, 3 replicas and %d nodes: %.0f messages/s and %.1f KB/s", nodes,
		perSecond(harness.Messages.Requests.Load()-requests), perSecond(harness.Messages.Bytes.Load()-bytes)/1e3)
	for _, name := range sampled {
		usage, err := harness.Usage(name)
		if err != nil {
			return err
		}
		cpu := (usage.CPU - before[name].CPU).Seconds() / idleSampleTime.Seconds()
		fmt.Printf("; %s %.1f MB (%.1f anonymous), %.1f%% of a core", name, float64(usage.Resident)/1e6,
			float64(usage.Anonymous)/1e6, 100*cpu)
	}
	fmt.Println()
	return nil
}

// measureProposalRate measures how many entries per second a cluster applies while clients propose concurrently.
func measureProposalRate(ctx context.Context) error {
	harness, err := start(ctx, 3, 1, 0)
	if err != nil {
		return err
	}
	defer harness.Close()
	var applied atomic.Int64
	var proposers sync.WaitGroup
	client := harness.Client()
	end := time.Now().Add(rateSampleTime)
	for i := range concurrentProposals {
		proposers.Go(func() {
			for time.Now().Before(end) {
				attemptCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
				if proposeRegistration(attemptCtx, client, i) == nil {
					applied.Add(1)
				}
				cancel()
			}
		})
	}
	proposers.Wait()
	fmt.Printf("entries per second, 3 replicas, %d proposed at a time, each synced by two: %.0f\n",
		concurrentProposals, float64(applied.Load())/rateSampleTime.Seconds())
	return nil
}

// proposeRegistration makes one attempt to register a node that does not exist.
func proposeRegistration(ctx context.Context, client *agent.Client, number int) error {
	registered := fleet.Node{Name: fmt.Sprint("x", number), Address: "127.0.0.1:1", Incarnation: "r"}
	_, err := client.Propose(ctx, fleet.Entry{Kind: fleet.KindRegisterNode, Node: &registered})
	return err
}
