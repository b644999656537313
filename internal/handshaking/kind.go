package handshaking

import (
	"slices"
	"time"
)

// Bounds of the histogram of handshakes, each the most that its count holds; the last count is of what took longer.
var Bounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
}

// Kind is the figures of full handshakes, or of those that took a session up again.
type Kind struct {
	Count  uint64        `json:"count"`
	Time   time.Duration `json:"time_ns"` // of all together, the waiting for the server and for the core among it
	Worked time.Duration `json:"work_ns"` // that the arithmetic here took
	Within []uint64      `json:"within"`  // by Bounds
}

// Add notes one handshake.
func (k *Kind) Add(took, worked time.Duration) {
	if k.Within == nil {
		k.Within = make([]uint64, len(Bounds)+1)
	}
	k.Count++
	k.Time += took
	k.Worked += worked
	i, _ := slices.BinarySearch(Bounds, took)
	k.Within[i]++
}

// Clone is a copy that nobody changes.
func (k Kind) Clone() Kind {
	k.Within = slices.Clone(k.Within)
	return k
}
