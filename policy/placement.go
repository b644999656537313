package policy

import "slices"

// permits keeps a class that is restricted to zones, kinds or a pool of servers from going anywhere else.
func (c *class) permits(s *server) bool {
	return (c.Pool == "" || slices.Contains(s.Pools, c.Pool)) &&
		(len(c.Kinds) == 0 || slices.Contains(c.Kinds, s.Kind)) &&
		(len(c.Zones) == 0 || slices.Contains(c.Zones, s.Zone))
}

// mayRunOn guards against a second execution: what may have run only goes where duplicates are dropped.
func (b *Balancer) mayRunOn(r *request, candidate *server) bool {
	if !r.class.permits(candidate) || b.leavesZone(r, candidate) || r.excludes(candidate) {
		return false
	}
	if r.mayHaveRun == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency != IdempotencyKeyed || b.now >= r.mayHaveRun.sentAt+r.class.DedupWindow {
		return false
	}
	switch r.class.DedupScope {
	case DedupAll:
		return true
	case DedupZone:
		return candidate.Zone == r.mayHaveRun.server.Zone
	}
	return candidate.Cell == r.mayHaveRun.server.Cell
}

// updateMayHaveRun finds the first attempt of r that may have run; one without an outcome may have.
func (r *request) updateMayHaveRun() {
	r.mayHaveRun = nil
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return !a.notExecuted }); i >= 0 {
		r.mayHaveRun = &r.attempts[i]
	}
}
