package soak

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Bounds of the operators' rules, each with machineSlack as a tolerance for a busy machine.
const (
	machineSlack  = 150 * time.Millisecond
	responseSlack = 500*time.Millisecond + machineSlack // maximum time from the deadline of a request to its response
	closeSlack    = 100*time.Millisecond + machineSlack // maximum time from a client's close to the arrival of an attempt
	deadlineSlack = 150*time.Millisecond + machineSlack // maximum excess of a server's deadline over the client's
)

// kernelClockTick is the coarsest resolution of the times that the kernel records for a connection.
const kernelClockTick = 10 * time.Millisecond

// requestRecord is the record of one request by its client and by servers.
type requestRecord struct {
	class    string
	deadline time.Duration
	sent     time.Time // time just before the client wrote the last byte
	closedAt time.Time // time at which the client closed the connection; zero: not closed
	attempts []attemptRecord
	rejected time.Time // time at which the client read the rejection; zero: not rejected
	// rejectedAt is the time at which the last byte of the rejection arrived in the kernel. The client may have read
	// the byte later.
	rejectedAt time.Time
}

// attemptRecord is one attempt that a server has received.
type attemptRecord struct {
	at     time.Time
	notRun bool
}

// history holds what the clients and servers of a run recorded, and the violations of rules found in these records.
// Its methods other than addViolationf are safe for concurrent use.
type history struct {
	mu         sync.Mutex
	requests   map[string]*requestRecord
	violations []string
	counts     map[string]int
}

func newHistory() *history {
	return &history{requests: make(map[string]*requestRecord), counts: make(map[string]int)}
}

func (h *history) addViolationf(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[what]++
}

// recordRequest records a request just before its client writes the last byte.
func (h *history) recordRequest(id, class string, deadline time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id] = &requestRecord{class: class, deadline: deadline, sent: time.Now()}
	h.counts["requests"]++
}

// recordClose records that a client closes its connection without waiting for the response.
func (h *history) recordClose(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id].closedAt = time.Now()
	h.counts["requests abandoned"]++
}

// recordAttempt records that a server has received a complete request with the given deadline, and returns the index
// of the attempt. unread is the time between the arrival of the request's last byte in the kernel and the read.
func (h *history) recordAttempt(id string, deadline, unread time.Duration) (number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, r := time.Now(), h.requests[id]
	if r == nil {
		h.addViolationf("%s: a server received a request that no client sent", id)
		return 0
	}
	h.counts["attempts"]++
	if left := r.deadline - now.Sub(r.sent); deadline > left+deadlineSlack {
		h.addViolationf("%s: a server got a deadline of %v, but its client has only %v left", id, deadline, left)
	}
	if !r.closedAt.IsZero() && now.Sub(r.closedAt) > closeSlack {
		h.addViolationf("%s: an attempt arrived %v after the client had disconnected", id, now.Sub(r.closedAt))
	}
	if !r.rejected.IsZero() && !r.arrivedBeforeRejection(now, unread) {
		h.addViolationf("%s (%s): an attempt was read %v after the rejection; its last byte arrived %v before that",
			id, r.class, now.Sub(r.rejected), unread)
	}
	if r.class == bookingClass && r.mayHaveRun() {
		h.addViolationf("%s: non-idempotent, but retried after it may have run: attempt %d", id, len(r.attempts))
	}
	r.attempts = append(r.attempts, attemptRecord{at: now})
	return len(r.attempts) - 1
}

// arrivedBeforeRejection reports whether an attempt arrived in the kernel before the rejection of the request did.
// now is the time at which a server read the attempt. unread is the time between the arrival of the attempt's last
// byte in the kernel and the read.
func (r *requestRecord) arrivedBeforeRejection(now time.Time, unread time.Duration) bool {
	return unread > kernelClockTick && now.Add(-unread).Before(r.rejectedAt.Add(kernelClockTick))
}

func (r *requestRecord) mayHaveRun() bool {
	for _, a := range r.attempts {
		if !a.notRun {
			return true
		}
	}
	return false
}

// recordNotRun records that an attempt did not run. The server calls it just before responding.
func (h *history) recordNotRun(id string, attempt int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.requests[id]; r != nil {
		r.attempts[attempt].notRun = true
	}
}

// recordResponse records a complete response. unread is the time between the arrival of the response's last byte in
// the kernel and the read.
func (h *history) recordResponse(id string, status int, unread time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.requests[id]
	h.counts[fmt.Sprint("answered ", status)]++
	if late := time.Since(r.sent) - r.deadline; late > responseSlack {
		h.addViolationf("%s: answered with status %d, %v after its deadline", id, status, late)
	}
	if status == 429 || status == 503 {
		r.rejected = time.Now()
		r.rejectedAt = r.rejected.Add(-unread)
		if r.class == bookingClass && r.mayHaveRun() {
			h.addViolationf("%s: rejected with status %d, but may have run", id, status)
		}
	}
}

// recordClosedBeforeFirstRequest records that the node closed a connection while its client rested before the first
// request. The close is a violation unless allowed is set.
func (h *history) recordClosedBeforeFirstRequest(allowed bool, rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts["closed before the first request"]++
	if !allowed {
		h.addViolationf("a connection was closed while its client rested for %v before its first request", rest)
	}
}

// recordNoResponse records that a connection ended without a response, because of the read error cause. The missing
// response is a violation if a server received the request or if the read timed out. Otherwise the node closed the
// connection without reading the request. mayBeClosedUnread or descriptorsFull must allow this close. When idle
// clients fill the descriptors, the node may close new connections unread.
func (h *history) recordNoResponse(id string, mayBeClosedUnread, descriptorsFull bool, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.requests[id]
	closedUnread := !errors.Is(cause, os.ErrDeadlineExceeded) && len(r.attempts) == 0
	if closedUnread && (mayBeClosedUnread || descriptorsFull) {
		h.counts["closed unread"]++
		return
	}
	h.addViolationf("%s: no response %v after it was sent (deadline %v); may be closed unread: %v; %d attempts: %v",
		id, time.Since(r.sent), r.deadline, mayBeClosedUnread, len(r.attempts), cause)
}
