package policy

import (
	"slices"
	"time"
)

const (
	reconnectBackoff    = 100 * time.Millisecond // after the first failed connect of a request, doubled after each
	maxBackoffDoublings = 10
)

// selectNext selects the server of r's next attempt. Each server gets one, but for those that could not be connected
// to: they got nothing, and may get another where no server is left that r has not been sent to.
func (b *Balancer) selectNext(r *request) (selected *server, hasCapacity bool) {
	r.reconnecting = b.mayReconnect(r)
	selected, hasCapacity = b.selectServer(r)
	r.reconnecting = false
	return selected, hasCapacity
}

// mayReconnect tells whether r may be sent again to servers that could not be connected to: none is left that it has
// not been sent to, but for ejected ones, and the backoff is over.
func (b *Balancer) mayReconnect(r *request) bool {
	if r.reconnectAt == 0 || b.now < r.reconnectAt {
		return false
	}
	return !slices.ContainsFunc(r.class.eligible.order, func(s *server) bool {
		return !s.health.ejected && b.mayRunOn(r, s)
	})
}

// recordFailedConnect starts the backoff before another attempt at a server that could not be connected to.
func (b *Balancer) recordFailedConnect(r *request, failed *attempt) {
	failed.connectFailed = true
	failures := 0
	for i := range r.attempts {
		if r.attempts[i].connectFailed {
			failures++
		}
	}
	r.reconnectAt = b.now + reconnectBackoff<<min(failures-1, maxBackoffDoublings)
}

// excludes tells whether r is not to go to s, where an attempt of it went already.
func (r *request) excludes(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.server == s && (!a.connectFailed || !r.reconnecting)
	})
}
