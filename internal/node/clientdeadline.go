package node

import (
	"sync"
	"time"
)

// readPhase is the part of a request that reads of a client's connection wait for.
type readPhase int

const (
	phaseIdle readPhase = iota // waits for the first byte of a request
	phaseHead                  // waits for the rest of a request's head
	phaseOpen                  // reads the body of a request, or a request is being answered
)

// readDeadline sets the read deadline of a client's connection. Idle connections, including new ones, have an idle
// timeout, and the head of a request has a timeout that starts with its first byte. While a request is open, the
// deadline that net/http or a handler has set applies. It is safe for concurrent use.
type readDeadline struct {
	set    func(t time.Time) error // sets the deadline of the connection; does not block
	pauses pauseCounter

	mu             sync.Mutex
	phase          readPhase
	phaseEnd       time.Time     // end of phaseIdle, of phaseHead, or of the first read of a body in phaseOpen; zero: none
	headTimeout    clientTimeout // timeout of phaseHead
	requested      time.Time     // set by net/http or a handler, or derived from body; zero: none
	body           bodyReads
	ended          bool      // no more requests are read: the connection is closed or lingers
	countingPauses bool      // pauses.Begin was called, and pauses.End was not
	closeBy        time.Time // when the client must have closed its side; zero: no such limit
	finalDeadline  time.Time // replaces all other deadlines; zero: they apply
	current        time.Time // deadline that was set last
}

// setRequested sets the deadline that net/http or a handler requests; the zero time removes it.
func (d *readDeadline) setRequested(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested, d.body = t, bodyReads{}
	d.updatePauseCountingLocked()
	if !t.IsZero() {
		d.clearBodyTimeoutLocked()
	}
	return d.updateLocked()
}

// limitBody replaces the requested deadline with limits for the reads of a body, from the next read on.
func (d *readDeadline) limitBody(limits bodyReadLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.body.active()
	d.body.bodyReadLimits, d.body.restartStall = limits, true
	d.updatePauseCountingLocked()
	if first {
		d.body.pausedBefore = d.pauses.Paused()
	}
	d.clearBodyTimeoutLocked()
}

// restartStallTimeout makes the next read of a body restart the timeout for its next bytes.
func (d *readDeadline) restartStallTimeout() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.body.restartStall = true
}

// beginRead updates the deadline of a body. It is called before each read of a connection that is not idle.
func (d *readDeadline) beginRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.body.active() {
		return
	}
	if d.body.restartStall {
		d.body.restartStall = false
		d.body.stallTimeout = beginClientTimeout(d.body.timeout, d.pauses)
	}
	d.requested = d.body.readDeadline(time.Now(), d.pauses.Paused())
	_ = d.updateLocked()
}

// updatePauseCountingLocked starts or stops the counting of pauses, which is needed while a head or a body is read.
func (d *readDeadline) updatePauseCountingLocked() {
	wanted := !d.ended && (d.phase == phaseHead || d.body.active())
	switch {
	case wanted && !d.countingPauses:
		d.pauses.Begin()
	case !wanted && d.countingPauses:
		d.pauses.End()
	}
	d.countingPauses = wanted
}

// end stops the counting of pauses for good: no more requests are read.
func (d *readDeadline) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	d.updatePauseCountingLocked()
}

// extendRead extends the deadline of a timed-out read within a request by the time for which the node was paused. It
// returns false if that leaves no time.
func (d *readDeadline) extendRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, paused := time.Now(), d.pauses.Paused()
	switch {
	case d.phase == phaseHead:
		d.phaseEnd = d.headTimeout.deadline(now, paused)
	case d.body.active():
		d.requested = d.body.readDeadline(now, paused)
	default:
		return false
	}
	_ = d.updateLocked()
	return d.current.After(now)
}

// beginIdle begins phaseIdle. Its deadline takes effect with the next call of apply or setRequested.
func (d *readDeadline) beginIdle(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase, d.phaseEnd = phaseIdle, time.Now().Add(timeout)
	d.updatePauseCountingLocked()
}

// apply sets the deadline of a phase that beginIdle has begun.
func (d *readDeadline) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.updateLocked()
}

// beginHead begins phaseHead, unless it has already begun.
func (d *readDeadline) beginHead(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == phaseHead {
		return
	}
	d.phase = phaseHead
	d.updatePauseCountingLocked()
	d.headTimeout = beginClientTimeout(timeout, d.pauses)
	d.phaseEnd = d.headTimeout.deadline(time.Now(), d.pauses.Paused())
	_ = d.updateLocked()
}

// beginOpen begins phaseOpen, unless it has already begun. withinBody says that the body is not complete: until a
// handler limits its reads, bodyTimeout does.
func (d *readDeadline) beginOpen(withinBody bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !withinBody:
		d.phaseEnd = time.Time{}
	case d.phase != phaseOpen:
		d.phaseEnd = time.Now().Add(bodyTimeout)
	}
	d.phase = phaseOpen
	d.updatePauseCountingLocked()
	_ = d.updateLocked()
}

// clearBodyTimeoutLocked removes the limit of bodyTimeout, once a handler has set its own limits for a body.
func (d *readDeadline) clearBodyTimeoutLocked() {
	if d.phase == phaseOpen {
		d.phaseEnd = time.Time{}
	}
}

// beginClose gives the client until t to close its side.
func (d *readDeadline) beginClose(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeBy = t
	_ = d.updateLocked()
}

// interrupt makes the read in progress, and all later ones, fail with a timeout.
func (d *readDeadline) interrupt() { d.beginClose(time.Now()) }

// setFinal makes t the only deadline from now on.
func (d *readDeadline) setFinal(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finalDeadline = t
	_ = d.updateLocked()
}

// withinHead reports whether the head of a request has been read in part.
func (d *readDeadline) withinHead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase == phaseHead
}

// updateLocked sets the earliest of the deadlines that apply. It fails only if the connection is closed.
func (d *readDeadline) updateLocked() error {
	deadline := earlierDeadline(earlierDeadline(d.requested, d.phaseEnd), d.closeBy)
	if !d.finalDeadline.IsZero() {
		deadline = d.finalDeadline
	}
	if deadline.Equal(d.current) {
		return nil
	}
	d.current = deadline
	return d.set(deadline)
}

// earlierDeadline returns the earlier of two deadlines; the zero time means no deadline.
func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
