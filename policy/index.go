package policy

import (
	"math"
	"slices"
	"strings"
)

// What finds servers quickly among many, and follows a list that changes by little; no decisions here.
// Both come to the very choices that a walk over all servers and a list made anew would:
// TestIndexChangesNoDecision holds them against one another.

const (
	blockSize   = 64  // servers that are looked at together
	manyServers = 128 // servers up to which a walk costs less than the index
	fewChanges  = 16  // entries of a change up to which the order is not made anew
	slack       = 1e-9
)

// block is what a run of servers in packing order has at best, of those that are not ejected. Figures
// of shared servers are without the trust, which moves for all of them at once.
type block struct {
	fresh                 bool
	cold                  bool
	load, sharedLoad      float64 // least attempts in flight over threshold
	crowding, sharedCrowd float64 // the same with one attempt more
}

// blocks returns the blocks of a pool, made anew where its order has changed.
func (p *pool) index() []block {
	if n := (len(p.order) + blockSize - 1) / blockSize; len(p.blocks) != n {
		p.blocks = make([]block, n)
	}
	return p.blocks
}

// forget says that the order of the pool has changed.
func (p *pool) forget() {
	for i := range p.blocks {
		p.blocks[i].fresh = false
	}
}

// run is the servers of a block.
func (p *pool) run(i int) []*server {
	return p.order[i*blockSize : min(len(p.order), (i+1)*blockSize)]
}

// look brings a block up to date.
func (b *Balancer) look(p *pool, i int) {
	k := &p.index()[i]
	if k.fresh {
		return
	}
	inf := math.Inf(1)
	*k = block{fresh: true, load: inf, sharedLoad: inf, crowding: inf, sharedCrowd: inf}
	for _, s := range p.run(i) {
		if s.health.out {
			continue
		}
		load, crowd := float64(s.inflight)/s.threshold, float64(s.inflight+1)/s.threshold
		if b.shared(s) {
			k.sharedLoad, k.sharedCrowd = min(k.sharedLoad, load), min(k.sharedCrowd, crowd)
		} else {
			k.load, k.crowding = min(k.load, load), min(k.crowding, crowd)
		}
		k.cold = k.cold || b.ramp(s) < 1
	}
	k.fresh = !k.cold // whether a cold one has room is only known by asking
}

// passOver tells whether no server of a block can have room, or be less crowded than so much. A block that
// is not up to date is walked, which costs no more than to bring it up to date first.
func (b *Balancer) passOver(k *block, crowded float64) bool {
	if !k.fresh {
		return false
	}
	less := 1 - slack // for the rounding of what is multiplied by the trust
	if b.trust == 1 {
		less = 1
	}
	if k.load < 1 || k.sharedLoad*less < b.trust {
		return false
	}
	return min(k.crowding, k.sharedCrowd/b.trust*less) >= crowded // none at all is as crowded as can be
}

// touch says that what a block holds of s may have changed.
func (b *Balancer) touch(s *server) {
	b.pool.touch(s)
	for _, cs := range [...][]*class{b.ranked, b.retired} {
		for _, c := range cs {
			if c.open != &b.pool {
				c.open.touch(s)
			}
		}
	}
}

func (p *pool) touch(s *server) {
	if len(p.blocks) == 0 {
		return
	}
	own, others := p.order[:p.zoned], p.order[p.zoned:]
	at, ok := find(own, s)
	if !ok {
		if at, ok = find(others, s); !ok {
			return
		}
		at += p.zoned
	}
	if i := at / blockSize; i < len(p.blocks) {
		p.blocks[i].fresh = false
	}
}

// find is the place of s in a part of a packing order: in id order, but for where the walk begins.
func find(part []*server, s *server) (int, bool) {
	if len(part) == 0 {
		return 0, false
	}
	first := part[0].Server
	// The ids from the walk's beginning to the highest come first, then the rest from the lowest.
	turn, _ := slices.BinarySearchFunc(part, first, func(a *server, first string) int {
		if a.Server >= first {
			return -1
		}
		return 1
	})
	lo, hi := 0, turn
	if s.Server < first {
		lo, hi = turn, len(part)
	}
	i, ok := slices.BinarySearchFunc(part[lo:hi], s.Server, func(a *server, id string) int { return strings.Compare(a.Server, id) })
	return lo + i, ok && part[lo+i] == s
}

