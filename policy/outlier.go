package policy

import "time"

const (
	failureWeight      = 0.3             // of one failure in the fault score: two in a row eject
	silenceWeight      = 0.15            // of a slow attempt at a silent server: it may just be heavy
	overloadWeight     = 0.2             // of an overload answer: a server that keeps giving those is ejected
	ejectionScore      = 0.5             // fault score that ejects
	baseEjectionTime   = time.Second     // of the first ejection, doubled each time
	maxEjectionTime    = 8 * time.Second // up to this
	maxEjectedFraction = 0.4             // of the servers; when more seem broken, the cause isn't the servers
	probesToRecover    = 3               // good probes in a row: half of them pass at a server that fails half
)

func (b *Balancer) updateHealth(ended *attempt, code Code) {
	target, breaker := ended.server, &ended.server.health
	switch {
	case breaker.ejected && ended.probe && code == OK:
		if breaker.goodProbes++; breaker.goodProbes >= probesToRecover {
			*breaker = health{}
			target.threshold = b.initialThreshold(target)
			b.updateIndex(target, -1)
		}
	case breaker.ejected && ended.probe: // overloaded too: a hung server rejects beyond its capacity
		if code.isFault() && b.faultWeight < 1 { // it may be well, so its ejections don't grow longer
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
	case target.lastAnswer < ended.sentAt: // a server that answers others isn't hung
		b.recordFault(target, failureWeight)
	}
}

func (b *Balancer) recordFault(s *server, weight float64) {
	h := &s.health
	h.faultScore += weight * (1 - h.faultScore)
	if !h.ejected && h.faultScore > ejectionScore && b.mayEject(s) {
		b.eject(s)
	}
}

// mayEject caps ejections for each class: the few servers that one is restricted to are not all ejected.
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

// probeTarget returns an ejected server that is due, if r is of its classes that may be repeated most freely.
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
