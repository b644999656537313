package router

import (
	"hash/maphash"
	"time"

	"cobaltward/policy"
)

const (
	// idRetention is the minimum time for which a request ID is remembered, unless too many IDs arrive.
	idRetention = 10 * time.Second
	// maxIDsPerGeneration limits the memory: once a generation holds as many IDs, the previous one is dropped early.
	maxIDsPerGeneration = 1 << 15
)

// idHistory remembers the IDs of recent requests, for between idRetention and twice that. It has two generations and
// drops the older one as a whole, so that it neither grows nor has to be searched for expired IDs. It stores hashes
// of the IDs to save memory.
type idHistory struct {
	seed              maphash.Seed
	rotatedAt         policy.Time // when the current generation began
	current, previous map[uint64]struct{}
}

// add remembers an ID; it returns false if the ID is remembered already.
func (h *idHistory) add(id string, now policy.Time) bool {
	if h.current == nil || now-h.rotatedAt >= idRetention || len(h.current) >= maxIDsPerGeneration {
		h.previous = h.current
		h.current = make(map[uint64]struct{})
		h.rotatedAt = now
	}
	hash := maphash.String(h.seed, id)
	_, inCurrent := h.current[hash]
	_, inPrevious := h.previous[hash]
	h.current[hash] = struct{}{}
	return !inCurrent && !inPrevious
}
