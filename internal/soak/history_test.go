package soak

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Bounds that the operators' rules set, each with some tolerance for a busy machine.
const (
	machineSlack  = 150 * time.Millisecond
	responseSlack = 500*time.Millisecond + machineSlack // time after its deadline in which a request may be answered
	closeSlack    = 100*time.Millisecond + machineSlack // time after a client's close in which an attempt may arrive
	deadlineSlack = 150*time.Millisecond + machineSlack // how much longer a server's deadline may be than the client's
)

// kernelClockTick is the coarsest resolution with which the kernel records the times of a connection.
const kernelClockTick = 10 * time.Millisecond

// requestRecord is what clients and servers have recorded about one request.
type requestRecord struct {
	class    string
	deadline time.Duration
	sent     time.Time // when the client was about to write its last byte
	closedAt time.Time // when its client closed the connection; zero if the client did not
	attempts []attemptRecord
	rejected time.Time // when the client read its rejection; zero if it was not rejected
	// rejectedAt is when the rejection's last byte arrived in the kernel. The client may have read it later.
	rejectedAt time.Time
}

// attemptRecord is one attempt that a server has received.
type attemptRecord struct {
	at     time.Time
	notRun bool
}

// history is what the clients and servers of a run have recorded, and the violations of rules found in it. Its methods
// other than addViolationf are safe for concurrent use.
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
// of the attempt. unread is the time between the arrival of the last byte in the kernel and the read.
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

// arrivedBeforeRejection reports whether an attempt, read by a server at the time now, arrived in the kernel before
// the rejection of its request did. unread is the time between the arrival of its last byte in the kernel and the
// read.
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

// recordNotRun records, just before the server responds, that an attempt did not run.
func (h *history) recordNotRun(id string, attempt int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.requests[id]; r != nil {
		r.attempts[attempt].notRun = true
	}
}

// recordResponse records a complete response. unread is the time between the arrival of its last byte in the kernel
// and the read.
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
// request. It is a violation unless allowed is set.
func (h *history) recordClosedBeforeFirstRequest(allowed bool, rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts["closed before the first request"]++
	if !allowed {
		h.addViolationf("a connection was closed while its client rested for %v before its first request", rest)
	}
}

// recordNoResponse records that a connection ended without a response. That is a violation, unless the connection was
// closed before any server received the request, and either mayBeClosedUnread or descriptorsFull is set: when idle
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
