package policy

import (
	"slices"
	"time"
)

const (
	initialThresholdFewNodes      = 6.0  // summed over all nodes, if these are at most maxUnstaggeredNodes
	initialThresholdInSubset      = 2.0  // summed over the nodes with the server in their subset
	initialThresholdOutsideSubset = 1.0  // summed over the nodes without the server in their subset
	initialThresholdOutnumbered   = 0.05 // summed likewise, if each attempt would need a new connection
	minSubsetSize                 = 4    // minimum number of servers in a node's subset, unless the zone has fewer
	minThresholdFraction          = 0.25 // lower bound of a threshold, as a fraction of its initial value
	thresholdIncrease             = 0.05 // attempts per good answer; 1/5 of slowDecrease, so a sixth may be slow
	slowDecrease                  = 0.25 // attempts per slow answer
	failureDecrease               = 0.3  // attempts per overload answer or failure
	slowLatencyFraction           = 0.6  // fraction of the latency objective above which an answer is slow
	sharedScaleIncrease           = 0.02 // relative increase of sharedThresholdScale per good answer of a shared server
	sharedScaleDecrease           = 0.1  // relative decrease per bad answer; 5 increases, so a sixth may be bad
	maxSharedScale                = 8.0  // upper bound of sharedThresholdScale
	faultRatioGain                = 0.05 // weight of one outcome in the moving average faultRatio
	commonFaultRatio              = 0.08 // median faultRatio at which faultWeight would reach 0
	minFaultWeight                = 0.25 // lower bound of faultWeight
	overloadRatioGain             = 0.02 // weight of one bad outcome in the moving average overloadRatio
	answerRatioGain               = 0.01 // weight of one outcome in the moving averages badRatio and timeoutRatio
	sheddingOverload              = 0.2  // minimum overloadRatio at which servers count as shedding load
	maxSheddingTimeouts           = 0.1  // timeoutRatio from which they don't, whatever the overloadRatio
)

// initialThreshold returns this node's part of the total initial threshold of s.
func (b *Balancer) initialThreshold(s *server) float64 {
	switch {
	case !b.isStaggered():
		return max(1, initialThresholdFewNodes/float64(b.settings.Nodes))
	case s.inSubset:
		return initialThresholdInSubset * min(1, float64(b.localCount*b.zoneCount)/float64(b.settings.Nodes*b.subsetSize))
	case b.nodesOutnumberServers() && b.idleConnectionsExpire():
		return initialThresholdOutnumbered / float64(b.settings.Nodes)
	default:
		return min(1, initialThresholdOutsideSubset/float64(b.settings.Nodes))
	}
}

// idleConnectionsExpire tells whether a connection to a server outside the subset is closed as idle before its next
// use. With a threshold of 1/Nodes, an attempt is in flight for that fraction of the time, so that the next one is
// due after Nodes times the latency. The latency is assumed to be the shortest objective.
func (b *Balancer) idleConnectionsExpire() bool {
	idleTimeout := b.settings.Capabilities.ConnIdleTimeout
	return idleTimeout == 0 || time.Duration(b.settings.Nodes)*b.shortestObjective >= idleTimeout
}

// effectiveThreshold returns the threshold of s, scaled by sharedThresholdScale if s is shared. The scale is common
// to all shared servers, because a node gets too few answers of each to learn its threshold in time.
func (b *Balancer) effectiveThreshold(s *server) float64 {
	if b.isShared(s) {
		return s.threshold * b.sharedThresholdScale
	}
	return s.threshold
}

// isShared tells whether s gets most of its load from other nodes, because it is outside this node's subset or
// because sticky servers are used by all nodes.
func (b *Balancer) isShared(s *server) bool {
	return b.isStaggered() && (!s.inSubset || b.settings.KeyAffinity)
}

// serversShedLoad tells whether servers reject excess requests early, rather than let them time out. In that case,
// the node sends beyond maxProjectedLoad, doesn't lower bucket rates below the quotas, and ejects no server for
// overload.
func (b *Balancer) serversShedLoad() bool {
	return b.overloadRatio >= sheddingOverload && b.timeoutRatio < maxSheddingTimeouts
}

// updateThreshold adjusts the threshold of a server after an outcome. Below 1, steps are proportional to the
// threshold, so that a threshold of any size settles where thresholdIncrease/(thresholdIncrease+slowDecrease) of the
// answers are slow.
func (b *Balancer) updateThreshold(target *server, c *class, outcome Outcome) {
	updateRatio(&target.faultRatio, faultRatioGain, outcome.Code.isFault())
	step := b.thresholdStep(target, c, outcome)
	isBad := step <= -slowDecrease // excludes faults that are common to most servers

	if isBad && (outcome.Code != Overloaded || target.health.faultScore < silenceWeight) { // a hung server also rejects
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

// thresholdStep returns the change of a threshold of 1 or more after an outcome.
func (b *Balancer) thresholdStep(s *server, c *class, e Outcome) float64 {
	switch {
	case e.Code.isFault():
		b.updateFaultWeight()
		return -failureDecrease * b.faultWeight
	case e.Code != OK:
		return -failureDecrease
	case e.Latency > durationFromSeconds(slowLatencyFraction*c.LatencyObjective.Seconds()):
		return -slowDecrease
	case float64(s.inFlight+1) >= b.effectiveThreshold(s): // a threshold is only raised if the load reached it
		return thresholdIncrease
	}
	return 0
}

// updateFaultWeight reduces faultWeight by the median fault ratio of the servers, so that faults that are common to
// all of them don't eject some at random.
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
