package policy

import "slices"

// permits reports whether requests of the class may be sent to s, given the zones, kinds and pool of the class.
func (c *class) permits(s *server) bool {
	return (c.Pool == "" || slices.Contains(s.Pools, c.Pool)) &&
		(len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone))
}

// mayRunOn reports whether r may be sent to candidate. If an earlier attempt may have been executed, a request that
// is not idempotent may only be sent to a server that is known to discard the duplicate. A process that started after
// that attempt may not know the key.
func (b *Balancer) mayRunOn(r *request, candidate *server) bool {
	if !r.class.permits(candidate) || b.violatesZoneLocal(r, candidate) || r.excludes(candidate) {
		return false
	}
	if r.firstMaybeExecuted == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != IdempotencyKeyed || b.now >= r.firstMaybeExecuted.sentAt+r.class.DedupWindow ||
		candidate.mayHaveStartedAfter(r.firstMaybeExecuted.sentAt) {
		return false
	}
	return r.firstMaybeExecuted.isDiscardedBy(candidate, r.class.DedupScope)
}

// updateFirstMaybeExecuted recomputes firstMaybeExecuted. An attempt without an outcome may have been executed.
func (r *request) updateFirstMaybeExecuted() {
	r.firstMaybeExecuted = nil
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.notExecuted }); i >= 0 {
		r.firstMaybeExecuted = &r.attempts[i]
	}
}
