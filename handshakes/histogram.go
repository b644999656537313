package handshakes

import (
	"slices"
	"time"
)

// HistogramBounds are the inclusive upper bounds of the buckets of a Histogram. A Histogram has one more bucket, the
// last, without an upper bound.
var HistogramBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
}

// Histogram is the distribution of the durations of handshakes. Full and resumed handshakes have separate histograms.
// Histogram is not safe for concurrent use.
type Histogram struct {
	Count       uint64        `json:"count"`
	TotalTime   time.Duration `json:"time_ns"` // including waits for the peer and for the CPU
	ComputeTime time.Duration `json:"work_ns"` // time of the computations on this side
	Buckets     []uint64      `json:"within"`  // number of handshakes by bucket, in the order of HistogramBounds
}

// Observe records a handshake with its duration and computeTime.
func (h *Histogram) Observe(duration, computeTime time.Duration) {
	if h.Buckets == nil {
		h.Buckets = make([]uint64, len(HistogramBounds)+1)
	}
	h.Count++
	h.TotalTime += duration
	h.ComputeTime += computeTime
	i, _ := slices.BinarySearch(HistogramBounds, duration)
	h.Buckets[i]++
}

// Clone returns a copy that shares no memory with h.
func (h Histogram) Clone() Histogram {
	h.Buckets = slices.Clone(h.Buckets)
	return h
}
