package clustersim

import (
	"slices"
	"time"

	"cobaltward/fleet"
)

// send delivers a message to whichever incarnation of a process is up at the time.
func (w *world) send(from, to *process, deliver func()) { w.transmit(from, to, 0, deliver) }

// reply delivers an answer to the incarnation that sent the request.
func (w *world) reply(from, to *process, incarnation int, deliver func()) {
	w.transmit(from, to, incarnation, deliver)
}

// transmit loses, delays or duplicates a message, as the faults in force say.
func (w *world) transmit(from, to *process, incarnation int, deliver func()) {
	w.result.Messages++
	if w.blockedLinks[[2]int{from.index, to.index}] > 0 || w.rand.Float64() < w.lossRate {
		w.result.Lost++
		return
	}
	w.push(w.drawLatency(to), to, incarnation, deliver)
	if w.rand.Float64() < w.duplicateRate {
		w.result.Duplicated++
		latency := w.drawLatency(to)
		late := time.Duration(w.rand.Float64() * w.rand.Float64() * float64(maxDuplicateDelay))
		w.push(latency+late, to, incarnation, deliver)
	}
}

func (w *world) drawLatency(to *process) time.Duration {
	return ms + w.randomExp(3*ms) + w.randomExp(w.extraDelay) + to.extraDelay
}

// propose sends an entry to a replica. The result, if any comes, is passed to done.
func (p *process) propose(to *process, entry fleet.Entry, done func(fleet.Result)) {
	w := p.world
	id, incarnation := w.nextRequestID(), p.incarnation
	w.send(p, to, func() {
		to.pendingProposals[id] = func(result fleet.Result) {
			w.reply(to, p, incarnation, func() { done(result) })
		}
		if to.core.Propose(id, entry) != nil {
			delete(to.pendingProposals, id)
		}
		to.processReady()
	})
}

// nextRequestID returns a new identifier. It is never 0, the value of entries without a proposal.
func (w *world) nextRequestID() uint64 {
	w.lastRequest++
	return w.lastRequest<<1 | 1
}

// direction says which messages between the two sides of a partition are lost.
type direction int

const (
	bothWays direction = iota
	towardsHigherIndex
	towardsLowerIndex
	directions
)

// partition blocks the links between pairs of processes for a while, from a time after now on.
func (w *world) partition(at, length time.Duration, separated func(a, b *process) bool, blocked direction) {
	var links [][2]int
	all := slices.Concat(w.replicas, w.agents)
	for _, a := range all {
		for _, b := range all {
			if a != b && separated(a, b) && (blocked == bothWays || (blocked == towardsHigherIndex) == (a.index < b.index)) {
				links = append(links, [2]int{a.index, b.index})
			}
		}
	}
	w.after(at, nil, func() {
		w.result.Partitions++
		for _, link := range links {
			w.blockedLinks[link]++
		}
		w.trace("%d links are blocked", len(links))
	})
	w.after(at+length, nil, func() {
		for _, link := range links {
			w.blockedLinks[link]--
		}
	})
}
