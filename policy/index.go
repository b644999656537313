package policy

import (
	"math"
	"slices"
	"strings"
)

// The index selects exactly the same servers as a scan of all servers. TestIndex_SelectsAsLinearScan checks this.
const (
	blockSize             = 64   // servers per block
	maxUnindexedServers   = 128  // maximum number of servers for which a scan is cheaper than the index
	maxIncrementalChanges = 16   // maximum number of changed endpoints that are applied without a rebuild of the order
	roundingSlack         = 1e-9 // relative tolerance for floating-point results computed in a different order
)

// block summarizes consecutive servers of an order. It ignores ejected servers. In the arrays, element 0 covers the
// servers that are not shared, and element 1 the shared servers (see isShared).
type block struct {
	fresh         bool       // whether load and projectedLoad are up to date; both ignore sharedThresholdScale
	load          [2]float64 // lowest ratio of attempts in flight to threshold
	projectedLoad [2]float64 // lowest such ratio with one more attempt in flight
}

// blocksOf returns the index of a pool, or nil if a scan of the pool is cheaper.
func (b *Balancer) blocksOf(p *pool) []block {
	if len(p.order) <= maxUnindexedServers || b.linearScan {
		return nil
	}
	if n := (len(p.order) + blockSize - 1) / blockSize; len(p.blocks) != n {
		p.blocks = make([]block, n)
	}
	return p.blocks
}

func (p *pool) blockServers(i int) []*server {
	return p.order[i*blockSize : min(len(p.order), (i+1)*blockSize)]
}

func (b *Balancer) refreshBlock(summary *block, servers []*server) {
	if summary.fresh {
		return
	}
	none := [2]float64{math.Inf(1), math.Inf(1)}
	*summary = block{fresh: true, load: none, projectedLoad: none}
	for _, s := range servers {
		if s.health.ejected {
			continue
		}
		i := 0
		if b.isShared(s) {
			i = 1
		}
		summary.load[i] = min(summary.load[i], float64(s.inFlight)/s.threshold)
		summary.projectedLoad[i] = min(summary.projectedLoad[i], float64(s.inFlight+1)/s.threshold)
		summary.fresh = summary.fresh && b.slowStartFraction(s) >= 1 // during slow start, capacity changes with time
	}
}

// canSkip reports whether summary proves that no server of the block has capacity or a projected load below
// leastLoad.
func (b *Balancer) canSkip(summary *block, leastLoad float64) bool {
	margin := 1 - roundingSlack
	if b.sharedThresholdScale == 1 {
		margin = 1
	}
	return summary.fresh && summary.load[0] >= 1 && summary.load[1]*margin >= b.sharedThresholdScale &&
		min(summary.projectedLoad[0], summary.projectedLoad[1]/b.sharedThresholdScale*margin) >= leastLoad
}

// pools yields the pool of all servers and the pool of each restricted class.
func (b *Balancer) pools(yield func(*pool) bool) {
	if !yield(&b.pool) {
		return
	}
	for _, classes := range [...][]*class{b.activeClasses, b.retiredClasses} {
		for _, c := range classes {
			if c.eligible != &b.pool && !yield(c.eligible) {
				return
			}
		}
	}
}

// updateIndex marks the blocks that contain s as stale. ejected is 1 if s was ejected, -1 if s was reinstated, and 0
// otherwise. updateIndex adds ejected to the ejectedCount of each pool that contains s.
func (b *Balancer) updateIndex(s *server, ejected int) {
	for p := range b.pools {
		if len(p.blocks) == 0 && ejected == 0 {
			continue
		}
		if at := p.position(s); at >= 0 {
			p.ejectedCount += ejected
			if i := at / blockSize; i < len(p.blocks) {
				p.blocks[i].fresh = false
			}
		}
	}
}

// position returns the index of s in the order of p, or -1 if p does not contain s.
func (p *pool) position(s *server) int {
	start := 0
	for i, partition := range p.partitions {
		if at, ok := searchByID(partition, s.Server); ok && partition[at] == s {
			if at -= p.offsets[i]; at < 0 {
				at += len(partition)
			}
			return start + at
		}
		start += len(partition)
	}
	return -1
}

func searchByID(servers []*server, id string) (int, bool) {
	return slices.BinarySearchFunc(servers, id, func(s *server, id string) int {
		return strings.Compare(s.Server, id)
	})
}

func (b *Balancer) partitionOf(p *pool, zone string) *[]*server {
	if zone == b.settings.Zone {
		return &p.partitions[0]
	}
	return &p.partitions[1]
}

func (b *Balancer) addServer(added *server) {
	b.runningByZone[added.Zone]++
	for p := range b.pools {
		if p.class == nil || p.class.permits(added) {
			partition := b.partitionOf(p, added.Zone)
			i, _ := searchByID(*partition, added.Server)
			*partition = slices.Insert(*partition, i, added)
			if added.health.ejected {
				p.ejectedCount++
			}
		}
	}
	added.probeIdempotency = NonIdempotent
	for _, c := range b.activeClasses {
		if c.permits(added) {
			added.probeIdempotency = max(added.probeIdempotency, c.Idempotency)
		}
	}
}

func (b *Balancer) removeServer(s *server) {
	for p := range b.pools {
		partition := b.partitionOf(p, s.Zone)
		if i, ok := searchByID(*partition, s.Server); ok {
			*partition = slices.Delete(*partition, i, i+1)
			if s.health.ejected {
				p.ejectedCount--
			}
		}
	}
	if b.runningByZone[s.Zone]--; b.runningByZone[s.Zone] <= 0 {
		delete(b.runningByZone, s.Zone)
	}
}

// arrangePool computes the order of p from its partitions. To avoid an allocation, it writes the order into
// spareOrder, the buffer of an earlier order.
func (b *Balancer) arrangePool(p *pool) {
	next := p.spareOrder[:0]
	for i, partition := range p.partitions {
		offset := b.startOffset(len(partition))
		if p != &b.pool && len(partition) > 0 {
			offset, _ = searchByID(partition, b.partitions[i][b.offsets[i]].Server)
		}
		next = append(append(next, partition[offset:]...), partition[:offset]...)
		p.offsets[i] = offset
	}
	p.spareOrder, p.order, p.localCount = p.order, next, len(p.partitions[0])
	for i := range p.blocks {
		p.blocks[i].fresh = false
	}
}
