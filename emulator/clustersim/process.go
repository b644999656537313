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
	world       *world
	name        string
	index       int
	up          bool
	incarnation int
	pausedUntil time.Duration // 0: not paused
	extraDelay  time.Duration // of messages to the process
	clockRate   float64
	clockOffset time.Duration

	// Of a replica.
	core             *consensus.Core
	disk             disk
	pendingProposals map[uint64]func(fleet.Result)
	pendingReads     map[uint64]func()
	retirement       rollout.RetirementTracker

	// Of an agent.
	state             *fleet.State
	controller        *rollingupdate.Controller // nil: not a lease candidate
	receiver          *lease.FencedReceiver
	receiverDisk      []byte        // the receiver's encoded state
	staleReceiverDisk []byte        // an earlier copy of it
	versions          *versionAgent // with Config.Rollouts
	node              *node
}

// node is the router node that an agent drives. It outlives the agent.
type node struct {
	name         string
	drained      bool
	highestToken fleet.FencingToken
	patches      map[string]int // by idempotency key
}

// monotonic reads the process's own clock.
func (p *process) monotonic() time.Duration {
	return time.Duration(float64(p.world.now)*p.clockRate) + p.clockOffset
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
	w := p.world
	core, err := consensus.NewCore(p.disk.synced, w.cfg.Guards, entriesPerSnapshot, p.monotonic(),
		consensus.DiscardLogger)
	if err != nil {
		panic(err) // recovered in Run, as a violation
	}
	p.core = core
	p.pendingProposals = make(map[uint64]func(fleet.Result))
	p.pendingReads = make(map[uint64]func())
	p.retirement = rollout.RetirementTracker{LeaseDuration: versionLeaseDuration, Unsafe: w.cfg.VersionLeases}
	p.repeat(raftTick, func() {
		p.core.Tick(p.monotonic(), time.Unix(0, 0).Add(w.now))
		p.processReady()
	})
}

func (p *process) startAgent() {
	w := p.world
	p.state = fleet.NewState(0)
	var saved lease.ReceiverState
	if p.receiverDisk != nil {
		decodeReceiver(p.receiverDisk, &saved)
	}
	p.receiver = lease.Restore(saved, p.name, fmt.Sprint(p.incarnation), w.cfg.Guards)
	p.repeat(statePollInterval, p.pollState)
	if w.cfg.Rollouts {
		p.startVersionAgent()
	}
	if p.isLeaseCandidate() {
		p.controller = rollingupdate.NewController(fleet.JobRollingUpdate, p.identity(), p.name, leaseDuration,
			w.cfg.Guards)
		p.repeat(controllerInterval, p.runController)
	}
}

// isLeaseCandidate reports whether the agent may hold leases.
func (p *process) isLeaseCandidate() bool {
	return p.index-p.world.cfg.Replicas < p.world.cfg.LeaseCandidates
}

// identity names the process and its incarnation, as a holder of leases.
func (p *process) identity() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// repeat runs a function at an interval of the process's own clock, for as long as this incarnation lasts.
func (p *process) repeat(interval time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		p.world.after(time.Duration(float64(interval)/p.clockRate), p, next)
	}
	p.world.after(p.world.randomBetween(0, interval), p, next)
}

// crash ends the process. What its disk has not synced is lost.
func (p *process) crash() {
	if !p.up {
		return
	}
	p.up = false
	p.incarnation++
	p.disk.unsynced = nil
	p.world.result.Crashes++
	p.world.trace("%s crashes", p.name)
}
