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
	blockSize   = 64  // servers that are looked at together
	manyServers = 128 // servers up to which a walk costs less than the index
	fewChanges  = 16  // entries of a change up to which the order is not made anew
	slack       = 1e-9
)

// block is what a run of servers in packing order has at best, of those that are not ejected: first of the
// node's own, then of shared ones, whose figures are without the trust, which moves for all at once.
type block struct {
	fresh    bool
	load     [2]float64 // least attempts in flight over threshold
	crowding [2]float64 // the same with one attempt more
}

// index returns the blocks of a pool, or none where it is small.
func (b *Balancer) index(p *pool) []block {
	if len(p.order) <= manyServers || b.plain {
		return nil
	}
	if n := (len(p.order) + blockSize - 1) / blockSize; len(p.blocks) != n {
		p.blocks = make([]block, n)
	}
	return p.blocks
}

// run is the servers of a block.
func (p *pool) run(i int) []*server {
	return p.order[i*blockSize : min(len(p.order), (i+1)*blockSize)]
}

// look brings a block up to date with its servers.
func (b *Balancer) look(k *block, run []*server) {
	if k.fresh {
		return
	}
	none := [2]float64{math.Inf(1), math.Inf(1)}
	*k = block{fresh: true, load: none, crowding: none}
	for _, s := range run {
		if s.health.out {
			continue
		}
		i := 0
		if b.shared(s) {
			i = 1
		}
		k.load[i] = min(k.load[i], float64(s.inflight)/s.threshold)
		k.crowding[i] = min(k.crowding[i], float64(s.inflight+1)/s.threshold)
		k.fresh = k.fresh && b.ramp(s) >= 1 // whether a cold one has room is only known by asking
	}
}

// passOver tells whether no server of a block can have room, or be less crowded than so much. A block that
// is not up to date is walked, which costs no more than to bring it up to date first.
func (b *Balancer) passOver(k *block, crowded float64) bool {
	less := 1 - slack // for the rounding of what is multiplied by the trust
	if b.trust == 1 {
		less = 1
	}
	return k.fresh && k.load[0] >= 1 && k.load[1]*less >= b.trust &&
		min(k.crowding[0], k.crowding[1]/b.trust*less) >= crowded // none at all is as crowded as can be
}

// pools goes through the pool of all servers and those that classes are bound to.
func (b *Balancer) pools(yield func(*pool) bool) {
	if !yield(&b.pool) {
		return
	}
	for _, cs := range [...][]*class{b.ranked, b.retired} {
		for _, c := range cs {
			if c.open != &b.pool && !yield(c.open) {
				return
			}
		}
	}
}

// touch says that what a block holds of s may have changed, and whether s came to be ejected (1), or no
// longer is (-1).
func (b *Balancer) touch(s *server, ejected int) {
	for p := range b.pools {
		if len(p.blocks) == 0 && ejected == 0 {
			continue
		}
		if at, ok := p.place(s); ok {
			p.ejected += ejected
			if i := at / blockSize; i < len(p.blocks) {
				p.blocks[i].fresh = false
			}
		}
	}
}

// place is where s stands in the order.
func (p *pool) place(s *server) (int, bool) {
	from := 0
	for i, part := range p.parts {
		if at, ok := byID(part, s.Server); ok && part[at] == s {
			if at -= p.turns[i]; at < 0 {
				at += len(part)
			}
			return from + at, true
		}
		from += len(part)
	}
	return 0, false
}

// byID is the place of an id among servers in id order.
func byID(part []*server, id string) (int, bool) {
	return slices.BinarySearchFunc(part, id, func(s *server, id string) int {
		return strings.Compare(s.Server, id)
	})
}

// part is the one of a pool's two that a zone's servers are in.
func (b *Balancer) part(p *pool, zone string) *[]*server {
	if zone == b.set.Zone {
		return &p.parts[0]
	}
	return &p.parts[1]
}

// enter puts a server in service into the parts that it belongs to.
func (b *Balancer) enter(s *server) {
	b.running[s.Zone]++
	for p := range b.pools {
		if p.class == nil || p.class.permits(s) {
			part := b.part(p, s.Zone)
			i, _ := byID(*part, s.Server)
			*part = slices.Insert(*part, i, s)
			if s.health.out {
				p.ejected++
			}
		}
	}
	s.safest = NonIdempotent
	for _, c := range b.ranked {
		if c.permits(s) {
			s.safest = max(s.safest, c.Idempotency)
		}
	}
}

// leave takes a server out of them.
func (b *Balancer) leave(s *server) {
	for p := range b.pools {
		part := b.part(p, s.Zone)
		if i, ok := byID(*part, s.Server); ok {
			*part = slices.Delete(*part, i, i+1)
			if s.health.out {
				p.ejected--
			}
		}
	}
	if b.running[s.Zone]--; b.running[s.Zone] <= 0 {
		delete(b.running, s.Zone)
	}
}

// arrange lays the parts of a pool out as its order, from where the walk through each begins. The former
// order's memory is used again by the next call but one, so that a change among many allocates nothing.
func (b *Balancer) arrange(p *pool) {
	next := p.spare[:0]
	for i, part := range p.parts {
		turn := b.startAt(len(part))
		if p != &b.pool && len(part) > 0 {
			turn, _ = byID(part, b.parts[i][b.turns[i]].Server)
		}
		next = append(append(next, part[turn:]...), part[:turn]...)
		p.turns[i] = turn
	}
	p.spare, p.order, p.zoned = p.order, next, len(p.parts[0])
	for i := range p.blocks {
		p.blocks[i].fresh = false
	}
}
