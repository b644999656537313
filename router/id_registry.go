package router

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"cobaltward/policy"
)

// idRegistry knows the request IDs that must not be accepted: the IDs of open requests, and the IDs of requests that
// have ended recently. The policy would never answer a second request with the ID of an open request, and a request
// with the ID of an earlier request may run twice. The methods are safe for concurrent use.
type idRegistry struct {
	now func() policy.Time

	mu     sync.Mutex
	open   map[uint64]*IDReservation // IDs in use, by hash; bounded by the number of open requests
	recent idHistory
	locker IDLocker // nil: no other process uses IDs
	stats  IDStats
}

// IDLocker lets several processes agree on the IDs in use. Its methods must not block. They are called one at a time.
type IDLocker interface {
	// TryLock locks id. It returns false if another process has locked id.
	TryLock(id string) bool
	// Unlock unlocks id, which may not be locked.
	Unlock(id string)
}

// IDRecorder is an optional interface of an IDLocker. Its method must not block, and is not called concurrently with
// those of the IDLocker.
type IDRecorder interface {
	// Record tells the other processes the keys of requests that may run. They must not accept them, also when the
	// requests and this process have ended.
	Record(keys ...uint64)
}

// IDKey returns the key of a request ID, which is the same in all processes. It is a part of a cryptographic hash, so
// that no client can make the IDs of others conflict.
func IDKey(id string) uint64 {
	hash := sha256.Sum256([]byte(id))
	return binary.NativeEndian.Uint64(hash[:])
}

// IDStats holds the statistics of request IDs.
type IDStats struct {
	Open            int    // IDs in use now
	Remembered      int    // IDs of ended requests that are remembered now
	OpenConflicts   uint64 // requests rejected because their ID was in use
	RecentConflicts uint64 // requests rejected because their ID was used recently
}

func newIDRegistry(now func() policy.Time) *idRegistry {
	return &idRegistry{now: now, open: make(map[uint64]*IDReservation)}
}

// reserve marks id as in use. It returns nil if id is in use or was used recently, unless unique is false.
func (r *idRegistry) reserve(id string, unique bool) *IDReservation {
	hash := IDKey(id)
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if unique && !r.acquireLocked(id, hash, now) {
		return nil
	}
	reservation := &IDReservation{registry: r, id: id, hash: hash}
	r.open[hash] = reservation
	return reservation
}

// acquireLocked reports whether id, which has the given hash, is free in this process and in all others. It counts a
// conflict. r.mu is held.
func (r *idRegistry) acquireLocked(id string, hash uint64, now policy.Time) bool {
	switch {
	case r.open[hash] != nil:
		r.stats.OpenConflicts++
	case r.recent.contains(hash, now):
		r.stats.RecentConflicts++
	case r.locker != nil && !r.locker.TryLock(id):
		r.stats.OpenConflicts++
	default:
		return true
	}
	return false
}

// share makes the registry lock all IDs in use with locker, now and later. If locker is nil, the registry unlocks
// them.
func (r *idRegistry) share(locker IDLocker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.locker
	r.locker = locker
	for _, reservation := range r.open {
		if previous != nil {
			previous.Unlock(reservation.id)
		}
		if locker != nil {
			_ = locker.TryLock(reservation.id) // if another process has it locked, both have accepted it already
		}
	}
	r.recordLocked(r.usedKeysLocked()...)
}

// usedKeysLocked returns the keys of the requests that may have run, as far as they are known. r.mu is held.
func (r *idRegistry) usedKeysLocked() (keys []uint64) {
	for key, reservation := range r.open {
		if reservation.admitted {
			keys = append(keys, key)
		}
	}
	return append(keys, r.recent.keys(r.now())...)
}

// recordLocked tells the other processes the keys of requests that may run. r.mu is held.
func (r *idRegistry) recordLocked(keys ...uint64) {
	if recorder, ok := r.locker.(IDRecorder); ok && len(keys) > 0 {
		recorder.Record(keys...)
	}
}

// snapshot returns the current statistics.
func (r *idRegistry) snapshot() IDStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.Open, stats.Remembered = len(r.open), r.recent.len()
	return stats
}

// IDReservation keeps a request ID in use from the arrival of the request's head until the last byte of the answer. It
// is safe for concurrent use.
type IDReservation struct {
	registry *idRegistry
	id       string
	hash     uint64

	// Guarded by registry.mu.
	admitted bool // whether the request may run; the ID is then remembered after its release
	released bool

	// Guarded by registry.mu; set by begin.
	inFlight *counters // counts the request as in flight until the release; nil: not passed to Do
}

// ReserveID marks id as in use. A Frontend calls it as soon as it knows the ID of a request, passes the reservation
// to Do, and releases it after the last byte of the answer. ReserveID returns nil if id is in use, or was used by a
// request that has ended recently. The request must then be answered with Conflict, see RejectDuplicate.
func (r *Router) ReserveID(id string) *IDReservation { return r.loop.reserveID(id) }

// ShareIDs makes the router lock its IDs in use with locker, so that other processes don't accept requests with these
// IDs, and this router none with theirs. IDs that are only remembered are not shared. A nil locker ends this.
func (r *Router) ShareIDs(locker IDLocker) { r.loop.ids.share(locker) }

// RejectDuplicate counts a request of class whose ID ReserveID has not reserved, and returns the answer.
func (r *Router) RejectDuplicate(class string) Answer {
	r.loop.counters.count(class, Conflict)
	return Answer{Outcome: Conflict}
}

// Release ends the use of the ID. If the request was admitted, the ID is remembered for some time. Otherwise the
// client may send the request again. Calls after the first one do nothing, and neither does a call for nil.
func (r *IDReservation) Release() {
	if r == nil {
		return
	}
	if counters := r.release(); counters != nil {
		counters.inFlight.Add(-1)
	}
}

// release does the part of Release that needs the registry. It returns the counters that count the request as in
// flight, or nil.
func (r *IDReservation) release() *counters {
	registry := r.registry
	now := registry.now()
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if r.released {
		return nil
	}
	r.released = true
	delete(registry.open, r.hash)
	if registry.locker != nil {
		registry.locker.Unlock(r.id)
	}
	if r.admitted {
		registry.recent.add(r.hash, now)
	}
	return r.inFlight
}

// begin counts the request with the given ID as in flight until the release. It returns false if the reservation is
// for another ID, was released, or was passed to Do before.
func (r *IDReservation) begin(id string, counters *counters) bool {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	if r.id != id || r.released || r.inFlight != nil {
		return false
	}
	r.inFlight = counters
	counters.accepted.Add(1)
	counters.inFlight.Add(1)
	return true
}

// admit records that the request may run. The caller of Do may have released the ID already.
func (r *IDReservation) admit(now policy.Time) {
	registry := r.registry
	registry.mu.Lock()
	defer registry.mu.Unlock()
	r.admitted = true
	registry.recordLocked(r.hash)
	if r.released {
		registry.recent.add(r.hash, now)
	}
}
