package router

import (
	"hash/maphash"
	"time"

	"cobaltward/policy"
)

const (
	// idRetention is the minimum time for which a request ID is remembered, unless too many IDs arrive.
	idRetention = 10 * time.Second
	// maxIDsPerGeneration limits the memory. Once the current generation holds this many IDs, the previous generation
	// is dropped early.
	maxIDsPerGeneration = 1 << 15
)

// idHistory remembers the ID of each recent request, for one to two times idRetention. It has two generations, and
// drops the older generation as a whole. Its memory is therefore bounded, and it never searches for expired IDs. It
// stores hashes of the IDs to save memory.
type idHistory struct {
	seed              maphash.Seed
	rotatedAt         policy.Time // start of the current generation
	current, previous map[uint64]struct{}
}

// add remembers id. It returns false if id is remembered already.
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
