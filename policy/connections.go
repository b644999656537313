package policy

import (
	"math/bits"
	"time"
)

const (
	minIdleTime          = 250 * time.Millisecond // a connection unused for less counts as in use
	unansweredGain       = 0.2                    // weight of one outcome in an unanswered ratio
	staleUnansweredRatio = 0.3                    // from which connections idle for as long are not used again,
	staleFactor          = 3                      // if it is so many times that of connections in use
	staleDecay           = 0.98                   // of the ratio, with each server's connections closed for it
)

func (s *server) recordConnectionUse(now Time) {
	for len(s.connectionLastUsed) < s.inFlight {
		s.connectionLastUsed = append(s.connectionLastUsed, now)
	}
	s.connectionLastUsed[s.inFlight-1] = now
}

// prepareConnection returns how long the connection of the next send was idle, in octaves of minIdleTime.
// Where sends on those idle for as long go unanswered far more often, as if dropped unseen, it closes them.
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

// lostStaleConnection reports whether an outcome says nothing of the server, but of an idle connection.
func (b *Balancer) lostStaleConnection(a *attempt, unanswered bool) bool {
	updateRatio(&b.unansweredRatio[a.idleOctave], unansweredGain, unanswered)
	isStale := unanswered && a.idleOctave > 0
	if isStale {
		b.closeIdleConnections(a.server)
	}
	return isStale
}
