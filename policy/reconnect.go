package policy

import (
	"slices"
	"time"
)

const (
	reconnectBackoff    = 100 * time.Millisecond // backoff after the first failed connect of a request; doubled each time
	maxBackoffDoublings = 10                     // limits the backoff to 102.4 s
)

// selectNext selects the server of r's next attempt. Each server gets at most one attempt of r. If no untried server
// is left, or each of them is ejected, a server that failed to connect may get another attempt.
func (b *Balancer) selectNext(r *request) (selected *server, hasCapacity bool) {
	r.reconnecting = b.mayReconnect(r)
	selected, hasCapacity = b.selectServer(r)
	r.reconnecting = false
	return selected, hasCapacity
}

// mayReconnect reports whether r may be sent again to servers that failed to connect. The backoff must be over, and
// all untried servers that r may be sent to must be ejected.
func (b *Balancer) mayReconnect(r *request) bool {
	if r.reconnectAt == 0 || b.now < r.reconnectAt {
		return false
	}
	return !slices.ContainsFunc(r.class.eligible.order, func(s *server) bool {
		return !s.health.ejected && b.mayRunOn(r, s)
	})
}

// recordFailedConnect marks the attempt failed. It starts the backoff after which r may be sent again to servers that
// failed to connect.
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

// excludes reports whether an earlier attempt of r prevents another attempt at s.
func (r *request) excludes(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool {
		return a.server == s && (!a.connectFailed || !r.reconnecting)
	})
}
