package lease

import (
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// MaxClockDrift is the fraction by which one clock may run faster than another while a lease is valid.
const MaxClockDrift = 0.2

const (
	// expiryMarginDivisor sets the margin that is added to the delay of an expiry: the lease's duration divided by it.
	expiryMarginDivisor = 20
	// unsafeExpiryDivisor sets the delay of an expiry with SkipExpiryDelay: the lease's duration divided by it.
	unsafeExpiryDivisor = 4
)

// ExpiryDelay returns how long a process must see no renewal, by its own clock, before a lease of a duration has
// expired for certain: the duration, the maximum clock drift, and a margin of a twentieth of the duration.
func ExpiryDelay(duration time.Duration) time.Duration {
	drift := time.Duration(MaxClockDrift * float64(duration))
	return duration + drift + duration/expiryMarginDivisor
}

// ExpiryTracker determines which leases have expired. Each member of the consensus group has one, so that a new leader
// need not begin a wait of its own: it has observed the renewals itself. It observes a renewal when it applies the
// entry, which is always after the holder's request. ExpiryTracker is not safe for concurrent use.
type ExpiryTracker struct {
	Unsafe   UnsafeOptions
	observed map[string]observation // by resource
}

// observation is the newest renewal of a lease that the tracker has seen, and when it was first seen.
type observation struct {
	token    fleet.FencingToken
	renewals uint64
	seenAt   time.Duration
	duration time.Duration
}

// Observe records the leases and renewals of a state. now is the time of the caller's monotonic clock.
func (t *ExpiryTracker) Observe(state *fleet.State, now time.Duration) {
	if t.observed == nil {
		t.observed = make(map[string]observation)
	}
	for resource := range t.observed {
		if _, ok := state.Leases[resource]; !ok {
			delete(t.observed, resource)
		}
	}
	for resource, current := range state.Leases {
		seen, ok := t.observed[resource]
		if !ok || seen.token != current.FencingToken || seen.renewals != current.Renewals {
			t.observed[resource] = observation{current.FencingToken, current.Renewals, now, current.Duration}
		}
	}
}

// Expired returns an entry that ends each lease that has expired, ordered by resource. Only the leader proposes them.
func (t *ExpiryTracker) Expired(now time.Duration) []fleet.Entry {
	var expired []fleet.Entry
	for _, resource := range slices.Sorted(maps.Keys(t.observed)) {
		seen := t.observed[resource]
		if now-seen.seenAt < t.delay(seen.duration) {
			continue
		}
		expired = append(expired, fleet.Entry{
			Kind:         fleet.KindExpireLease,
			Resource:     resource,
			FencingToken: seen.token,
			Argument:     seen.renewals,
		})
	}
	return expired
}

func (t *ExpiryTracker) delay(duration time.Duration) time.Duration {
	if t.Unsafe.SkipExpiryDelay {
		return duration / unsafeExpiryDivisor
	}
	return ExpiryDelay(duration)
}
