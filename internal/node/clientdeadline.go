package node

import (
	"sync"
	"time"
)

// readPhase is what a client's connection is read for.
type readPhase int

const (
	phaseIdle readPhase = iota // for the first byte of a request
	phaseHead                  // for the rest of a request's head
	phaseOpen                  // for the body of a request, or while a request is answered
)

// pauseCounter measures for how long the node's process was paused, as pausedetector.Detector does.
type pauseCounter interface {
	// Begin begins a use, which End ends, and returns what Paused does.
	Begin() time.Duration
	End()
	// Paused returns the sum of all pauses so far that were within a use.
	Paused() time.Duration
}

// readDeadline determines until when a client's connection is read. Idle connections, new ones included, have a time of
// their own, and a head has one from its first byte. While a request is open, the deadline that net/http or a handler
// has set applies. It is safe for concurrent use.
type readDeadline struct {
	set    func(t time.Time) error // sets the deadline of the connection; does not block
	pauses pauseCounter

	mu        sync.Mutex
	phase     readPhase
	phaseEnd  time.Time // of phaseIdle, phaseHead and the first read of a body in phaseOpen; zero: none
	requested time.Time // by net/http or a handler, or from pace; zero: none
	pace      bodyPace
	closeBy   time.Time // by which the client has to close its side; zero: it need not
	final     time.Time // takes the place of all others; zero: it does not
	current   time.Time // as last set
}

// request sets the deadline that net/http or a handler wants; the zero time is none.
func (d *readDeadline) request(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested, d.pace = t, bodyPace{}
	if !t.IsZero() {
		d.endBodyBoundLocked()
	}
	return d.updateLocked()
}

// paceBody takes the place of request for the reads of a body, from the next read on.
func (d *readDeadline) paceBody(limits paceLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pace.active() {
		d.pace.pausedBefore = d.pauses.Paused()
	}
	d.pace.paceLimits, d.pace.renew = limits, true
	d.endBodyBoundLocked()
}

// noteBytes has the next read of a body begin its time anew.
func (d *readDeadline) noteBytes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pace.renew = true
}

// beginRead begins a read of the connection. It returns true if that is paced: endPacedRead has to follow.
func (d *readDeadline) beginRead() (paced bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pace.active() {
		return false
	}
	paused := d.pauses.Begin()
	if d.pace.renew {
		d.pace.renew = false
		d.pace.stallBegan, d.pace.pausedBeforeStall = time.Now(), paused
		d.paceLocked(d.pace.stallBegan, paused)
	}
	return true
}

// endPacedRead ends a paced read.
func (d *readDeadline) endPacedRead() { d.pauses.End() }

// extendRead gives a paced read that has timed out the time for which the node was paused in it. It returns false if
// there is none left.
func (d *readDeadline) extendRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.pace.active() {
		return false
	}
	now := time.Now()
	d.paceLocked(now, d.pauses.Paused())
	return d.current.After(now)
}

// paceLocked sets the deadline of a paced read. paused is what pauses has counted so far.
func (d *readDeadline) paceLocked(now time.Time, paused time.Duration) {
	d.requested = d.pace.readDeadline(now, paused)
	_ = d.updateLocked()
}

// beginIdle begins phaseIdle. Its deadline is set by the next call of apply or request.
func (d *readDeadline) beginIdle(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase, d.phaseEnd = phaseIdle, time.Now().Add(timeout)
}

// apply sets the deadline of a phase that has begun.
func (d *readDeadline) apply() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.updateLocked()
}

// beginHead begins phaseHead, unless that has begun.
func (d *readDeadline) beginHead(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.phase == phaseHead {
		return
	}
	d.phase, d.phaseEnd = phaseHead, time.Now().Add(timeout)
	_ = d.updateLocked()
}

// beginOpen begins phaseOpen, unless that has begun. withinBody says that a body is not whole: until a handler bounds
// its reads, they are bounded by bodyTimeout.
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
	_ = d.updateLocked()
}

// endBodyBoundLocked has the handler's bounds of a body take the place of bodyTimeout.
func (d *readDeadline) endBodyBoundLocked() {
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

// interrupt ends the read in progress, and fails those that follow.
func (d *readDeadline) interrupt() { d.beginClose(time.Now()) }

// setFinal has t alone apply from now on.
func (d *readDeadline) setFinal(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = t
	_ = d.updateLocked()
}

// withinHead reports whether a part of a head has been read.
func (d *readDeadline) withinHead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.phase == phaseHead
}

// updateLocked sets the earliest of the deadlines that apply. It returns an error only after a close.
func (d *readDeadline) updateLocked() error {
	deadline := earlierDeadline(earlierDeadline(d.requested, d.phaseEnd), d.closeBy)
	if !d.final.IsZero() {
		deadline = d.final
	}
	if deadline.Equal(d.current) {
		return nil
	}
	d.current = deadline
	return d.set(deadline)
}

// earlierDeadline returns the earlier of two deadlines; the zero time is none.
func earlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
