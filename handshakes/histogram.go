package handshakes

import (
	"slices"
	"time"
)

// HistogramBounds of the histogram of handshakes, each the most that its count holds; the last count is of what took longer.
var HistogramBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
}

// Histogram is the figures of full handshakes, or of those that took a session up again.
type Histogram struct {
	Count  uint64        `json:"count"`
	TotalTime   time.Duration `json:"time_ns"` // of all together, the waiting for the server and for the core among it
	ComputeTime time.Duration `json:"work_ns"` // that the arithmetic here took
	Buckets []uint64      `json:"within"`  // by Bounds
}

// Observe notes one handshake.
func (k *Histogram) Observe(took, worked time.Duration) {
	if k.Buckets == nil {
		k.Buckets = make([]uint64, len(HistogramBounds)+1)
	}
	k.Count++
	k.TotalTime += took
	k.ComputeTime += worked
	i, _ := slices.BinarySearch(HistogramBounds, took)
	k.Buckets[i]++
}

// Clone is a copy that nobody changes.
func (k Histogram) Clone() Histogram {
	k.Buckets = slices.Clone(k.Buckets)
	return k
}
