package clustersim

import (
	"slices"
	"time"

	"cobaltward/fleet/consensus"
)

// FaultKind is a kind of fault that a schedule may contain. All kinds are equally likely; a kind that is to be twice
// as likely has two values.
type FaultKind int

// The kinds of faults.
const (
	FaultCrash FaultKind = iota
	faultCrashTwin
	FaultPause
	faultPauseTwin
	FaultGroupPartition // separates some of the processes from the others
	faultGroupPartitionTwin
	FaultPairPartition // separates two processes
	FaultLoss
	FaultDelay
	FaultDuplicates
	FaultAllReplicasCrash // with Config.ClockJumps: a clock jumps instead
	FaultDelayedCandidate // a lease candidate gets messages late, and then is isolated
	FaultBridgingVoter    // two replicas are separated, while a third that reaches both restarts again and again
	FaultDelayedNode
	faultKinds
)

// fault is one fault of a schedule, in force from a time on for a length of time.
type fault struct {
	at, length   time.Duration
	target, peer *process
}

// scheduleFaults draws all faults of the schedule, and schedules them and the administrator's turns.
func (w *world) scheduleFaults() {
	all := slices.Concat(w.replicas, w.agents)
	var administer func()
	administer = func() {
		w.administer()
		w.after(administratorInterval, nil, administer)
	}
	w.after(0, nil, administer)
	for at := w.randomBetween(0, 3*time.Second); at < w.cfg.Length; at += w.randomBetween(100*ms, 6*time.Second) {
		length := w.randomBetween(200*ms, 10*time.Second)
		next := fault{at: at, length: min(length, w.cfg.Length-at)}
		next.target = all[w.rand.IntN(len(all))]
		next.peer = all[w.rand.IntN(len(all))]
		kind := FaultKind(w.rand.IntN(int(faultKinds)))
		if w.cfg.Faults != nil {
			kind = w.cfg.Faults[w.rand.IntN(len(w.cfg.Faults))]
		}
		w.scheduleFault(kind, next)
	}
}

func (w *world) scheduleFault(kind FaultKind, next fault) {
	switch kind {
	case FaultCrash, faultCrashTwin:
		diskLost := w.rand.IntN(3) == 0
		w.during(next.at, next.length, func() { w.crash(next.target, diskLost) }, func() { w.restart(next.target) })
	case FaultPause, faultPauseTwin:
		w.schedulePause(next)
	case FaultGroupPartition, faultGroupPartitionTwin:
		w.scheduleGroupPartition(next)
	case FaultPairPartition:
		w.partition(next.at, next.length, isPair(next.target, next.peer), w.randomDirection())
	case FaultLoss:
		rate := 0.5 * w.rand.Float64()
		w.during(next.at, next.length, func() { w.lossRate += rate }, func() { w.lossRate -= rate })
	case FaultDelay:
		delay := w.randomBetween(5*ms, leaseDuration/3)
		w.during(next.at, next.length, func() { w.extraDelay += delay }, func() { w.extraDelay -= delay })
	case FaultDuplicates:
		rate := 0.4 * w.rand.Float64()
		w.during(next.at, next.length, func() { w.duplicateRate += rate }, func() { w.duplicateRate -= rate })
	case FaultAllReplicasCrash:
		if w.cfg.ClockJumps {
			w.scheduleClockJump(next)
		} else {
			w.during(next.at, next.length, w.crashReplicas, w.restartReplicas)
		}
	case FaultDelayedCandidate:
		w.scheduleDelayedCandidate(next)
	case FaultBridgingVoter:
		w.scheduleBridgingVoter(next)
	case FaultDelayedNode:
		node, delay := w.agents[len(w.agents)-1], w.drawLongDelay()
		w.during(next.at, 2*next.length, func() { node.extraDelay = delay }, func() { node.extraDelay = 0 })
	}
}

// during schedules the begin and the end of a fault.
func (w *world) during(at, length time.Duration, begin, end func()) {
	w.after(at, nil, begin)
	w.after(at+length, nil, end)
}

// schedulePause pauses a process. At an agent the pause is longer by half a lease, or by many.
func (w *world) schedulePause(f fault) {
	spans := []time.Duration{leaseDuration / 2, 10 * leaseDuration, 150 * leaseDuration}
	span, length := spans[w.rand.IntN(len(spans))], f.length
	if f.target.node != nil {
		length = min(length+span, w.cfg.Length-f.at)
	}
	w.after(f.at, nil, func() { w.pause(f.target, length) })
}

