// Package clustersim simulates a fleet in virtual time. It runs the state machines of the real processes: consensus
// replicas, rolling-update controllers and fenced receivers. Their disks, links and clocks are simulated, and faults
// follow a schedule drawn from a seed. The same seed gives the same schedule.
//
// Processes crash, pause or are partitioned. Messages are lost, delayed or duplicated. Clocks drift apart by up to
// lease.MaxClockDrift; with Config.ClockJumps they jump or run at wrong rates. HTTP, the file system and goroutines
// are not simulated; package multiprocess tests them with real processes.
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
	recoveryTimeout       = 90 * time.Second // maximum time from the last fault to the end of the last rolling update
	maxDuplicateDelay     = 20 * time.Second
	snapshotReportDelay   = 300 * ms
	administratorInterval = 300 * ms
)

// Config describes the simulated fleet and the faults that its schedule may contain.
type Config struct {
	Seed            uint64
	Replicas        int
	Nodes           int // number of nodes, each with an agent and a receiver
	LeaseCandidates int // number of nodes whose agents may hold leases
	Length          time.Duration
	ClockJumps      bool                  // lets clocks jump and run at wrong rates; skips checks of leases and versions
	Unsafe          lease.UnsafeOptions   // safeguards of leases to disable
	NoSync          bool                  // makes disks sync terms and votes only together with entries or snapshots
	Rollouts        bool                  // adds rollouts; nodes then act under version leases
	UnsafeRollouts  rollout.UnsafeOptions // safeguards of version leases to disable; used only with Rollouts
	Faults          []FaultKind           // kinds of faults to draw; nil: all kinds
	Trace           func(string)          // called with each line of the trace; nil: no trace
}
