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

// readDeadline determines until when a client's connection is read. Idle connections, new ones included, have a time of
// their own, and a head has one from its first byte. While a request is open, the deadline that net/http or a handler
// has set applies. It is safe for concurrent use.
type readDeadline struct {
	set    func(t time.Time) error // sets the deadline of the connection; does not block
	pauses pauseCounter

	mu        sync.Mutex
	phase     readPhase
	phaseEnd  time.Time     // of phaseIdle, phaseHead and the first read of a body in phaseOpen; zero: none
	head      clientTimeout // of phaseHead
	requested time.Time     // by net/http or a handler, or from body; zero: none
	body      bodyReads
	ended     bool      // the connection is closed, or lingers
	watching  bool      // uses pauses
	closeBy   time.Time // by which the client has to close its side; zero: it need not
	final     time.Time // takes the place of all others; zero: it does not
	current   time.Time // as last set
}

// request sets the deadline that net/http or a handler wants; the zero time is none.
func (d *readDeadline) request(t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requested, d.body = t, bodyReads{}
	d.updateWatchLocked()
	if !t.IsZero() {
		d.endBodyBoundLocked()
	}
	return d.updateLocked()
}

// limitBody takes the place of request for the reads of a body, from the next read on.
func (d *readDeadline) limitBody(limits bodyReadLimits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := !d.body.active()
	d.body.bodyReadLimits, d.body.renew = limits, true
	d.updateWatchLocked()
	if first {
		d.body.pausedBefore = d.pauses.Paused()
	}
	d.endBodyBoundLocked()
}

// noteBytes has the next read of a body begin its time anew.
func (d *readDeadline) noteBytes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.body.renew = true
}

// beginRead is called before each read of a connection that is not idle.
func (d *readDeadline) beginRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.body.active() {
		return
	}
	if d.body.renew {
		d.body.renew = false
		d.body.stall = beginClientTimeout(d.body.timeout, d.pauses)
	}
	d.requested = d.body.readDeadline(time.Now(), d.pauses.Paused())
	_ = d.updateLocked()
}

// updateWatchLocked has pauses of the node counted while a head or a body is read.
func (d *readDeadline) updateWatchLocked() {
	wanted := !d.ended && (d.phase == phaseHead || d.body.active())
	switch {
	case wanted && !d.watching:
		d.pauses.Begin()
	case !wanted && d.watching:
		d.pauses.End()
	}
	d.watching = wanted
}

// end says that no more requests are read.
func (d *readDeadline) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	d.updateWatchLocked()
}

// extendRead gives a read within a request that has timed out the time for which the node was paused. It returns false
// if there is none left.
func (d *readDeadline) extendRead() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, paused := time.Now(), d.pauses.Paused()
	switch {
	case d.phase == phaseHead:
		d.phaseEnd = d.head.deadline(now, paused)
	case d.body.active():
		d.requested = d.body.readDeadline(now, paused)
	default:
		return false
	}
	_ = d.updateLocked()
	return d.current.After(now)
}

// beginIdle begins phaseIdle. Its deadline is set by the next call of apply or request.
func (d *readDeadline) beginIdle(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.phase, d.phaseEnd = phaseIdle, time.Now().Add(timeout)
	d.updateWatchLocked()
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
	d.phase = phaseHead
	d.updateWatchLocked()
	d.head = beginClientTimeout(timeout, d.pauses)
	d.phaseEnd = d.head.deadline(time.Now(), d.pauses.Paused())
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
	d.updateWatchLocked()
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
