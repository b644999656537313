package rollout

import (
	"maps"
	"time"
)

// Parts of a version lease's duration, as divisors, by which a process times its requests.
const (
	responseTimeoutDivisor = 4 // a request without an answer is given up
	renewalDivisor         = 3 // from one renewal to the next
)

// VersionLease lets one process act on versions for a limited time. Times are of the process's own monotonic clock.
// It is not safe for concurrent use.
type VersionLease struct {
	Duration time.Duration
	Unsafe   UnsafeOptions

	versions    VersionVector // nil: it has never had a lease
	expiresAt   time.Duration
	requestedAt time.Duration // of the newest request
	inFlight    bool          // the newest request has no answer yet
	nextRequest time.Duration // no request for the same versions before this
}

// NextRequest returns the versions to ask a lease of now; ok is false if nothing is to be asked. desired is what the
// process should act on.
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

// HandleResult records the answer to a request made at requestedAt. A lease of other versions ends the one before:
// the process acts on the new versions from then on, and on nothing else.
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

// Valid returns the versions that the process may act on; ok is false where it may not act, and must accept no work.
func (l *VersionLease) Valid(now time.Duration) (versions VersionVector, ok bool) {
	return l.versions, l.versions != nil && now < l.expiresAt
}
