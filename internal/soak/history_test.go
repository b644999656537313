package soak

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Bounds that the operators' terms set, each with some time for a busy machine.
const (
	machineSlack  = 150 * time.Millisecond
	responseSlack = 500*time.Millisecond + machineSlack // after a request's deadline, until its response is lost
	closeSlack    = 100*time.Millisecond + machineSlack // after a client's close, in which an attempt may begin
	deadlineSlack = 150*time.Millisecond + machineSlack // of a server's deadline beyond the client's
)

// kernelClockTick is the longest tick of the clock by which the kernel keeps the times of a connection.
const kernelClockTick = 10 * time.Millisecond

// requestRecord is what clients and servers have recorded of one request.
type requestRecord struct {
	class    string
	deadline time.Duration
	sent     time.Time // its last byte was written
	closedAt time.Time // its client has closed the connection; zero: it has not
	attempts []attemptRecord
	rejected time.Time // its rejection was read; zero: none was
	// rejectedAt is when the kernel had the rejection's last byte; the client may have read it late.
	rejectedAt time.Time
}

// attemptRecord is one attempt that a server has received.
type attemptRecord struct {
	at     time.Time
	notRun bool
}

// history is what clients and servers of a run have recorded, and what of it violates a rule. It is safe for concurrent
// use.
type history struct {
	mu         sync.Mutex
	requests   map[string]*requestRecord
	violations []string
	counts     map[string]int
}

func newHistory() *history {
	return &history{requests: make(map[string]*requestRecord), counts: make(map[string]int)}
}

func (h *history) violatef(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[what]++
}

// recordRequest records a request whose last byte is about to be written.
func (h *history) recordRequest(id, class string, deadline time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id] = &requestRecord{class: class, deadline: deadline, sent: time.Now()}
	h.counts["requests"]++
}

// recordClose records that a client closes its connection.
func (h *history) recordClose(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[id].closedAt = time.Now()
	h.counts["clients left"]++
}

// recordAttempt records that a server has received a request completely, with a deadline, and returns the number of the
// attempt. unread is how long before that the kernel had its last byte.
func (h *history) recordAttempt(id string, deadline, unread time.Duration) (number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, r := time.Now(), h.requests[id]
	if r == nil {
		h.violatef("%s was sent by no client", id)
		return 0
	}
	h.counts["attempts"]++
	if left := r.deadline - now.Sub(r.sent); deadline > left+deadlineSlack {
		h.violatef("%s: a server got a deadline of %v, its client has %v left", id, deadline, left)
	}
	if !r.closedAt.IsZero() && now.Sub(r.closedAt) > closeSlack {
		h.violatef("%s: an attempt came %v after its client had disconnected", id, now.Sub(r.closedAt))
	}
	if !r.rejected.IsZero() && !r.arrivedBeforeRejection(now, unread) {
		h.violatef("%s (%s): an attempt came %v after it was rejected; its last byte had come %v before it was read",
			id, r.class, now.Sub(r.rejected), unread)
	}
	if r.class == bookingClass && r.mayHaveRun() {
		h.violatef("%s of a class that must not run twice: attempt %d", id, len(r.attempts))
	}
	r.attempts = append(r.attempts, attemptRecord{at: now})
	return len(r.attempts) - 1
}

// arrivedBeforeRejection reports whether the kernel had an attempt before the rejection that was read ahead of it: a
// server that reads late, at now, has had its last byte for the time unread.
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

// recordNotRun records that a server is about to respond that an attempt did not run.
func (h *history) recordNotRun(id string, attempt int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.requests[id]; r != nil {
		r.attempts[attempt].notRun = true
	}
}

// recordResponse records a complete response. unread is how long the kernel had had its last byte when it was read.
func (h *history) recordResponse(id string, status int, unread time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.requests[id]
	h.counts[fmt.Sprint("answered ", status)]++
	if late := time.Since(r.sent) - r.deadline; late > responseSlack {
		h.violatef("%s: answered with %d, %v after its deadline", id, status, late)
	}
	if status == 429 || status == 503 {
		r.rejected = time.Now()
		r.rejectedAt = r.rejected.Add(-unread)
		if r.class == bookingClass && r.mayHaveRun() {
			h.violatef("%s: rejected with %d, and may have run", id, status)
		}
	}
}

// recordClosedAtRest records that the node closed a connection whose client rested ahead of its first request.
func (h *history) recordClosedAtRest(allowed bool, rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts["closed at rest"]++
	if !allowed {
		h.violatef("a connection was closed within %v of rest ahead of its first request", rest)
	}
}

// recordNoResponse records that a connection ended without a response. A request that crosses the close of an idle
// connection may be sent again, if no server has received it; one on a new connection is lost, unless idle clients fill
// the descriptors: then new connections may be closed unread.
func (h *history) recordNoResponse(id string, reused, crowded bool, cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.requests[id]
	closedUnread := !errors.Is(cause, os.ErrDeadlineExceeded) && len(r.attempts) == 0
	if closedUnread && (reused || crowded) {
		h.counts["closed unread"]++
		return
	}
	h.violatef("%s: lost %v after it was sent, of %v; on a connection used before: %v; at %d servers: %v",
		id, time.Since(r.sent), r.deadline, reused, len(r.attempts), cause)
}
