package lease

import (
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// MaxClockDrift is the maximum fraction by which one clock may run faster than another while a lease is valid.
const MaxClockDrift = 0.2

const (
	// expiryMarginDivisor sets the margin in the delay of an expiry: the lease duration divided by expiryMarginDivisor.
	expiryMarginDivisor = 20
	// unsafeExpiryDivisor sets the delay of an expiry with SkipExpiryDelay: the lease duration divided by
	// unsafeExpiryDivisor.
	unsafeExpiryDivisor = 4
)

// ExpiryDelay returns the time after which a lease of the given duration has expired for certain. A process measures
// this time by its own clock, from the last renewal that the process has seen. The delay is the sum of the duration,
// the maximum clock drift and a margin of a twentieth of the duration.
func ExpiryDelay(duration time.Duration) time.Duration {
	drift := time.Duration(MaxClockDrift * float64(duration))
	return duration + drift + duration/expiryMarginDivisor
}

// ExpiryTracker determines which leases have expired. Each member of the consensus group has a tracker, so a new
// leader has observed the renewals itself and need not wait for the full expiry delay again. A member observes a
// renewal when it applies the entry, which is always after the holder's request. ExpiryTracker is not safe for
// concurrent use.
type ExpiryTracker struct {
	Unsafe   UnsafeOptions
	observed map[string]observation // by resource
}

// observation is the newest renewal of a lease that the tracker has seen, and the time when it was first seen.
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

// Expired returns, ordered by resource, the entries that end the leases that have expired at now. Only the leader
// proposes these entries.
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
