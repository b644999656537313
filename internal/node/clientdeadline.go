package node

import (
	"sync"
	"time"
)

// readPhase says which part of a request the reads of a client's connection wait for.
type readPhase int

const (
	phaseIdle readPhase = iota // waiting for the first byte of a request
	phaseHead                  // waiting for the rest of a request's head
	phaseOpen                  // reading the body of a request, or waiting for its answer
)

// readDeadline sets the read deadline of a client's connection. Idle connections, including new ones, have an idle
// timeout. The head of a request has a timeout that starts with its first byte. While a request is open, the deadline
// of net/http or of a handler applies. readDeadline is safe for concurrent use.
type readDeadline struct {
	set    func(t time.Time) error // sets the deadline of the connection; does not block
	pauses pauseCounter

	mu             sync.Mutex
	phase          readPhase
	phaseEnd       time.Time     // deadline of phaseIdle, of phaseHead, or of a body in phaseOpen; zero: none
	headTimeout    clientTimeout // timeout of phaseHead
	requested      time.Time     // deadline from net/http, a handler or body; zero: none
	body           bodyReads
	ended          bool      // whether the connection is closed or lingers; no more requests are read
	countingPauses bool      // whether a pauses.Begin has no pauses.End yet
	closeBy        time.Time // deadline for the client to close its side; zero: none
	finalDeadline  time.Time // replaces all other deadlines; zero: not set
	current        time.Time // last deadline set on the connection
}

// setRequested sets the deadline t that net/http or a handler requests. The zero time removes the deadline.
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

// limitBody replaces the requested deadline with limits for the reads of a body. The limits apply from the next read
// on.
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

// restartStallTimeout restarts the timeout for the next bytes of a body at the next read.
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

// updatePauseCountingLocked starts or stops the counting of pauses. Pauses are counted while a head or a body is
// read.
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

// end stops the counting of pauses for good. It is called when no more requests are read.
func (d *readDeadline) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	d.updatePauseCountingLocked()
}

// extendRead extends the deadline of a timed-out read within a request by the duration of the node's pauses. It
// returns false if no time is left or no request is being read.
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

// apply sets the deadline of phaseIdle, which beginIdle has begun.
func (d *readDeadline) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.updateLocked()
}

// beginHead begins phaseHead, unless phaseHead has already begun.
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

// beginOpen begins phaseOpen, unless phaseOpen has already begun. withinBody is true if the body is incomplete.
// bodyTimeout limits the reads of the body until a handler sets its own limits.
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

// clearBodyTimeoutLocked removes the limit of bodyTimeout. It is called once a handler has set its own limits.
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

// interrupt makes the current read and all later reads fail with a timeout.
func (d *readDeadline) interrupt() { d.beginClose(time.Now()) }

// setFinal makes t the only deadline. It replaces all earlier and later deadlines.
func (d *readDeadline) setFinal(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finalDeadline = t
	_ = d.updateLocked()
}

// withinHead reports whether a part of a request's head has been read.
func (d *readDeadline) withinHead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase == phaseHead
}

// updateLocked sets the earliest of the applicable deadlines. It fails only if the connection is closed.
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

// earlierDeadline returns the earlier of a and b. The zero time means no deadline.
func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
