package clustersim

import (
	"slices"
	"time"

	"cobaltward/fleet/consensus"
)

// FaultKind is a kind of fault that a schedule may contain. Unless Config.Faults is set, all values are equally
// likely. A kind that is twice as likely has a second value, its alias.
type FaultKind int

// The kinds of faults.
const (
	FaultCrash FaultKind = iota
	faultCrashAlias
	FaultPause
	faultPauseAlias
	FaultGroupPartition // separates some of the processes from the remaining processes
	faultGroupPartitionAlias
	FaultPairPartition // separates two processes
	FaultLoss
	FaultDelay
	FaultDuplicates
	FaultAllReplicasCrash // crashes all replicas; with Config.ClockJumps, a clock jumps instead
	FaultDelayedCandidate // a lease candidate receives messages late, and is then isolated
	FaultBridgingVoter    // separates two replicas while a third replica that reaches both restarts repeatedly
	FaultDelayedNode      // the last node receives messages late
	faultKinds
)

// fault is one fault of a schedule, with its start, its duration and its processes.
type fault struct {
	at, length   time.Duration
	target, peer *process
}

// scheduleFaults draws and schedules the faults. It also schedules the administrator's turns.
func (s *simulation) scheduleFaults() {
	all := slices.Concat(s.replicas, s.agents)
	var administer func()
	administer = func() {
		s.administer()
		s.after(administratorInterval, nil, administer)
	}
	s.after(0, nil, administer)
	for at := s.randomBetween(0, 3*time.Second); at < s.cfg.Length; at += s.randomBetween(100*ms, 6*time.Second) {
		length := s.randomBetween(200*ms, 10*time.Second)
		next := fault{at: at, length: min(length, s.cfg.Length-at)}
		next.target = all[s.rand.IntN(len(all))]
		next.peer = all[s.rand.IntN(len(all))]
		kind := FaultKind(s.rand.IntN(int(faultKinds)))
		if s.cfg.Faults != nil {
			kind = s.cfg.Faults[s.rand.IntN(len(s.cfg.Faults))]
		}
		s.scheduleFault(kind, next)
	}
}

func (s *simulation) scheduleFault(kind FaultKind, next fault) {
	switch kind {
	case FaultCrash, faultCrashAlias:
		diskLost := s.rand.IntN(3) == 0
		s.during(next.at, next.length, func() { s.crash(next.target, diskLost) }, func() { s.restart(next.target) })
	case FaultPause, faultPauseAlias:
		s.schedulePause(next)
	case FaultGroupPartition, faultGroupPartitionAlias:
		s.scheduleGroupPartition(next)
	case FaultPairPartition:
		s.partition(next.at, next.length, isPair(next.target, next.peer), s.randomDirection())
	case FaultLoss:
		rate := 0.5 * s.rand.Float64()
		s.during(next.at, next.length, func() { s.lossRate += rate }, func() { s.lossRate -= rate })
	case FaultDelay:
		delay := s.randomBetween(5*ms, leaseDuration/3)
		s.during(next.at, next.length, func() { s.extraDelay += delay }, func() { s.extraDelay -= delay })
	case FaultDuplicates:
		rate := 0.4 * s.rand.Float64()
		s.during(next.at, next.length, func() { s.duplicateRate += rate }, func() { s.duplicateRate -= rate })
	case FaultAllReplicasCrash:
		if s.cfg.ClockJumps {
			s.scheduleClockJump(next)
		} else {
			s.during(next.at, next.length, s.crashReplicas, s.restartReplicas)
		}
	case FaultDelayedCandidate:
		s.scheduleDelayedCandidate(next)
	case FaultBridgingVoter:
		s.scheduleBridgingVoter(next)
	case FaultDelayedNode:
		node, delay := s.agents[len(s.agents)-1], s.drawLongDelay()
		s.during(next.at, 2*next.length, func() { node.extraDelay = delay }, func() { node.extraDelay = 0 })
	}
}

// during schedules begin after the delay at, and end after the delay at+length.
func (s *simulation) during(at, length time.Duration, begin, end func()) {
	s.after(at, nil, begin)
	s.after(at+length, nil, end)
}

// schedulePause schedules a pause of a process. The pause of an agent is longer by 0.5, 10 or 150 lease durations,
// but is cut off at the end of the schedule.
func (s *simulation) schedulePause(f fault) {
	spans := []time.Duration{leaseDuration / 2, 10 * leaseDuration, 150 * leaseDuration}
	span, length := spans[s.rand.IntN(len(spans))], f.length
	if f.target.node != nil {
		length = min(length+span, s.cfg.Length-f.at)
	}
	s.after(f.at, nil, func() { s.pause(f.target, length) })
}

