// Package dropoverload decides which requests are rejected when the control plane asks to drop a fraction of the
// requests of a pool (drop_overloads in Envoy). It does no I/O and keeps no state. All nodes make the same decision
// for a request id.
package dropoverload

import "math"

// Fractions holds, by pool, the fraction (0 to 1) of requests to drop.
type Fractions map[string]float64

// ShouldDrop reports whether to drop the request id. pool is the pool of the class of the request. An empty pool
// means that the class has no pool. Its requests are never dropped.
func (f Fractions) ShouldDrop(pool, id string) bool {
	fraction := f[pool]
	return fraction > 0 && pool != "" && Fraction(id) < fraction
}

// Equal reports whether f and other drop the same fractions. A pool with fraction 0 equals a missing pool.
func (f Fractions) Equal(other Fractions) bool {
	return f.includes(other) && other.includes(f)
}

func (f Fractions) includes(other Fractions) bool {
	for pool, fraction := range other {
		if f[pool] != fraction {
			return false
		}
	}
	return true
}

// Merge combines the fractions of several sources. Each pool gets its highest fraction in any source.
func Merge(sources ...Fractions) Fractions {
	merged := make(Fractions)
	for _, source := range sources {
		for pool, fraction := range source {
			merged[pool] = max(merged[pool], fraction)
		}
	}
	return merged
}

// Parameters of 64-bit FNV-1a, and of the finalizer of MurmurHash3.
const (
	fnvOffset         = 14695981039346656037
	fnvPrime          = 1099511628211
	murmurMultiplier1 = 0xff51afd7ed558ccd
	murmurMultiplier2 = 0xc4ceb9fe1a85ec53
	murmurShift       = 33
	mantissaBits      = 53
	discardedHashBits = 64 - mantissaBits
)

// Fraction maps a request id to a value in [0, 1). The values are evenly distributed and the same on every node.
// FNV-1a alone spreads consecutive ids badly, because they differ only in their last bits. Fraction therefore applies
// the finalizer of MurmurHash3 to the result.
func Fraction(id string) float64 {
	hash := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		hash = (hash ^ uint64(id[i])) * fnvPrime
	}
	hash = (hash ^ hash>>murmurShift) * murmurMultiplier1
	hash = (hash ^ hash>>murmurShift) * murmurMultiplier2
	hash ^= hash >> murmurShift
	return math.Ldexp(float64(hash>>discardedHashBits), -mantissaBits)
}
