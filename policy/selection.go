package policy

import "math"

const (
	maxUnstaggeredNodes = 3             // more would overload the first server, so each starts elsewhere
	maxProjectedLoad    = 2.0           // above it the least loaded server is not sent more: it would be late
	stickyServersPerKey = 3             // servers in each zone that are tried first for a key
	fnvPrime            = 1099511628211 // of the 64-bit FNV hash
)

// selectServer returns the first server in order that has capacity, else the least loaded one, if that is not
// over maxProjectedLoad. It reports capacity too if that one's threshold was never reduced.
func (b *Balancer) selectServer(r *request) (selected *server, hasCapacity bool) {
	for _, s := range b.stickyServers(r) {
		if s != nil && b.isUsable(r, s) && b.hasCapacity(s) {
			return s, true
		}
	}
	var least *server
	eligible := r.class.eligible
	blocks, leastLoad := b.blocksOf(eligible), math.Inf(1)
	for i := 0; i*blockSize < len(eligible.order); i++ {
		if blocks != nil && b.canSkip(&blocks[i], leastLoad) {
			continue
		}
		for _, s := range eligible.blockServers(i) {
			if !b.isUsable(r, s) {
				continue
			}
			if b.hasCapacity(s) {
				return s, true
			}
			if load := b.projectedLoad(s); least == nil || load < leastLoad {
				least, leastLoad = s, load
			}
		}
		if blocks != nil {
			b.refreshBlock(&blocks[i], eligible.blockServers(i))
		}
	}
	if least != nil && b.projectedLoad(least) > maxProjectedLoad && !b.serversShedLoad() {
		return nil, !least.thresholdReduced
	}
	return least, least != nil && !least.thresholdReduced
}

// stickyServers are, by rendezvous hashing, those where all nodes of a zone expect caches warm for a key.
func (b *Balancer) stickyServers(r *request) (best [stickyServersPerKey]*server) {
	if r.keyHash == 0 {
		return best
	}
	var bestHashes [stickyServersPerKey]uint64
	eligible := r.class.eligible
	for _, s := range eligible.order[:eligible.localCount] {
		hash := (r.keyHash ^ s.nameHash) * fnvPrime
		for i := range best {
			if s != nil && (best[i] == nil || hash > bestHashes[i]) {
				s, best[i] = best[i], s
				hash, bestHashes[i] = bestHashes[i], hash
			}
		}
	}
	return best
}

// projectedLoad is the load of s with one attempt more. A threshold under one is the part of the time that an
// attempt may be in flight: the next is due once the last one's latency is at most that part.
func (b *Balancer) projectedLoad(s *server) float64 {
	threshold := b.effectiveThreshold(s)
	if s.inFlight == 0 && threshold < 1 {
		return min(1, s.lastLatency/max(roundingSlack, (b.now-s.lastSend).Seconds())) / threshold
	}
	return float64(s.inFlight+1) / threshold
}

func (b *Balancer) hasCapacity(s *server) bool {
	threshold := b.effectiveThreshold(s)
	return threshold >= 1 && float64(s.inFlight) < threshold || threshold < 1 && b.projectedLoad(s) <= 1
}

func (b *Balancer) isUsable(r *request, s *server) bool {
	return !s.health.ejected && b.mayRunOn(r, s) && b.hasSlowStartCapacity(s)
}

func (b *Balancer) isStaggered() bool   { return b.settings.Nodes > maxUnstaggeredNodes }
func (b *Balancer) isOutnumbered() bool { return b.settings.Nodes > len(b.order) }

// startOffset spreads nodes over a partition: golden-ratio steps lie evenly whichever nodes share a zone.
func (b *Balancer) startOffset(servers int) int {
	if !b.isStaggered() {
		return 0
	}
	_, fraction := math.Modf(float64(b.settings.Node) / math.Phi)
	return int(fraction * float64(servers))
}
