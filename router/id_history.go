package router

import (
	"maps"
	"slices"
	"time"

	"cobaltward/policy"
)

const (
	// idRetention is the minimum time for which the ID of an ended request is remembered, unless too many IDs arrive.
	idRetention = 10 * time.Second
	// maxIDsPerGeneration limits the memory. Once the current generation holds this many IDs, the previous generation
	// is dropped early.
	maxIDsPerGeneration = 1 << 15
)

// idHistory remembers the ID of each recently ended request, for one to two times idRetention. It has two
// generations, and drops the older generation as a whole. Its memory is therefore bounded, and it never searches for
// expired IDs. It stores hashes of the IDs to save memory.
type idHistory struct {
	rotatedAt         policy.Time // start of the current generation
	current, previous map[uint64]struct{}
}

// add remembers the ID with the given hash.
func (h *idHistory) add(hash uint64, now policy.Time) {
	h.expire(now)
	if h.current == nil || len(h.current) >= maxIDsPerGeneration {
		h.rotate(now)
	}
	h.current[hash] = struct{}{}
}

// contains reports whether the ID with the given hash is remembered.
func (h *idHistory) contains(hash uint64, now policy.Time) bool {
	h.expire(now)
	if _, ok := h.current[hash]; ok {
		return true
	}
	_, ok := h.previous[hash]
	return ok
}

// keys returns the hashes of the remembered IDs.
func (h *idHistory) keys(now policy.Time) []uint64 {
	h.expire(now)
	return slices.AppendSeq(slices.Collect(maps.Keys(h.previous)), maps.Keys(h.current))
}

// len returns the number of remembered IDs.
func (h *idHistory) len() int { return len(h.current) + len(h.previous) }

// expire drops the generations whose time has passed. Generations begin at fixed times, so that sparse requests do not
// extend the time for which an ID is remembered.
func (h *idHistory) expire(now policy.Time) {
	switch age := now - h.rotatedAt; {
	case h.current == nil || age < idRetention:
	case age < 2*idRetention:
		h.rotate(h.rotatedAt + idRetention)
	default:
		h.current, h.previous = nil, nil
	}
}

// rotate begins a new generation at the time at.
func (h *idHistory) rotate(at policy.Time) {
	h.previous = h.current
	h.current = make(map[uint64]struct{})
	h.rotatedAt = at
}
