package policy

import "time"

const (
	failureWeight      = 0.3             // weight of a failure in the fault score; two in a row eject a server
	silenceWeight      = 0.15            // weight of a slow attempt at a silent server; it may just be expensive
	overloadWeight     = 0.2             // weight of an overload answer; a server that gives only these is ejected
	ejectionScore      = 0.5             // fault score above which a server is ejected
	baseEjectionTime   = time.Second     // duration of the first ejection, doubled at each further one
	maxEjectionTime    = 8 * time.Second // upper bound of the duration of an ejection
	maxEjectedFraction = 0.4             // fraction of the servers; if more seem faulty, the cause lies elsewhere
	probesToRecover    = 3               // consecutive probes, since half pass at a server that fails half of them
)

// updateHealth updates the circuit breaker of a server by the outcome of an attempt.
func (b *Balancer) updateHealth(ended *attempt, code Code) {
	target, breaker := ended.server, &ended.server.health
	switch {
	case breaker.ejected && ended.probe && code == OK:
		if breaker.goodProbes++; breaker.goodProbes >= probesToRecover {
			*breaker = health{}
			target.threshold = b.initialThreshold(target)
			b.updateIndex(target, -1)
		}
	case breaker.ejected && ended.probe: // failed, also if overloaded: a hung server rejects work beyond its capacity
		if code.isFault() && b.faultWeight < 1 { // the fault is common to most servers, so don't lengthen the ejection
			breaker.ejections = 0
		}
		b.eject(target)
	case code == OK:
		breaker.faultScore -= failureWeight * b.faultWeight * breaker.faultScore
	case code == Overloaded && b.serversShedLoad():
	case code == Overloaded:
		b.recordFault(target, overloadWeight)
	case code.isFault():
		b.recordFault(target, failureWeight*b.faultWeight)
	case target.lastAnswer < ended.sentAt: // a server that answers others is not hung
		b.recordFault(target, failureWeight)
	}
}

// recordFault raises the fault score of s, and ejects s above ejectionScore.
func (b *Balancer) recordFault(s *server, weight float64) {
	h := &s.health
	h.faultScore += weight * (1 - h.faultScore)
	if !h.ejected && h.faultScore > ejectionScore && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject applies maxEjectedFraction to the eligible servers of each class that may use s, so that a class
// restricted to a few servers doesn't lose all of them.
func (b *Balancer) mayEject(s *server) bool {
	for _, c := range b.activeClasses {
		if c.permits(s) && float64(c.eligible.ejectedCount+1) > maxEjectedFraction*float64(len(c.eligible.order)) {
			return false
		}
	}
	return true
}

func (b *Balancer) eject(s *server) {
	h := &s.health
	if !h.ejected {
		b.updateIndex(s, 1)
	}
	ejectionTime := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 10))
	h.ejected, h.ejectedUntil, h.goodProbes = true, b.now+ejectionTime, 0
	h.ejections++
}

// probeTarget returns an ejected server that is due for a probe by r, or nil. Among the classes that may use a
// server, only those that are the safest to repeat probe it.
func (b *Balancer) probeTarget(r *request) *server {
	eligible := r.class.eligible
	if eligible.ejectedCount == 0 || len(r.attempts) > 0 {
		return nil
	}
	for _, s := range eligible.order {
		h := &s.health
		isDue := h.ejected && !h.probeInFlight && b.now >= h.ejectedUntil
		if isDue && r.class.Idempotency >= s.probeIdempotency && b.hasSlowStartCapacity(s) {
			h.probeInFlight = true
			return s
		}
	}
	return nil
}
