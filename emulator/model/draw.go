package model

import (
	"hash/fnv"
	"math"
	"time"
)

// Dist is how the work of a class is spread.
type Dist uint8

// The distributions.
const (
	Fixed Dist = iota
	Exponential
	Lognormal
	Pareto
)

// Work is the work of a class: its mean, and for Lognormal and Pareto its coefficient of variation.
type Work struct {
	Dist Dist
	Mean float64 // seconds of a core of speed 1
	CV   float64
}

// Draw is the work of the request of an id: the same at every replay, and at every server that it reaches.
func (w Work) Draw(seed uint64, id string) float64 {
	u := Uniform(seed, id)
	switch w.Dist {
	case Exponential:
		return -w.Mean * math.Log1p(-u)
	case Lognormal:
		sigma := math.Sqrt(math.Log1p(w.CV * w.CV))
		return w.Mean * math.Exp(sigma*math.Sqrt2*math.Erfinv(2*u-1)-sigma*sigma/2)
	case Pareto: // its shape follows from the coefficient of variation
		shape := 1 + math.Sqrt(1+1/(w.CV*w.CV))
		return w.Mean * (shape - 1) / shape * math.Pow(1-u, -1/shape)
	}
	return w.Mean
}

// Uniform draws a number above 0 and below 1 for an id.
func Uniform(seed uint64, id string) float64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(seed >> (8 * i))
	}
	h.Write(b[:]) // a hash's Write never fails
	h.Write([]byte(id))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return (float64((x^x>>33)>>12) + 0.5) / (1 << 52)
}

// KeyTable is the table of a group of servers, which discards what repeats a key within its window.
type KeyTable struct {
	Window time.Duration
	first  map[string]time.Duration
	order  []string // by time
}

// IsDuplicate tells whether the key was there within the window, and notes it where it was not.
func (k *KeyTable) IsDuplicate(key string, now time.Duration) bool {
	if k.first == nil {
		k.first = make(map[string]time.Duration)
	}
	for len(k.order) > 0 && now-k.first[k.order[0]] >= k.Window {
		delete(k.first, k.order[0])
		k.order = k.order[1:]
	}
	if _, ok := k.first[key]; ok {
		return true
	}
	k.first[key] = now
	k.order = append(k.order, key)
	return false
}
