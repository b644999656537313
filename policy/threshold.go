package policy

import (
	"slices"
	"time"
)

const (
	initialThresholdFewNodes      = 6.0  // sum over all nodes, with at most maxUnstaggeredNodes nodes
	initialThresholdInSubset      = 2.0  // sum over the nodes with the server in their subset
	initialThresholdOutsideSubset = 1.0  // sum over the nodes without the server in their subset
	initialThresholdOutnumbered   = 0.05 // the same sum, if each attempt would need a new connection
	minSubsetSize                 = 4    // minimum size of a node's subset, unless the zone has fewer servers
	minThresholdFraction          = 0.25 // lower bound of a threshold, as a fraction of its initial value
	thresholdIncrease             = 0.05 // attempts per good answer; balanced if a sixth of the answers are slow
	slowDecrease                  = 0.25 // attempts per slow answer
	failureDecrease               = 0.3  // attempts per overload answer or failure
	slowLatencyFraction           = 0.6  // fraction of the latency objective above which an answer is slow
	sharedScaleIncrease           = 0.02 // relative increase of sharedThresholdScale per good answer of a shared server
	sharedScaleDecrease           = 0.1  // relative decrease per bad answer; balanced if a sixth of the answers are bad
	maxSharedScale                = 8.0  // maximum of sharedThresholdScale
	faultRatioGain                = 0.05 // weight of one outcome in the moving average faultRatio
	commonFaultRatio              = 0.08 // median faultRatio at which faultWeight would reach 0
	minFaultWeight                = 0.25 // lower bound of faultWeight
	overloadRatioGain             = 0.02 // weight of one bad outcome in the moving average overloadRatio
	answerRatioGain               = 0.01 // weight of one outcome in the moving averages badRatio and timeoutRatio
	sheddingOverload              = 0.2  // minimum overloadRatio at which servers are considered to shed load
	maxSheddingTimeouts           = 0.1  // minimum timeoutRatio at which servers are not considered to shed load
)

// initialThreshold returns this node's part of the initial threshold of s. The constants above define the sum of
// these parts over several nodes.
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

// idleConnectionsExpire reports whether a connection to a server outside the subset is closed as idle before its next
// use. With a threshold of 1/Nodes, an attempt is in flight for 1/Nodes of the time, so the next attempt is due after
// Nodes times the latency. The latency is assumed to be the shortest objective.
func (b *Balancer) idleConnectionsExpire() bool {
	idleTimeout := b.settings.Capabilities.ConnIdleTimeout
	return idleTimeout == 0 || time.Duration(b.settings.Nodes)*b.shortestObjective >= idleTimeout
}

// effectiveThreshold returns the threshold of s, scaled by sharedThresholdScale if s is shared. All shared servers
// have the same scale, because a node gets too few answers from each shared server to learn separate thresholds
// quickly enough.
func (b *Balancer) effectiveThreshold(s *server) float64 {
	if b.isShared(s) {
		return s.threshold * b.sharedThresholdScale
	}
	return s.threshold
}

// isShared reports whether s gets most of its load from other nodes: s is outside this node's subset, or all nodes
// use the same sticky servers.
func (b *Balancer) isShared(s *server) bool {
	return b.isStaggered() && (!s.inSubset || b.settings.KeyAffinity)
}

// serversShedLoad reports whether servers reject excess requests early instead of letting them time out. The node
// then sends beyond maxProjectedLoad, does not lower bucket rates below the quotas, and ejects no server for
// overload.
func (b *Balancer) serversShedLoad() bool {
	return b.overloadRatio >= sheddingOverload && b.timeoutRatio < maxSheddingTimeouts
}

// updateThreshold adjusts the threshold of target after an outcome of a request of class c. Steps of a threshold
// below 1 are proportional to the threshold. A threshold of any size therefore settles where
// thresholdIncrease/(thresholdIncrease+slowDecrease) of the answers are slow.
func (b *Balancer) updateThreshold(target *server, c *class, outcome Outcome) {
	updateRatio(&target.faultRatio, faultRatioGain, outcome.Code.isFault())
	step := b.thresholdStep(target, c, outcome)
	isBad := step <= -slowDecrease // false for a fault while most servers have faults, because faultWeight is then low

	if isBad && (outcome.Code != Overloaded || target.health.faultScore < silenceWeight) { // a hung server rejects, too
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

// thresholdStep returns the change of the threshold of s after outcome e of a request of class c. The result applies
// to a threshold of 1 or more. If e is a fault, thresholdStep updates faultWeight first.
func (b *Balancer) thresholdStep(s *server, c *class, e Outcome) float64 {
	switch {
	case e.Code.isFault():
		b.updateFaultWeight()
		return -failureDecrease * b.faultWeight
	case e.Code != OK:
		return -failureDecrease
	case e.Latency > durationFromSeconds(slowLatencyFraction*c.LatencyObjective.Seconds()):
		return -slowDecrease
	case float64(s.inFlight+1) >= b.effectiveThreshold(s): // raise a threshold only if the load reached it
		return thresholdIncrease
	}
	return 0
}

// updateFaultWeight sets faultWeight, which falls as the median fault ratio of the servers rises. With a constant
// weight, faults that are common to all servers would eject some of them at random.
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
