package rollout

import (
	"maps"
	"time"
)

// Divisors of the duration of a version lease. Each quotient is an interval that determines when a process makes
// requests.
const (
	responseTimeoutDivisor = 4 // time after which a request without an answer may be repeated
	renewalDivisor         = 3 // time from one renewal to the next
)

// VersionLease is the time-limited right of one process to act on one version of each artifact. All times are those
// of the process's own monotonic clock. VersionLease is not safe for concurrent use.
type VersionLease struct {
	Duration time.Duration
	Unsafe   UnsafeOptions

	versions    VersionVector // nil: no lease granted yet
	expiresAt   time.Duration
	requestedAt time.Duration // time of the newest request
	inFlight    bool          // whether the newest request has no answer yet
	nextRequest time.Duration // earliest time of the next request for the same versions
}

// NextRequest returns the versions for which to request a lease at now. desired are the versions on which the process
// should act. ok is false if there is nothing to request.
func (l *VersionLease) NextRequest(now time.Duration, desired VersionVector) (versions VersionVector, ok bool) {
	if l.inFlight && now-l.requestedAt < l.Duration/responseTimeoutDivisor {
		return nil, false
	}
	if now < l.nextRequest && maps.Equal(desired, l.versions) {
		return nil, false
	}
	l.requestedAt, l.inFlight = now, true
	return desired.Clone(), true
}

// HandleResult records the answer, at now, to a request for versions that was made at requestedAt. A granted lease
// replaces the current lease if it expires later, or if it answers the newest request and has other versions. After
// that the process acts only on the new versions.
func (l *VersionLease) HandleResult(requestedAt, now time.Duration, versions VersionVector, granted bool) {
	newest := requestedAt == l.requestedAt
	if newest {
		l.inFlight = false
	}
	if !granted {
		return
	}
	validFrom := requestedAt
	if l.Unsafe.CountFromResponse {
		validFrom = now
	}
	expiresAt := validFrom + l.Duration
	if expiresAt > l.expiresAt || newest && !maps.Equal(versions, l.versions) {
		l.versions, l.expiresAt = versions, expiresAt
	}
	l.nextRequest = requestedAt + l.Duration/renewalDivisor
}

// Valid returns the versions on which the process may act at now. ok is false if there is no valid lease. Without a
// valid lease the process must not act and must accept no work.
func (l *VersionLease) Valid(now time.Duration) (versions VersionVector, ok bool) {
	return l.versions, l.versions != nil && now < l.expiresAt
}
