// Package clustersim simulates a fleet in virtual time. It runs the state machines of the real processes (consensus
// replicas, rolling-update controllers, fenced receivers) on simulated disks, links and clocks, whose faults follow a
// schedule drawn from a seed. The same seed gives the same schedule.
//
// Processes crash, pause or are partitioned. Messages are lost, delayed or duplicated. Clocks drift apart by up to
// lease.MaxClockDrift, or jump with Config.ClockJumps. HTTP, the file system and goroutines are not simulated;
// package multiprocess tests them with real processes.
package clustersim

import (
	"time"

	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollout"
)

const (
	ms                    = time.Millisecond
	raftTick              = 100 * ms
	leaseDuration         = 4 * time.Second
	statePollInterval     = 250 * ms
	controllerInterval    = 100 * ms
	entriesPerSnapshot    = 40
	recoveryTimeout       = 90 * time.Second // from the last fault until the last rolling update has to end
	maxDuplicateDelay     = 20 * time.Second
	snapshotReportDelay   = 300 * ms
	administratorInterval = 300 * ms
)

// Config describes the simulated fleet and the faults that its schedule may contain.
type Config struct {
	Seed            uint64
	Replicas        int
	Nodes           int // each with an agent and a receiver
	LeaseCandidates int // number of nodes whose agents may hold leases
	Length          time.Duration
	ClockJumps      bool                  // clocks jump and run at any rate; only the invariants of receivers are checked
	Unsafe          lease.UnsafeOptions   // disabled safeguards of leases
	NoSync          bool                  // terms and votes are synced only together with entries or snapshots
	Rollouts        bool                  // rollouts run, and nodes act under version leases
	UnsafeRollouts  rollout.UnsafeOptions // disabled safeguards of version leases, with Rollouts
	Faults          []FaultKind           // the kinds of faults to draw; nil: all
	Trace           func(string)          // called with each line of the trace; nil: no trace
}
