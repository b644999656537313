package model

import (
	"hash/fnv"
	"math"
)

// Dist is the shape of a distribution of work.
type Dist uint8

// The distributions.
const (
	Fixed Dist = iota
	Exponential
	Lognormal
	Pareto
)

// Work is the distribution of the work that the requests of one class cause.
type Work struct {
	Dist Dist
	Mean float64 // seconds of a core of speed 1
	CV   float64 // coefficient of variation, used by Lognormal and Pareto
}

// Draw returns the work of the request with the given ID. The work depends only on w, the seed and the ID.
func (w Work) Draw(seed uint64, id string) float64 {
	u := Uniform(seed, id)
	switch w.Dist {
	case Exponential:
		return -w.Mean * math.Log1p(-u)
	case Lognormal:
		sigma := math.Sqrt(math.Log1p(w.CV * w.CV))
		return w.Mean * math.Exp(sigma*math.Sqrt2*math.Erfinv(2*u-1)-sigma*sigma/2)
	case Pareto: // the coefficient of variation determines the shape
		shape := 1 + math.Sqrt(1+1/(w.CV*w.CV))
		return w.Mean * (shape - 1) / shape * math.Pow(1-u, -1/shape)
	}
	return w.Mean
}

// Uniform returns a number between 0 and 1, exclusive, that depends only on the seed and the ID.
func Uniform(seed uint64, id string) float64 {
	hash := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(seed >> (8 * i))
	}
	_, _ = hash.Write(b[:]) // a hash's Write never fails
	_, _ = hash.Write([]byte(id))
	x := hash.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>12) + 0.5) / (1 << 52)
}
