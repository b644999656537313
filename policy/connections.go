package policy

import (
	"math/bits"
	"time"
)

const (
	minIdleTime          = 250 * time.Millisecond // a connection that was idle for less counts as in use
	unansweredGain       = 0.2                    // weight of one outcome in the moving average unansweredRatio
	staleUnansweredRatio = 0.3                    // minimum unansweredRatio at which idle connections are closed
	staleFactor          = 3                      // and its minimum multiple of the ratio of connections in use
	staleDecay           = 0.98                   // factor on the ratio at each close, so that closing stops in time
)

// recordConnectionUse records that s.inFlight connections to s are in use now.
func (s *server) recordConnectionUse(now Time) {
	for len(s.connectionLastUsed) < s.inFlight {
		s.connectionLastUsed = append(s.connectionLastUsed, now)
	}
	s.connectionLastUsed[s.inFlight-1] = now
}

// prepareConnection returns the idle time of the connection for the next send to target, as an octave (power of two)
// of minIdleTime; 0 stands for a connection in use. If sends on connections that were idle for as long go unanswered
// far more often than others, the network probably drops such connections silently, so that it closes the idle ones.
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

// lostStaleConnection reports whether an attempt went unanswered on a connection that had been idle, which says
// nothing about the server. It then closes the server's idle connections.
func (b *Balancer) lostStaleConnection(a *attempt, unanswered bool) bool {
	updateRatio(&b.unansweredRatio[a.idleOctave], unansweredGain, unanswered)
	isStale := unanswered && a.idleOctave > 0
	if isStale {
		b.closeIdleConnections(a.server)
	}
	return isStale
}
