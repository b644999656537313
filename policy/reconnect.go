package policy

import (
	"slices"
	"time"
)

const (
	reconnectBackoff    = 100 * time.Millisecond // after a request's first failed connect; doubles each time
	maxBackoffDoublings = 10                     // limits the backoff to 102.4 s
)

// selectNext selects the server of r's next attempt. Each server gets at most one attempt of r, except that a server
// that failed to connect may get another once no untried server is left.
func (b *Balancer) selectNext(r *request) (selected *server, hasCapacity bool) {
	r.reconnecting = b.mayReconnect(r)
	selected, hasCapacity = b.selectServer(r)
	r.reconnecting = false
	return selected, hasCapacity
}

// mayReconnect tells whether r may be sent again to servers that failed to connect: the backoff is over, and all
// other servers that r may go to are ejected.
func (b *Balancer) mayReconnect(r *request) bool {
	if r.reconnectAt == 0 || b.now < r.reconnectAt {
		return false
	}
	return !slices.ContainsFunc(r.class.eligible.order, func(s *server) bool {
		return !s.health.ejected && b.mayRunOn(r, s)
	})
}

// recordFailedConnect starts the backoff before r may be sent again to a server that failed to connect.
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

// excludes tells whether r must not be sent to s because of an earlier attempt there.
func (r *request) excludes(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.server == s && (!a.connectFailed || !r.reconnecting)
	})
}