// byID is the place of an id among servers in id order.
func byID(all []*server, id string) (int, bool) {
	return slices.BinarySearchFunc(all, id, func(a *server, id string) int { return strings.Compare(a.Server, id) })
}

// change takes over a few entries of the list, and puts the order right where they touch it. It reports
// false where the order must be made anew.
func (b *Balancer) change(members []Member) bool {
	if b.plain || len(members) > fewChanges || b.running == nil {
		return false
	}
	var came []*server
	moved, ejected := false, b.pool.ejected > 0
	for _, m := range members {
		old := b.servers[m.Server]
		was := old != nil && old.Availability == Running
		var former Member
		if old != nil {
			former = old.Member
		}
		b.listed(m)
		s := b.servers[m.Server]
		is := s != nil && s.Availability == Running
		if was && is && old == s && former.Zone == s.Zone && former.Kind == s.Kind && slices.Equal(former.Pools, s.Pools) {
			continue // its weight and cell count for nothing in the order
		}
		if was {
			b.leave(former)
			came = slices.DeleteFunc(came, func(c *server) bool { return c == old })
			moved = true
		}
		if is {
			part := b.part(s.Zone)
			i, _ := byID(*part, s.Server)
			*part = slices.Insert(*part, i, s)
			b.running[s.Zone]++
			came = append(came, s)
			moved, ejected = true, ejected || s.health.out
		}
	}
	if !moved {
		return true
	}
	b.forgetRetired()
	former := b.order[:b.ownUntil]
	b.arrange()
	b.fit(former, came, ejected)
	return true
}

// leave takes a server that ran out of its part of the order.
func (b *Balancer) leave(m Member) {
	part := b.part(m.Zone)
	if i, ok := byID(*part, m.Server); ok {
		*part = slices.Delete(*part, i, i+1)
	}
	if b.running[m.Zone]--; b.running[m.Zone] <= 0 {
		delete(b.running, m.Zone)
	}
}

func (b *Balancer) part(zone string) *[]*server {
	if zone == b.set.Zone {
		return &b.own
	}
	return &b.others
}

// arrange lays the parts out as the order. The former order's memory is used again by the next call but
// one, so that a change among many servers allocates nothing.
func (b *Balancer) arrange() {
	next := b.spare[:0]
	for _, part := range [...][]*server{b.own, b.others} {
		k := b.startAt(len(part))
		next = append(append(next, part[k:]...), part[:k]...)
	}
	b.spare, b.order = b.order, next
	b.zoned, b.zones = len(b.own), len(b.running)
	b.forget()
}

// fit does for those that came, and those that the own walk's start has gained or lost, what reorder
// does for all. former is that start as it was.
func (b *Balancer) fit(former, came []*server, ejected bool) {
	bound := b.placeFew(came)
	end := b.ownEnd()
	start := b.order[:end]
	if len(former) < b.ownAll || end < b.zoned { // else all of the own zone were in it, and still are
		for _, s := range start {
			s.mark = true
		}
		for _, s := range former {
			if !s.mark && s.Availability == Running && b.servers[s.Server] == s { // a former process stays as it was
				s.own = false
			}
		}
		for _, s := range start {
			s.mark = false
			b.settleAt(s, true)
		}
	}
	at := make(map[*server]int, len(came))
	for _, s := range came {
		i, ok := find(b.order[:b.zoned], s)
		if !ok {
			i, _ = find(b.order[b.zoned:], s)
			i += b.zoned
		}
		at[s] = i
	}
	slices.SortFunc(came, func(x, y *server) int { return at[x] - at[y] })
	for _, s := range came {
		b.settleAt(s, at[s] < end)
	}
	b.ownUntil, b.ownAll = end, b.zoned
	if ejected || bound || b.pool.ejected > 0 {
		b.countEjected()
	}
}

// placeFew lays down what classes servers that came are open to, and tells whether a class is bound:
// its servers are then picked out anew.
func (b *Balancer) placeFew(came []*server) (bound bool) {
	for _, s := range came {
		s.safest = Never
	}
	for _, c := range b.ranked {
		bound = bound || c.bound()
		for _, s := range came {
			if c.permits(s) {
				s.safest = max(s.safest, c.Repeat)
			}
		}
	}
	for _, c := range b.retired {
		bound = bound || c.bound()
	}
	if bound {
		b.place()
	}
	return bound
}
