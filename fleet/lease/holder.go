package lease

import (
	"time"

	"cobaltward/fleet"
)

// Parts of a lease's duration, as divisors, by which a holder times its requests.
const (
	responseTimeoutDivisor = 2  // a request without an answer is given up, and may be repeated
	renewalDivisor         = 4  // from one renewal to the next
	conflictBackoffDivisor = 4  // after another holder was found to have the lease
	lostBackoffDivisor     = 10 // after the lease was found to be lost
	unknownBackoffDivisor  = 20 // after a request whose outcome is unknown
	safetyMarginDivisor    = 10 // before its end, when the holder stops acting
)

// Holder is one process that wants, has, or has lost the lease of a resource. Times are of the process's own
// monotonic clock. It is not safe for concurrent use.
type Holder struct {
	Resource string
	Identity string // of this incarnation of the process; see fleet.Entry.Holder
	Duration time.Duration
	Unsafe   UnsafeOptions

	token        fleet.FencingToken // of the lease; 0: it has none
	expiresAt    time.Duration      // it may act before this
	requestedAt  time.Duration      // of the newest request
	inFlight     bool               // the newest request has no answer yet
	nextRequest  time.Duration      // no request before this
	steppingDown bool
	newestToken  fleet.FencingToken // the highest one it has had: a late answer does not give it an older one back
	releasing    fleet.FencingToken // given up: the release is requested, and nothing is done under it any more
}

// NextProposal returns the entry to propose now; ok is false if there is none.
func (h *Holder) NextProposal(now time.Duration) (entry fleet.Entry, ok bool) {
	awaitingAnswer := h.inFlight && now-h.requestedAt < h.Duration/responseTimeoutDivisor
	if awaitingAnswer || now < h.nextRequest {
		return entry, false
	}
	if h.token != 0 && now >= h.expiresAt {
		h.token = 0 // whatever the log says
	}
	if h.steppingDown && h.token != 0 { // before the release is proposed: then another holder may begin at once
		h.releasing, h.token = h.token, 0
	}
	if h.steppingDown && (h.releasing == 0 || now >= h.expiresAt) {
		return entry, false
	}
	h.requestedAt, h.inFlight = now, true
	return h.proposal(), true
}

// proposal returns the entry that the holder's condition asks for.
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

// HandleResult records the outcome of an entry proposed at requestedAt. known is false where the outcome is unknown;
// result then counts for nothing.
func (h *Holder) HandleResult(requestedAt, now time.Duration, entry fleet.Entry, result fleet.Result, known bool) {
	if requestedAt == h.requestedAt {
		h.inFlight = false
	}
	switch {
	case !known:
		h.nextRequest = max(h.nextRequest, now+h.Duration/unknownBackoffDivisor)
	case entry.Kind == fleet.KindReleaseLease: // released, or lost before
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

// FencingToken returns the token to act under now; ok is false where the process must not act, or should stop since
// less than a tenth of the lease is left.
func (h *Holder) FencingToken(now time.Duration) (token fleet.FencingToken, ok bool) {
	if h.token == 0 || h.steppingDown || now >= h.expiresAt-h.Duration/safetyMarginDivisor {
		return 0, false
	}
	return h.token, true
}

// SetStepDown has the holder release the lease, and not ask for it until it is set to false. The holder may not act
// in the meantime.
func (h *Holder) SetStepDown(stepDown bool) {
	if h.steppingDown != stepDown {
		h.steppingDown, h.nextRequest = stepDown, 0
	}
}

// HoldsLease reports whether the process has the lease, as far as it knows.
func (h *Holder) HoldsLease() bool { return h.token != 0 }
