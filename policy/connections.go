package policy

import (
	"math/bits"
	"time"
)

const (
	minIdleTime          = 250 * time.Millisecond // connections with a shorter idle time count as in use
	unansweredGain       = 0.2                    // weight of one outcome in the moving average unansweredRatio
	staleUnansweredRatio = 0.3                    // minimum unansweredRatio at which idle connections are closed
	staleFactor          = 3                      // same minimum, as a multiple of the ratio of connections in use
	staleDecay           = 0.98                   // factor on unansweredRatio at each close; makes closing stop
)

// recordConnectionUse records that s.inFlight connections to s are in use at time now.
func (s *server) recordConnectionUse(now Time) {
	for len(s.connectionLastUsed) < s.inFlight {
		s.connectionLastUsed = append(s.connectionLastUsed, now)
	}
	s.connectionLastUsed[s.inFlight-1] = now
}

// prepareConnection returns the idle time of the connection for the next send to target, as an octave (power of two)
// of minIdleTime. Octave 0 is a connection in use, or a new connection. If sends at an octave go unanswered far more
// often than sends on connections in use, the network probably drops such connections silently. prepareConnection
// then closes the idle connections and returns 0.
func (b *Balancer) prepareConnection(target *server) (idleOctave int) {
	if target.inFlight >= len(target.connectionLastUsed) {
		return 0
	}
	idle, maxIdle := b.now-target.connectionLastUsed[target.inFlight], b.settings.Capabilities.ConnIdleTimeout
	if idle < minIdleTime || maxIdle > 0 && idle >= maxIdle {
		return 0
	}
	octave := min(len(b.unansweredRatio)-1, bits.Len64(uint64(idle/minIdleTime)))
	ratio := b.unansweredRatio[octave]
	if ratio < staleUnansweredRatio || ratio < staleFactor*b.unansweredRatio[0] {
		return octave
	}
	b.unansweredRatio[octave] *= staleDecay
	b.closeIdleConnections(target)
	return 0
}

func (b *Balancer) closeIdleConnections(s *server) {
	s.connectionLastUsed = s.connectionLastUsed[:min(len(s.connectionLastUsed), s.inFlight)]
	b.emit(Action{Kind: CloseIdle, Server: s.Server})
}

// lostStaleConnection reports whether attempt a went unanswered on a connection that had been idle. Such a loss says
// nothing about the server. After such a loss, lostStaleConnection closes the idle connections of the server.
func (b *Balancer) lostStaleConnection(a *attempt, unanswered bool) bool {
	updateRatio(&b.unansweredRatio[a.idleOctave], unansweredGain, unanswered)
	isStale := unanswered && a.idleOctave > 0
	if isStale {
		b.closeIdleConnections(a.server)
	}
	return isStale
}
