// Package lease decides who may act for the fleet, and what a receiver lets through. It does no I/O and reads no clock.
//
// It stands processes that stop and wake up, messages that come late, twice or never, and a council that is away: who
// can't renew stops. It trusts that no clock runs more than Drift faster or slower than another while a lease lasts:
// then no two owners act at once. Where that is broken, a receiver still takes nothing by an old owner after anything
// by a newer one: for that no clock is trusted, only the receiver's memory. From an answer that never came nothing
// follows; a lease is counted from before the asking, so an answer that comes late is worth less, never more.
package lease

import (
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// MaxClockDrift is how much faster than another a clock may run.
const MaxClockDrift = 0.2

// ExpiryDelay is how long a lease is waited for by the clock of who waits, from when the last renewal was seen.
func ExpiryDelay(lease time.Duration) time.Duration {
	return lease + time.Duration(MaxClockDrift*float64(lease)) + lease/20
}

// UnsafeOptions are what ownership rests on, for rehearsals to take one away. The zero value is whole.
type UnsafeOptions struct {
	SkipFencing       bool // receivers let any token through, and ask nothing of the log
	SkipExpiryDelay   bool // a lease is over for the council after a quarter of it
	CountFromResponse bool // a holder counts its lease from the answer
	RecordIntentLate  bool // a step is written down only once it has been done
}

// ExpiryTracker tells which leases are over. Each member of the council has one, so that a new leader need not begin to wait
// anew: it has seen the renewals itself, at the earliest when they were agreed on, and that is after they were asked for.
type ExpiryTracker struct {
	Unsafe   UnsafeOptions
	observed map[string]observation
}

type observation struct {
	token    fleet.FencingToken
	renewals uint64
	since    time.Duration
	length   time.Duration
}

// Observe tells of a state. now is of a monotonic clock.
func (l *ExpiryTracker) Observe(s *fleet.State, now time.Duration) {
	if l.observed == nil {
		l.observed = make(map[string]observation)
	}
	for work := range l.observed {
		if _, ok := s.Leases[work]; !ok {
			delete(l.observed, work)
		}
	}
	for work, o := range s.Leases {
		if v, ok := l.observed[work]; !ok || v.token != o.FencingToken || v.renewals != o.Renewals {
			l.observed[work] = observation{o.FencingToken, o.Renewals, now, o.Duration}
		}
	}
}

// Expired are the entries that end the leases which are over. Only the leader proposes them.
func (l *ExpiryTracker) Expired(now time.Duration) (all []fleet.Entry) {
	for _, work := range slices.Sorted(maps.Keys(l.observed)) {
		v := l.observed[work]
		wait := ExpiryDelay(v.length)
		if l.Unsafe.SkipExpiryDelay {
			wait = v.length / 4
		}
		if now-v.since >= wait {
			all = append(all, fleet.Entry{Kind: fleet.KindExpireLease, Resource: work, FencingToken: v.token, Argument: v.renewals})
		}
	}
	return all
}

// Holder is one process that wants, has or has lost a work. Times are of its own monotonic clock.
type Holder struct {
	Resource string
	Identity string // of this run of the process
	Duration time.Duration
	Unsafe   UnsafeOptions

	token        fleet.FencingToken
	expiresAt    time.Duration // it may act before this
	requestedAt  time.Duration // when the ask went out that is under way
	inFlight     bool
	nextRequest  time.Duration      // no ask before this
	steppingDown bool               // it steps down
	newestToken  fleet.FencingToken // the newest that it has had: an answer that comes late gives it back no older one
	releasing    fleet.FencingToken // that it has given up: the council is told, and nothing is done under it any more
}

// NextProposal is what to propose now; ok is false where nothing is to be asked.
func (h *Holder) NextProposal(now time.Duration) (e fleet.Entry, ok bool) {
	if h.inFlight && now-h.requestedAt < h.Duration/2 || now < h.nextRequest {
		return e, false
	}
	if h.token != 0 && now >= h.expiresAt {
		h.token = 0 // over, whatever the council thinks
	}
	if h.steppingDown && h.token != 0 { // before the council may hear of it: another may begin at once then
		h.releasing, h.token = h.token, 0
	}
	if h.steppingDown && (h.releasing == 0 || now >= h.expiresAt) {
		return e, false
	}
	h.requestedAt, h.inFlight = now, true
	switch {
	case h.steppingDown:
		return fleet.Entry{Kind: fleet.KindReleaseLease, Resource: h.Resource, FencingToken: h.releasing}, true
	case h.token == 0:
		h.releasing = 0
		return fleet.Entry{Kind: fleet.KindGrantLease, Resource: h.Resource, Holder: h.Identity, LeaseDuration: h.Duration}, true
	}
	return fleet.Entry{Kind: fleet.KindRenewLease, Resource: h.Resource, FencingToken: h.token}, true
}

// HandleResult tells what came of an ask that went out at asked: r of the council, or known false where nobody can tell.
func (h *Holder) HandleResult(asked, now time.Duration, e fleet.Entry, r fleet.Result, known bool) {
	if asked == h.requestedAt {
		h.inFlight = false
	}
	from := asked
	if h.Unsafe.CountFromResponse {
		from = now
	}
	switch {
	case !known:
		h.nextRequest = max(h.nextRequest, now+h.Duration/20)
	case e.Kind == fleet.KindReleaseLease: // done, or lost already
		if e.FencingToken == h.releasing {
			h.releasing = 0
		}
	case r.Err != nil && e.Kind == fleet.KindGrantLease:
		h.nextRequest = now + h.Duration/4
	case r.Err != nil: // it has been lost, and it is known
		if e.FencingToken == h.token {
			h.token = 0
		}
		h.nextRequest = now + h.Duration/10
	case e.Kind == fleet.KindGrantLease:
		if r.FencingToken > h.newestToken && !h.steppingDown {
			h.newestToken, h.token, h.expiresAt = r.FencingToken, r.FencingToken, from+h.Duration
			h.nextRequest = asked + h.Duration/4
		}
	case e.Kind == fleet.KindRenewLease && e.FencingToken == h.token:
		h.expiresAt = max(h.expiresAt, from+h.Duration)
		h.nextRequest = asked + h.Duration/4
	}
}

// FencingToken is the one to act under; ok is false where it must not act, or stops itself since little of the lease is left.
func (h *Holder) FencingToken(now time.Duration) (t fleet.FencingToken, ok bool) {
	if h.token == 0 || h.steppingDown || now >= h.expiresAt-h.Duration/10 {
		return 0, false
	}
	return h.token, true
}

// SetStepDown has the holder give the work back, and not ask for it until it is told to. It may not act from then on.
func (h *Holder) SetStepDown(down bool) {
	if h.steppingDown != down {
		h.steppingDown, h.nextRequest = down, 0
	}
}

// HoldsLease tells whether it has the work as far as it knows.
func (h *Holder) HoldsLease() bool { return h.token != 0 }
