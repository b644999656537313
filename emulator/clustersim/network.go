package clustersim

import (
	"slices"
	"time"

	"cobaltward/fleet"
)

// send sends a message to a process. Any incarnation of the process receives it.
func (s *simulation) send(from, to *process, deliver func()) { s.transmit(from, to, 0, deliver) }

// reply sends a response to the incarnation that sent the request. Other incarnations don't receive the response.
func (s *simulation) reply(from, to *process, incarnation int, deliver func()) {
	s.transmit(from, to, incarnation, deliver)
}

// transmit delivers a message after a random latency. Active faults may lose, delay or duplicate the message.
func (s *simulation) transmit(from, to *process, incarnation int, deliver func()) {
	s.result.Messages++
	if s.blockedLinks[[2]int{from.index, to.index}] > 0 || s.rand.Float64() < s.lossRate {
		s.result.Lost++
		return
	}
	s.push(s.drawLatency(to), to, incarnation, deliver)
	if s.rand.Float64() < s.duplicateRate {
		s.result.Duplicated++
		latency := s.drawLatency(to)
		late := time.Duration(s.rand.Float64() * s.rand.Float64() * float64(maxDuplicateDelay))
		s.push(latency+late, to, incarnation, deliver)
	}
}

func (s *simulation) drawLatency(to *process) time.Duration {
	return ms + s.randomExp(3*ms) + s.randomExp(s.extraDelay) + to.extraDelay
}

// propose proposes an entry at the replica to. If a result comes back, propose passes it to done.
func (p *process) propose(to *process, entry fleet.Entry, done func(fleet.Result)) {
	sim := p.sim
	id, incarnation := sim.nextRequestID(), p.incarnation
	sim.send(p, to, func() {
		to.pendingProposals[id] = func(result fleet.Result) {
			sim.reply(to, p, incarnation, func() { done(result) })
		}
		if to.core.Propose(id, entry) != nil {
			delete(to.pendingProposals, id)
		}
		to.processReady()
	})
}

// nextRequestID returns a new ID for a proposal or a read. The ID is never 0: 0 marks entries for which no process
// waits.
func (s *simulation) nextRequestID() uint64 {
	s.lastRequest++
	return s.lastRequest<<1 | 1
}

// direction selects the messages that a partition loses.
type direction int

const (
	bothWays direction = iota
	towardsHigherIndex
	towardsLowerIndex
	directions
)

// partition blocks the links between pairs of processes for which separated returns true. The block starts after the
// delay at and lasts for length.
func (s *simulation) partition(at, length time.Duration, separated func(a, b *process) bool, blocked direction) {
	var links [][2]int
	all := slices.Concat(s.replicas, s.agents)
	for _, a := range all {
		for _, b := range all {
			if a != b && separated(a, b) && (blocked == bothWays || (blocked == towardsHigherIndex) == (a.index < b.index)) {
				links = append(links, [2]int{a.index, b.index})
			}
		}
	}
	s.after(at, nil, func() {
		s.result.Partitions++
		for _, link := range links {
			s.blockedLinks[link]++
		}
		s.trace("%d links are blocked", len(links))
	})
	s.after(at+length, nil, func() {
		for _, link := range links {
			s.blockedLinks[link]--
		}
	})
}
