package policy

import "time"

const (
	failureWeight      = 0.3             // weight of a failure in the fault score; two in a row eject a server
	silenceWeight      = 0.15            // weight of a slow attempt at a silent server; the request may be expensive
	overloadWeight     = 0.2             // weight of an overload answer; a server that only rejects is ejected
	ejectionScore      = 0.5             // fault score above which a server is ejected
	baseEjectionTime   = time.Second     // duration of the first ejection; doubled at each further ejection
	maxEjectionTime    = 8 * time.Second // maximum duration of an ejection
	maxEjectedFraction = 0.4             // maximum fraction of ejected servers; more faults have another cause
	probesToRecover    = 3               // successful probes required in a row; one can succeed by chance
)

// updateHealth updates the circuit breaker of a server after the attempt ended has ended with code.
func (b *Balancer) updateHealth(ended *attempt, code Code) {
	target, breaker := ended.server, &ended.server.health
	switch {
	case breaker.ejected && ended.probe && code == OK:
		if breaker.goodProbes++; breaker.goodProbes >= probesToRecover {
			*breaker = health{}
			target.threshold = b.initialThreshold(target)
			b.updateIndex(target, -1)
		}
	case breaker.ejected && ended.probe: // failed probe; also if overloaded, because a hung server rejects excess work
		if code.isFault() && b.faultWeight < 1 { // a fault common to most servers does not lengthen the ejection
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
	case target.lastAnswer < ended.sentAt: // a server that answers other requests is not hung
		b.recordFault(target, failureWeight)
	}
}

// recordFault raises the fault score of s by weight. It ejects s if the score exceeds ejectionScore and mayEject
// allows it.
func (b *Balancer) recordFault(s *server, weight float64) {
	h := &s.health
	h.faultScore += weight * (1 - h.faultScore)
	if !h.ejected && h.faultScore > ejectionScore && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject reports whether s may be ejected. It applies maxEjectedFraction separately to each class that may use s,
// so a class that is restricted to a few servers does not lose all of them.
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
// server, only those whose requests are the safest to repeat probe the server.
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
