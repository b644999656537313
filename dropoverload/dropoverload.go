// Package drops decides which requests are turned away because whoever runs the servers has asked for a
// part of a pool's requests to be dropped (Envoy's drop_overloads). It does no I/O and keeps no state: the
// same id meets the same fate at every node.
package dropoverload

import "math"

// Fractions are the parts of the requests to be dropped, 0 to 1, by pool.
type Fractions map[string]float64

// ShouldDrop tells whether the request of that id, of a class that is bound to pool, is to be dropped. Classes
// bound to no pool have none of it.
func (p Fractions) ShouldDrop(pool, id string) bool {
	part := p[pool]
	return part > 0 && pool != "" && fraction(id) < part
}

// Equal tells whether two tables say the same.
func (p Fractions) Equal(q Fractions) bool {
	for pool, part := range p {
		if q[pool] != part {
			return false
		}
	}
	for pool, part := range q {
		if p[pool] != part {
			return false
		}
	}
	return true
}

// Merge is what several sources ask for together: of a pool that more than one speaks of, the most.
func Merge(all ...Fractions) Fractions {
	joined := make(Fractions)
	for _, p := range all {
		for pool, part := range p {
			joined[pool] = max(joined[pool], part)
		}
	}
	return joined
}

// Fraction is where an id falls between 0 and 1: the same at every node.
func Fraction(id string) float64 { return fraction(id) }

// fraction spreads ids evenly over 0 to 1: FNV-1a, then the finalizer of MurmurHash3, for ids that count
// up differ in their last bits only.
func fraction(id string) float64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return math.Ldexp(float64((h^h>>33)>>11), -53)
}
