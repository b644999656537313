package policy

import "math"

const (
	maxUnstaggeredNodes = 3             // with more nodes, the nodes start at different servers, to spread the load
	maxProjectedLoad    = 2.0           // maximum projected load for a send, unless servers shed load; avoids late answers
	stickyServersPerKey = 3             // number of preferred servers for a key in each zone
	fnvPrime            = 1099511628211 // prime of the 64-bit FNV hash
)

// selectServer returns the first usable server with capacity. Sticky servers come first, then the servers in order.
// If no server has capacity, it returns the server with the least projected load. It returns nil if that load is
// above maxProjectedLoad and servers do not shed load. hasCapacity is also true if the threshold of the least loaded
// server was never reduced.
func (b *Balancer) selectServer(r *request) (selected *server, hasCapacity bool) {
	for _, s := range b.stickyServers(r) {
		if s != nil && b.isUsable(r, s) && b.hasCapacity(s) {
			return s, true
		}
	}
	var leastLoaded *server
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
			if load := b.projectedLoad(s); leastLoaded == nil || load < leastLoad {
				leastLoaded, leastLoad = s, load
			}
		}
		if blocks != nil {
			b.refreshBlock(&blocks[i], eligible.blockServers(i))
		}
	}
	if leastLoaded != nil && b.projectedLoad(leastLoaded) > maxProjectedLoad && !b.serversShedLoad() {
		return nil, !leastLoaded.thresholdReduced
	}
	return leastLoaded, leastLoaded != nil && !leastLoaded.thresholdReduced
}

// stickyServers returns the preferred servers in this zone for the key of r, best first. They are chosen by
// rendezvous hashing, so all nodes of a zone send a key to the same servers. These servers then have the key cached.
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

// projectedLoad returns the ratio of attempts in flight to the threshold of s after one more attempt. A threshold
// below 1 is the fraction of the time in which an attempt may be in flight. In that case, the next attempt is due
// once the last latency is at most that fraction of the time since the last send.
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

func (b *Balancer) isStaggered() bool           { return b.settings.Nodes > maxUnstaggeredNodes }
func (b *Balancer) nodesOutnumberServers() bool { return b.settings.Nodes > len(b.order) }

// startOffset returns the index at which this node's order starts in a partition with the given number of servers.
// Offsets at multiples of the golden ratio are evenly spread, whichever nodes share a zone.
func (b *Balancer) startOffset(servers int) int {
	if !b.isStaggered() {
		return 0
	}
	_, fraction := math.Modf(float64(b.settings.Node) / math.Phi)
	return int(fraction * float64(servers))
}
