package lease

import (
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// MaxClockDrift is how much faster than another a clock may run, as a fraction, while a lease is valid.
const MaxClockDrift = 0.2

const (
	// expiryMarginDivisor is the part of a lease's duration that is waited for beyond the drift.
	expiryMarginDivisor = 20
	// unsafeExpiryDivisor is the part of a lease's duration after which it expires with SkipExpiryDelay.
	unsafeExpiryDivisor = 4
)

// ExpiryDelay returns how long a process has to see no renewal, by its own clock, before a lease of a duration has
// expired for certain: the duration, the drift, and a margin of a twentieth.
func ExpiryDelay(duration time.Duration) time.Duration {
	drift := time.Duration(MaxClockDrift * float64(duration))
	return duration + drift + duration/expiryMarginDivisor
}

// ExpiryTracker tells which leases have expired. Each member of the consensus group has one, so that a new leader
// need not start to wait: it has seen the renewals itself, at the earliest when they were agreed on, which is after
// their holders have asked for them. It is not safe for concurrent use.
type ExpiryTracker struct {
	Unsafe   UnsafeOptions
	observed map[string]observation // by resource
}

// observation is the newest renewal of a lease that the tracker has seen.
type observation struct {
	token    fleet.FencingToken
	renewals uint64
	seenAt   time.Duration
	duration time.Duration
}

// Observe records the leases of a state. now is the time of the caller's monotonic clock.
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

// Expired returns an entry for each lease that has expired, ordered by resource. Only the leader proposes them.
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
