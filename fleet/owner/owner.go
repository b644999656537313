// Package owner decides who may act for the fleet, and what a receiver lets through. It does no I/O and reads no clock.
//
// It stands processes that stop and wake up, messages that come late, twice or never, and a council that is away: who
// can't renew stops. It trusts that no clock runs more than Drift faster or slower than another while a lease lasts:
// then no two owners act at once. Where that is broken, a receiver still takes nothing by an old owner after anything
// by a newer one: for that no clock is trusted, only the receiver's memory. From an answer that never came nothing
// follows; a lease is counted from before the asking, so an answer that comes late is worth less, never more.
package owner

import (
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// Drift is how much faster than another a clock may run.
const Drift = 0.2

// Wait is how long a lease is waited for by the clock of who waits, from when the last renewal was seen.
func Wait(lease time.Duration) time.Duration {
	return lease + time.Duration(Drift*float64(lease)) + lease/20
}

// Guards are what ownership rests on, for rehearsals to take one away. The zero value is whole.
type Guards struct {
	NoToken    bool // receivers let any token through, and ask nothing of the log
	NoWait     bool // a lease is over for the council after a quarter of it
	FromAnswer bool // a holder counts its lease from the answer
	Late       bool // a step is written down only once it has been done
}

// Lessor tells which leases are over. Each member of the council has one, so that a new leader need not begin to wait
// anew: it has seen the renewals itself, at the earliest when they were agreed on, and that is after they were asked for.
type Lessor struct {
	Guards Guards
	seen   map[string]lease
}

type lease struct {
	token    fleet.FencingToken
	renewals uint64
	since    time.Duration
	length   time.Duration
}

// Observe tells of a state. now is of a monotonic clock.
func (l *Lessor) Observe(s *fleet.State, now time.Duration) {
	if l.seen == nil {
		l.seen = make(map[string]lease)
	}
	for work := range l.seen {
		if _, ok := s.Leases[work]; !ok {
			delete(l.seen, work)
		}
	}
	for work, o := range s.Leases {
		if v, ok := l.seen[work]; !ok || v.token != o.FencingToken || v.renewals != o.Renewals {
			l.seen[work] = lease{o.FencingToken, o.Renewals, now, o.Duration}
		}
	}
}

// Due are the entries that end the leases which are over. Only the leader proposes them.
func (l *Lessor) Due(now time.Duration) (all []fleet.Entry) {
	for _, work := range slices.Sorted(maps.Keys(l.seen)) {
		v := l.seen[work]
		wait := Wait(v.length)
		if l.Guards.NoWait {
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
	Work   string
	Name   string // of this run of the process
	Lease  time.Duration
	Guards Guards

	token  fleet.FencingToken
	until  time.Duration // it may act before this
	asked  time.Duration // when the ask went out that is under way
	flying bool
	next   time.Duration      // no ask before this
	down   bool               // it steps down
	past   fleet.FencingToken // the newest that it has had: an answer that comes late gives it back no older one
	giving fleet.FencingToken // that it has given up: the council is told, and nothing is done under it any more
}

// Ask is what to propose now; ok is false where nothing is to be asked.
func (h *Holder) Ask(now time.Duration) (e fleet.Entry, ok bool) {
	if h.flying && now-h.asked < h.Lease/2 || now < h.next {
		return e, false
	}
	if h.token != 0 && now >= h.until {
		h.token = 0 // over, whatever the council thinks
	}
	if h.down && h.token != 0 { // before the council may hear of it: another may begin at once then
		h.giving, h.token = h.token, 0
	}
	if h.down && (h.giving == 0 || now >= h.until) {
		return e, false
	}
	h.asked, h.flying = now, true
	switch {
	case h.down:
		return fleet.Entry{Kind: fleet.KindReleaseLease, Resource: h.Work, FencingToken: h.giving}, true
	case h.token == 0:
		h.giving = 0
		return fleet.Entry{Kind: fleet.KindGrantLease, Resource: h.Work, Holder: h.Name, LeaseDuration: h.Lease}, true
	}
	return fleet.Entry{Kind: fleet.KindRenewLease, Resource: h.Work, FencingToken: h.token}, true
}

// Answered tells what came of an ask that went out at asked: r of the council, or known false where nobody can tell.
func (h *Holder) Answered(asked, now time.Duration, e fleet.Entry, r fleet.Result, known bool) {
	if asked == h.asked {
		h.flying = false
	}
	from := asked
	if h.Guards.FromAnswer {
		from = now
	}
	switch {
	case !known:
		h.next = max(h.next, now+h.Lease/20)
	case e.Kind == fleet.KindReleaseLease: // done, or lost already
		if e.FencingToken == h.giving {
			h.giving = 0
		}
	case r.Err != nil && e.Kind == fleet.KindGrantLease:
		h.next = now + h.Lease/4
	case r.Err != nil: // it has been lost, and it is known
		if e.FencingToken == h.token {
			h.token = 0
		}
		h.next = now + h.Lease/10
	case e.Kind == fleet.KindGrantLease:
		if r.FencingToken > h.past && !h.down {
			h.past, h.token, h.until = r.FencingToken, r.FencingToken, from+h.Lease
			h.next = asked + h.Lease/4
		}
	case e.Kind == fleet.KindRenewLease && e.FencingToken == h.token:
		h.until = max(h.until, from+h.Lease)
		h.next = asked + h.Lease/4
	}
}

// Token is the one to act under; ok is false where it must not act, or stops itself since little of the lease is left.
func (h *Holder) Token(now time.Duration) (t fleet.FencingToken, ok bool) {
	if h.token == 0 || h.down || now >= h.until-h.Lease/10 {
		return 0, false
	}
	return h.token, true
}

// StepDown has the holder give the work back, and not ask for it until it is told to. It may not act from then on.
func (h *Holder) StepDown(down bool) {
	if h.down != down {
		h.down, h.next = down, 0
	}
}

// Has tells whether it has the work as far as it knows.
func (h *Holder) Has() bool { return h.token != 0 }
