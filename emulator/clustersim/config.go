// Package clustersim simulates a fleet in virtual time. It runs the state machines of the real processes (consensus
// replicas, rolling-update controllers, fenced receivers) on simulated disks, links and clocks, whose faults follow a
// schedule drawn from a seed. The same seed gives the same schedule.
//
// The faults are processes that crash, pause or are partitioned; messages that are lost, delayed or duplicated; and
// clocks that run apart by up to lease.MaxClockDrift, or jump where the configuration says so. HTTP, the file system
// and goroutines are not simulated; package multiprocess runs those for real.
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
	recoveryTimeout       = 90 * time.Second // after the last fault, for the last rolling update to end
	maxDuplicateDelay     = 20 * time.Second
	snapshotReportDelay   = 300 * ms
	administratorInterval = 300 * ms
)

// Config describes the fleet that is simulated and the faults that its schedule may contain.
type Config struct {
	Seed            uint64
	Replicas        int
	Nodes           int // each with an agent and a receiver
	LeaseCandidates int // nodes whose agents may hold leases
	Length          time.Duration
	ClockJumps      bool // clocks jump and run at any rate; of the invariants only the receivers' are checked then
	Guards          lease.UnsafeOptions
	NoSync          bool                  // terms and votes are not synced to the disk by themselves
	Rollouts        bool                  // rollouts are under way, and nodes act under version leases
	VersionLeases   rollout.UnsafeOptions // with Rollouts
	Faults          []FaultKind           // the kinds that are drawn; nil: all
	Trace           func(string)
}