func (s *simulation) scheduleGroupPartition(f fault) {
	isolated := make(map[*process]bool)
	for _, p := range slices.Concat(s.replicas, s.agents) {
		isolated[p] = s.rand.IntN(3) == 0
	}
	separated := func(a, b *process) bool { return isolated[a] != isolated[b] }
	s.partition(f.at, f.length, separated, s.randomDirection())
}

func (s *simulation) scheduleClockJump(f fault) {
	jump := s.randomBetween(-5*time.Second, 20*time.Second)
	s.after(f.at, nil, func() {
		f.target.clockOffset += max(jump, 0)
		s.result.ClockJumps++
	})
}

func (s *simulation) scheduleDelayedCandidate(f fault) {
	candidate, delay := s.agents[s.rand.IntN(s.cfg.LeaseCandidates)], s.drawLongDelay()
	s.during(f.at, f.length, func() { candidate.extraDelay += delay }, func() { candidate.extraDelay -= delay })
	if f.at+2*f.length < s.cfg.Length {
		isolated := func(a, b *process) bool { return a == candidate || b == candidate }
		s.partition(f.at+f.length, f.length, isolated, bothWays)
	}
}

func (s *simulation) scheduleBridgingVoter(f fault) {
	order := s.rand.Perm(len(s.replicas))
	left, right, bridge := s.replicas[order[0]], s.replicas[order[1]], s.replicas[order[2]]
	s.partition(f.at, f.length, isPair(left, right), bothWays)
	for at := f.at; at < f.at+f.length; at += s.randomBetween(50*ms, time.Second) {
		s.after(at, nil, func() { s.crash(bridge, false) })
		s.after(at+s.randomBetween(ms, 40*ms), nil, func() { s.restart(bridge) })
	}
}

// isPair returns a function that reports whether a and b are left and right, in either order.
func isPair(left, right *process) func(a, b *process) bool {
	return func(a, b *process) bool { return a == left && b == right || a == right && b == left }
}

func (s *simulation) randomDirection() direction { return direction(s.rand.IntN(int(directions))) }

// drawLongDelay draws a message delay. A round trip with this delay takes most of a lease duration.
func (s *simulation) drawLongDelay() time.Duration {
	return time.Duration((0.3 + 0.18*s.rand.Float64()) * float64(leaseDuration))
}

func (s *simulation) crashReplicas() {
	for _, p := range s.replicas {
		s.crash(p, false)
	}
}

func (s *simulation) restartReplicas() {
	for _, p := range s.replicas {
		s.restart(p)
	}
}

// crash ends a process. If diskLost is true, the process restarts with another disk: a replica with an empty disk if
// the cluster tolerates the loss, an agent with an earlier copy of its disk.
func (s *simulation) crash(target *process, diskLost bool) {
	target.crash()
	if !diskLost {
		return
	}
	if target.node != nil {
		target.receiverDisk = target.staleReceiverDisk
		s.result.StaleReceiverDisks++
		s.trace("%s has an older disk", target.name)
		return
	}
	if s.toleratesLostDisk(target) {
		s.result.LostDisks++
		target.disk = disk{synced: consensus.PersistentState{ID: s.rand.Uint64() | 1}}
		s.trace("%s has lost its disk", target.name)
	}
}

// toleratesLostDisk reports whether a replica may lose its disk. The cluster must have at least 3 replicas, all of
// them members and voters, and no other replica may have an empty disk.
func (s *simulation) toleratesLostDisk(p *process) bool {
	state := s.newestState()
	if len(s.replicas) < 3 || state == nil || len(state.Members) < len(s.replicas) {
		return false
	}
	for _, other := range s.replicas {
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

// restart starts a process. It does nothing if the process is running.
func (s *simulation) restart(p *process) {
	if !p.up {
		s.trace("%s starts", p.name)
		p.start()
	}
}

// pause stops a process from handling events for the given length of time. The process's clock continues to run.
// pause does nothing if the process is down or already paused.
func (s *simulation) pause(p *process, length time.Duration) {
	if !p.up || p.pausedUntil > s.now {
		return
	}
	p.pausedUntil = s.now + length
	s.result.Pauses++
	if length > leaseDuration {
		s.result.LongPauses++
	}
	s.trace("%s is paused for %v", p.name, length)
}
