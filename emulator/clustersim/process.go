package clustersim

import (
	"fmt"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollingupdate"
	"cobaltward/fleet/rollout"
)

// process is a consensus replica or the agent of a node.
type process struct {
	sim         *simulation
	name        string
	index       int
	up          bool
	incarnation int
	pausedUntil time.Duration // 0: not paused
	extraDelay  time.Duration // delay added to the latency of messages to the process
	clockRate   float64
	clockOffset time.Duration

	// Fields of a replica.
	core             *consensus.Core
	disk             disk
	pendingProposals map[uint64]func(fleet.Result)
	pendingReads     map[uint64]func()
	retirement       rollout.RetirementTracker

	// Fields of an agent.
	state             *fleet.State
	controller        *rollingupdate.Controller // nil: not a lease candidate
	receiver          *lease.FencedReceiver
	receiverDisk      []byte        // stored state of the receiver
	staleReceiverDisk []byte        // an earlier copy of receiverDisk
	versions          *versionAgent // nil without Config.Rollouts
	node              *node
}

// node is the router node that an agent controls. It keeps running when the agent crashes.
type node struct {
	name         string
	drained      bool
	highestToken fleet.FencingToken
	patches      map[string]int // number of times each patch was applied, by idempotency key
}

// monotonic returns the time of the process's own clock.
func (p *process) monotonic() time.Duration {
	return time.Duration(float64(p.sim.now)*p.clockRate) + p.clockOffset
}

func (p *process) start() {
	p.up, p.pausedUntil = true, 0
	p.incarnation++
	if p.node == nil {
		p.startReplica()
	} else {
		p.startAgent()
	}
}

func (p *process) startReplica() {
	sim := p.sim
	core, err := consensus.NewCore(p.disk.synced, sim.cfg.Unsafe, entriesPerSnapshot, p.monotonic(),
		consensus.DiscardLogger)
	if err != nil {
		panic(err) // Run recovers and reports a violation
	}
	p.core = core
	p.pendingProposals = make(map[uint64]func(fleet.Result))
	p.pendingReads = make(map[uint64]func())
	p.retirement = rollout.RetirementTracker{LeaseDuration: versionLeaseDuration, Unsafe: sim.cfg.UnsafeRollouts}
	p.repeat(raftTick, func() {
		p.core.Tick(p.monotonic(), time.Unix(0, 0).Add(sim.now))
		p.processReady()
	})
}

func (p *process) startAgent() {
	sim := p.sim
	p.state = fleet.NewState(0)
	var saved lease.ReceiverState
	if p.receiverDisk != nil {
		decodeReceiver(p.receiverDisk, &saved)
	}
	p.receiver = lease.Restore(saved, p.name, fmt.Sprint(p.incarnation), sim.cfg.Unsafe)
	p.repeat(statePollInterval, p.pollState)
	if sim.cfg.Rollouts {
		p.startVersionAgent()
	}
	if p.isLeaseCandidate() {
		p.controller = rollingupdate.NewController(fleet.JobRollingUpdate, p.identity(), p.name, leaseDuration,
			sim.cfg.Unsafe)
		p.repeat(controllerInterval, p.runController)
	}
}

// isLeaseCandidate reports whether the agent may hold leases.
func (p *process) isLeaseCandidate() bool {
	return p.index-p.sim.cfg.Replicas < p.sim.cfg.LeaseCandidates
}

// identity returns the name under which this incarnation of the process holds leases.
func (p *process) identity() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// repeat calls run at an interval of the process's own clock until the process's incarnation changes.
func (p *process) repeat(interval time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		p.sim.after(time.Duration(float64(interval)/p.clockRate), p, next)
	}
	p.sim.after(p.sim.randomBetween(0, interval), p, next)
}

// crash ends the process. Data that its disk has not synced is lost.
func (p *process) crash() {
	if !p.up {
		return
	}
	p.up = false
	p.incarnation++
	p.disk.unsynced = nil
	p.sim.result.Crashes++
	p.sim.trace("%s crashes", p.name)
}
