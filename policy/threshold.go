package policy

import (
	"slices"
	"time"
)

const (
	initialAmongFewNodes = 6.0  // attempts in flight that a server is first sent by all nodes, if they are few,
	initialInSubset      = 2.0  // by those whose subset it is in, which share it,
	initialElsewhere     = 1.0  // by all others together,
	initialOutnumbered   = 0.05 // and where nodes outnumber servers and each attempt would need a connection of its own
	minSubsetSize        = 4    // servers
	minThresholdFraction = 0.25 // of its first threshold, below which none falls
	thresholdIncrease    = 0.05 // attempts, by a good answer; against slowDecrease, a sixth may be slow
	slowDecrease         = 0.25 // by a slow answer
	failureDecrease      = 0.3  // by an overload answer or a failure
	slowLatencyFraction  = 0.6  // of the latency objective, from which an answer is slow
	sharedScaleIncrease  = 0.02 // part by which a good answer raises the scale of shared servers' thresholds
	sharedScaleDecrease  = 0.1  // and a bad one lowers it; against sharedScaleIncrease, a sixth may be bad
	maxSharedScale       = 8.0  // bound of that scale
	faultRatioGain       = 0.05 // weight of one outcome in a server's fault ratio
	commonFaultRatio     = 0.08 // at every other server, from which faults tell nothing of one,
	minFaultWeight       = 0.25 // so that each counts for so much less
	overloadRatioGain    = 0.02 // weight of one bad answer in the overload ratio
	answerRatioGain      = 0.01 // weight of one answer in the ratios of bad answers and time-outs
	sheddingOverload     = 0.2  // overload ratio from which servers count as shedding load
	maxSheddingTimeouts  = 0.1  // time-out ratio from which they don't
)

func (b *Balancer) initialThreshold(s *server) float64 {
	switch {
	case !b.isStaggered():
		return max(1, initialAmongFewNodes/float64(b.settings.Nodes))
	case s.inSubset:
		return initialInSubset * min(1, float64(b.localCount*b.zoneCount)/float64(b.settings.Nodes*b.subsetSize))
	case b.isOutnumbered() && b.connectionsIdleOut():
		return initialOutnumbered / float64(b.settings.Nodes)
	default:
		return min(1, initialElsewhere/float64(b.settings.Nodes))
	}
}

// connectionsIdleOut tells whether a connection to a server outside the subset is closed as idle before its next use.
// A threshold of one part in Nodes has an attempt in flight for that part of the time, so that the next one is due
// Nodes latencies later. Latencies are taken to be the shortest objective.
func (b *Balancer) connectionsIdleOut() bool {
	idleTimeout := b.settings.Capabilities.ConnIdleTimeout
	return idleTimeout == 0 || time.Duration(b.settings.Nodes)*b.shortestObjective >= idleTimeout
}

// effectiveThreshold scales all shared servers alike: a node sees too little of each to learn in time.
func (b *Balancer) effectiveThreshold(s *server) float64 {
	if b.isShared(s) {
		return s.threshold * b.sharedThresholdScale
	}
	return s.threshold
}

// isShared tells whether other nodes send s most of its work, as it is outside the subset, or sticky for all.
func (b *Balancer) isShared(s *server) bool {
	return b.isStaggered() && (!s.inSubset || b.settings.KeyAffinity)
}

// serversShedLoad tells whether servers reject work before it waits too long. Then the node sends past
// maxProjectedLoad, and neither cuts rates below the quotas nor ejects for overload; time-outs end it.
func (b *Balancer) serversShedLoad() bool {
	return b.overloadRatio >= sheddingOverload && b.timeoutRatio < maxSheddingTimeouts
}

// updateThreshold moves the threshold of a server by one outcome. Steps shrink with thresholds under one:
// each settles where thresholdIncrease/(thresholdIncrease+slowDecrease) of the answers are slow, at any size.
func (b *Balancer) updateThreshold(target *server, c *class, outcome Outcome) {
	updateRatio(&target.faultRatio, faultRatioGain, outcome.Code.isFault())
	step := b.thresholdStep(target, c, outcome)
	isBad := step <= -slowDecrease // not what all servers have alike

	if isBad && (outcome.Code != Overloaded || target.health.faultScore < silenceWeight) { // hung ones overflow
		updateRatio(&b.overloadRatio, overloadRatioGain, outcome.Code == Overloaded)
	}
	updateRatio(&b.badRatio, answerRatioGain, isBad)
	if outcome.Code != Overloaded {
		updateRatio(&b.timeoutRatio, answerRatioGain, outcome.Code == TimedOut)
	}
	if b.isShared(target) && step > 0 {
		b.sharedThresholdScale = min(maxSharedScale, b.sharedThresholdScale*(1+sharedScaleIncrease))
	} else if b.isShared(target) && isBad && outcome.Code != Overloaded {
		b.sharedThresholdScale = max(1, b.sharedThresholdScale*(1-sharedScaleDecrease))
	}
	target.thresholdReduced = target.thresholdReduced || isBad
	minThreshold := minThresholdFraction * b.initialThreshold(target)
	target.threshold = max(minThreshold, target.threshold+step*min(1, target.threshold))
}

func (b *Balancer) thresholdStep(s *server, c *class, e Outcome) float64 {
	switch {
	case e.Code.isFault():
		b.updateFaultWeight()
		return -failureDecrease * b.faultWeight
	case e.Code != OK:
		return -failureDecrease
	case e.Latency > durationFromSeconds(slowLatencyFraction*c.LatencyObjective.Seconds()):
		return -slowDecrease
	case float64(s.inFlight+1) >= b.effectiveThreshold(s): // only a threshold that was reached is raised
		return thresholdIncrease
	}
	return 0
}

// updateFaultWeight discounts what the median server has as well, lest faults of all eject some at random.
func (b *Balancer) updateFaultWeight() {
	var ratios []float64
	for _, s := range b.order {
		if s.lastAnswer > 0 {
			ratios = append(ratios, s.faultRatio)
		}
	}
	slices.Sort(ratios)
	if len(ratios) > 0 {
		b.faultWeight = max(minFaultWeight, 1-ratios[(len(ratios)-1)/2]/commonFaultRatio)
	}
}
