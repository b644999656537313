package policy

import (
	"math"
	"slices"
	"strings"
)

// What keeps the servers in packing order and finds one quickly among many. Both come to the very choices
// that an order made anew and a walk over all servers would: TestIndexChangesNoDecision holds them against
// one another.

const (
	blockSize             = 64  // servers that are looked at together
	maxUnindexedServers   = 128 // servers up to which a walk costs less than the index
	maxIncrementalChanges = 16  // entries of a change up to which the order is not made anew
	roundingSlack         = 1e-9
)

// block is what a run of servers in packing order has at best, of those that are not ejected: first of the
// node's own, then of shared ones, whose figures are without the trust, which moves for all at once.
type block struct {
	fresh         bool
	load          [2]float64 // least attempts in flight over threshold
	projectedLoad [2]float64 // the same with one attempt more
}

// blocksOf returns the blocks of a pool, or none where it is small.
func (b *Balancer) blocksOf(p *pool) []block {
	if len(p.order) <= maxUnindexedServers || b.linearScan {
		return nil
	}
	if n := (len(p.order) + blockSize - 1) / blockSize; len(p.blocks) != n {
		p.blocks = make([]block, n)
	}
	return p.blocks
}

// blockServers is the servers of a block.
func (p *pool) blockServers(i int) []*server {
	return p.order[i*blockSize : min(len(p.order), (i+1)*blockSize)]
}

// refreshBlock brings a block up to date with its servers.
func (b *Balancer) refreshBlock(k *block, run []*server) {
	if k.fresh {
		return
	}
	none := [2]float64{math.Inf(1), math.Inf(1)}
	*k = block{fresh: true, load: none, projectedLoad: none}
	for _, s := range run {
		if s.health.ejected {
			continue
		}
		i := 0
		if b.isShared(s) {
			i = 1
		}
		k.load[i] = min(k.load[i], float64(s.inFlight)/s.threshold)
		k.projectedLoad[i] = min(k.projectedLoad[i], float64(s.inFlight+1)/s.threshold)
		k.fresh = k.fresh && b.slowStartFraction(s) >= 1 // whether a cold one has room is only known by asking
	}
}

// canSkip tells whether no server of a block can have room, or be less crowded than so much. A block that
// is not up to date is walked, which costs no more than to bring it up to date first.
func (b *Balancer) canSkip(k *block, crowded float64) bool {
	less := 1 - roundingSlack // for the rounding of what is multiplied by the trust
	if b.sharedThresholdScale == 1 {
		less = 1
	}
	return k.fresh && k.load[0] >= 1 && k.load[1]*less >= b.sharedThresholdScale &&
		min(k.projectedLoad[0], k.projectedLoad[1]/b.sharedThresholdScale*less) >= crowded // none at all is as crowded as can be
}

// pools goes through the pool of all servers and those that classes are bound to.
func (b *Balancer) pools(yield func(*pool) bool) {
	if !yield(&b.pool) {
		return
	}
	for _, cs := range [...][]*class{b.activeClasses, b.retiredClasses} {
		for _, c := range cs {
			if c.eligible != &b.pool && !yield(c.eligible) {
				return
			}
		}
	}
}

// updateIndex says that what a block holds of s may have changed, and whether s came to be ejected (1), or no
// longer is (-1).
func (b *Balancer) updateIndex(s *server, ejected int) {
	for p := range b.pools {
		if len(p.blocks) == 0 && ejected == 0 {
			continue
		}
		if at, ok := p.position(s); ok {
			p.ejectedCount += ejected
			if i := at / blockSize; i < len(p.blocks) {
				p.blocks[i].fresh = false
			}
		}
	}
}

// position is where s stands in the order.
func (p *pool) position(s *server) (int, bool) {
	from := 0
	for i, part := range p.partitions {
		if at, ok := searchByID(part, s.Server); ok && part[at] == s {
			if at -= p.offsets[i]; at < 0 {
				at += len(part)
			}
			return from + at, true
		}
		from += len(part)
	}
	return 0, false
}

// searchByID is the place of an id among servers in id order.
func searchByID(part []*server, id string) (int, bool) {
	return slices.BinarySearchFunc(part, id, func(s *server, id string) int {
		return strings.Compare(s.Server, id)
	})
}

// partitionOf is the one of a pool's two that a zone's servers are in.
func (b *Balancer) partitionOf(p *pool, zone string) *[]*server {
	if zone == b.settings.Zone {
		return &p.partitions[0]
	}
	return &p.partitions[1]
}

// addServer puts a server in service into the parts that it belongs to.
func (b *Balancer) addServer(s *server) {
	b.runningByZone[s.Zone]++
	for p := range b.pools {
		if p.class == nil || p.class.permits(s) {
			part := b.partitionOf(p, s.Zone)
			i, _ := searchByID(*part, s.Server)
			*part = slices.Insert(*part, i, s)
			if s.health.ejected {
				p.ejectedCount++
			}
		}
	}
	s.probeIdempotency = NonIdempotent
	for _, c := range b.activeClasses {
		if c.permits(s) {
			s.probeIdempotency = max(s.probeIdempotency, c.Idempotency)
		}
	}
}

// removeServer takes a server out of them.
func (b *Balancer) removeServer(s *server) {
	for p := range b.pools {
		part := b.partitionOf(p, s.Zone)
		if i, ok := searchByID(*part, s.Server); ok {
			*part = slices.Delete(*part, i, i+1)
			if s.health.ejected {
				p.ejectedCount--
			}
		}
	}
	if b.runningByZone[s.Zone]--; b.runningByZone[s.Zone] <= 0 {
		delete(b.runningByZone, s.Zone)
	}
}

// arrangePool lays the parts of a pool out as its order, from where the walk through each begins. The former
// order's memory is used again by the next call but one, so that a change among many allocates nothing.
func (b *Balancer) arrangePool(p *pool) {
	next := p.spareOrder[:0]
	for i, part := range p.partitions {
		turn := b.walkOffset(len(part))
		if p != &b.pool && len(part) > 0 {
			turn, _ = searchByID(part, b.partitions[i][b.offsets[i]].Server)
		}
		next = append(append(next, part[turn:]...), part[:turn]...)
		p.offsets[i] = turn
	}
	p.spareOrder, p.order, p.localCount = p.order, next, len(p.partitions[0])
	for i := range p.blocks {
		p.blocks[i].fresh = false
	}
}
