// Package dropoverload decides which requests are rejected because the control plane asks for a fraction of a pool's
// requests to be dropped (Envoy's drop_overloads). It does no I/O and keeps no state: all nodes decide alike on a
// request id.
package dropoverload

import "math"

// Fractions are the fractions of requests that are to be dropped, 0 to 1, by pool.
type Fractions map[string]float64

// ShouldDrop reports whether to drop the request with an id, of a class that is bound to a pool. Requests of classes
// that are bound to no pool, for which pool is empty, are never dropped.
func (f Fractions) ShouldDrop(pool, id string) bool {
	fraction := f[pool]
	return fraction > 0 && pool != "" && Fraction(id) < fraction
}

// Equal reports whether two tables have the same fractions. One of 0 is the same as none.
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

// Merge returns what several sources ask for together: for each pool, the highest fraction.
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
	fnvOffset       = 14695981039346656037
	fnvPrime        = 1099511628211
	murmurFirst     = 0xff51afd7ed558ccd
	murmurSecond    = 0xc4ceb9fe1a85ec53
	murmurShift     = 33
	mantissaBits    = 53
	discardedOfHash = 64 - mantissaBits
)

// Fraction maps a request id to [0, 1): evenly, and alike at every node. FNV-1a alone would not do, since ids that
// count up differ in their last bits only.
func Fraction(id string) float64 {
	hash := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		hash = (hash ^ uint64(id[i])) * fnvPrime
	}
	hash = (hash ^ hash>>murmurShift) * murmurFirst
	hash = (hash ^ hash>>murmurShift) * murmurSecond
	hash ^= hash >> murmurShift
	return math.Ldexp(float64(hash>>discardedOfHash), -mantissaBits)
}
