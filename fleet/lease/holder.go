package lease

import (
	"time"

	"cobaltward/fleet"
)

// Divisors of the lease duration. Each quotient is an interval that determines when a holder makes requests or stops
// acting.
const (
	responseTimeoutDivisor = 2  // time after which a request without an answer may be repeated
	renewalDivisor         = 4  // time from one renewal to the next
	conflictBackoffDivisor = 4  // backoff while another holder has the lease
	lostBackoffDivisor     = 10 // backoff after the lease was lost
	unknownBackoffDivisor  = 20 // backoff after a request of unknown outcome
	safetyMarginDivisor    = 10 // minimum remaining time of the lease for the holder to act
)

// Holder is a process that holds the lease of a resource or competes for it. All times are those of the process's own
// monotonic clock. Holder is not safe for concurrent use.
type Holder struct {
	Resource string
	Identity string // identifies this incarnation of the process; see fleet.Entry.Holder
	Duration time.Duration
	Unsafe   UnsafeOptions

	token        fleet.FencingToken // token of the lease; 0: not held
	expiresAt    time.Duration      // time from which the process must not act
	requestedAt  time.Duration      // time of the newest request
	inFlight     bool               // whether the newest request has no answer yet
	nextRequest  time.Duration      // earliest time of the next request
	steppingDown bool
	newestToken  fleet.FencingToken // highest token so far; a late answer must not bring back an older token
	releasing    fleet.FencingToken // token of the lease that is being released; nothing may be done under it
}

// NextProposal returns the entry to propose at now. ok is false if there is nothing to propose.
func (h *Holder) NextProposal(now time.Duration) (entry fleet.Entry, ok bool) {
	awaitingAnswer := h.inFlight && now-h.requestedAt < h.Duration/responseTimeoutDivisor
	if awaitingAnswer || now < h.nextRequest {
		return entry, false
	}
	if h.token != 0 && now >= h.expiresAt {
		h.token = 0 // the lease may still be in the log
	}
	// The holder stops before it proposes the release: after the release another holder may act at once.
	if h.steppingDown && h.token != 0 {
		h.releasing, h.token = h.token, 0
	}
	if h.steppingDown && (h.releasing == 0 || now >= h.expiresAt) {
		return entry, false
	}
	h.requestedAt, h.inFlight = now, true
	return h.proposal(), true
}

// proposal returns the entry that releases, requests or renews the lease.
func (h *Holder) proposal() fleet.Entry {
	if h.steppingDown {
		return fleet.Entry{Kind: fleet.KindReleaseLease, Resource: h.Resource, FencingToken: h.releasing}
	}
	if h.token == 0 {
		h.releasing = 0
		return fleet.Entry{
			Kind:          fleet.KindGrantLease,
			Resource:      h.Resource,
			Holder:        h.Identity,
			LeaseDuration: h.Duration,
		}
	}
	return fleet.Entry{Kind: fleet.KindRenewLease, Resource: h.Resource, FencingToken: h.token}
}

// HandleResult records the outcome, at now, of an entry that was proposed at requestedAt. If known is false, the
// outcome is unknown and result is ignored.
func (h *Holder) HandleResult(requestedAt, now time.Duration, entry fleet.Entry, result fleet.Result, known bool) {
	if requestedAt == h.requestedAt {
		h.inFlight = false
	}
	switch {
	case !known:
		h.nextRequest = max(h.nextRequest, now+h.Duration/unknownBackoffDivisor)
	case entry.Kind == fleet.KindReleaseLease: // the lease is released or was lost before
		if entry.FencingToken == h.releasing {
			h.releasing = 0
		}
	case result.Err != nil:
		h.handleRejection(now, entry)
	default:
		h.handleAcceptance(requestedAt, now, entry, result)
	}
}

func (h *Holder) handleRejection(now time.Duration, entry fleet.Entry) {
	if entry.Kind == fleet.KindGrantLease {
		h.nextRequest = now + h.Duration/conflictBackoffDivisor
		return
	}
	if entry.FencingToken == h.token {
		h.token = 0
	}
	h.nextRequest = now + h.Duration/lostBackoffDivisor
}

func (h *Holder) handleAcceptance(requestedAt, now time.Duration, entry fleet.Entry, result fleet.Result) {
	validFrom := requestedAt
	if h.Unsafe.CountFromResponse {
		validFrom = now
	}
	switch {
	case entry.Kind == fleet.KindGrantLease:
		if result.FencingToken <= h.newestToken || h.steppingDown {
			return
		}
		h.newestToken, h.token = result.FencingToken, result.FencingToken
		h.expiresAt = validFrom + h.Duration
	case entry.Kind == fleet.KindRenewLease && entry.FencingToken == h.token:
		h.expiresAt = max(h.expiresAt, validFrom+h.Duration)
	default:
		return
	}
	h.nextRequest = requestedAt + h.Duration/renewalDivisor
}

// FencingToken returns the token under which the process may act at now. ok is false if the process must not act: it
// holds no lease, steps down, or has no more than a tenth of the lease duration left.
func (h *Holder) FencingToken(now time.Duration) (token fleet.FencingToken, ok bool) {
	if h.token == 0 || h.steppingDown || now >= h.expiresAt-h.Duration/safetyMarginDivisor {
		return 0, false
	}
	return h.token, true
}

// SetStepDown sets whether the holder steps down. A holder that steps down releases the lease, does not request it
// again, and must not act.
func (h *Holder) SetStepDown(stepDown bool) {
	if h.steppingDown != stepDown {
		h.steppingDown, h.nextRequest = stepDown, 0
	}
}

// HoldsLease reports whether the process holds the lease, as far as the process knows.
func (h *Holder) HoldsLease() bool { return h.token != 0 }