func (w *world) scheduleGroupPartition(f fault) {
	isolated := make(map[*process]bool)
	for _, p := range slices.Concat(w.replicas, w.agents) {
		isolated[p] = w.rand.IntN(3) == 0
	}
	separated := func(a, b *process) bool { return isolated[a] != isolated[b] }
	w.partition(f.at, f.length, separated, w.randomDirection())
}

func (w *world) scheduleClockJump(f fault) {
	jump := w.randomBetween(-5*time.Second, 20*time.Second)
	w.after(f.at, nil, func() {
		f.target.clockOffset += max(jump, 0)
		w.result.ClockJumps++
	})
}

func (w *world) scheduleDelayedCandidate(f fault) {
	candidate, delay := w.agents[w.rand.IntN(w.cfg.LeaseCandidates)], w.drawLongDelay()
	w.during(f.at, f.length, func() { candidate.extraDelay += delay }, func() { candidate.extraDelay -= delay })
	if f.at+2*f.length < w.cfg.Length {
		isolated := func(a, b *process) bool { return a == candidate || b == candidate }
		w.partition(f.at+f.length, f.length, isolated, bothWays)
	}
}

func (w *world) scheduleBridgingVoter(f fault) {
	order := w.rand.Perm(len(w.replicas))
	left, right, bridge := w.replicas[order[0]], w.replicas[order[1]], w.replicas[order[2]]
	w.partition(f.at, f.length, isPair(left, right), bothWays)
	for at := f.at; at < f.at+f.length; at += w.randomBetween(50*ms, time.Second) {
		w.after(at, nil, func() { w.crash(bridge, false) })
		w.after(at+w.randomBetween(ms, 40*ms), nil, func() { w.restart(bridge) })
	}
}

// isPair returns a function that reports whether two processes are these two, in either order.
func isPair(left, right *process) func(a, b *process) bool {
	return func(a, b *process) bool { return a == left && b == right || a == right && b == left }
}

func (w *world) randomDirection() direction { return direction(w.rand.IntN(int(directions))) }

// drawLongDelay draws a delay of messages by which a round trip takes most of a lease's duration.
func (w *world) drawLongDelay() time.Duration {
	return time.Duration((0.3 + 0.18*w.rand.Float64()) * float64(leaseDuration))
}

func (w *world) crashReplicas() {
	for _, p := range w.replicas {
		w.crash(p, false)
	}
}

func (w *world) restartReplicas() {
	for _, p := range w.replicas {
		w.restart(p)
	}
}

// crash ends a process. With diskLost, a replica's disk is empty afterwards, where the cluster tolerates the loss,
// and an agent's is an earlier copy.
func (w *world) crash(target *process, diskLost bool) {
	target.crash()
	if !diskLost {
		return
	}
	if target.node != nil {
		target.receiverDisk = target.staleReceiverDisk
		w.result.StaleReceiverDisks++
		w.trace("%s has an older disk", target.name)
		return
	}
	if w.toleratesLostDisk(target) {
		w.result.LostDisks++
		target.disk = disk{synced: consensus.PersistentState{ID: w.rand.Uint64() | 1}}
		w.trace("%s has lost its disk", target.name)
	}
}

// toleratesLostDisk reports whether a replica may lose its disk: all others have theirs and are voters.
func (w *world) toleratesLostDisk(p *process) bool {
	state := w.newestState()
	if len(w.replicas) < 3 || state == nil || len(state.Members) < len(w.replicas) {
		return false
	}
	for _, other := range w.replicas {
		if other != p && other.core != nil && other.disk.synced.Snapshot == nil {
			return false
		}
	}
	for _, member := range state.Members {
		if member.Learner {
			return false
		}
	}
	return true
}

// restart starts a process that is down.
func (w *world) restart(p *process) {
	if !p.up {
		w.trace("%s starts", p.name)
		p.start()
	}
}

// pause keeps a running process from handling events, while its clock runs.
func (w *world) pause(p *process, length time.Duration) {
	if !p.up || p.pausedUntil > w.now {
		return
	}
	p.pausedUntil = w.now + length
	w.result.Pauses++
	if length > leaseDuration {
		w.result.LongPauses++
	}
	w.trace("%s is paused for %v", p.name, length)
}
