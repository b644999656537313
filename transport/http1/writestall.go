package http1

import (
	"sync"
	"time"
)

// pauseCounter measures for how long this process was paused, as pausedetector.Detector does.
type pauseCounter interface {
	// Begin begins a use, which End ends.
	Begin()
	End()
	// Paused returns the sum of all pauses so far that were within a use.
	Paused() time.Duration
}

// writeStallGuard ends a write to a server that makes no progress for a time. A write deadline would count the time for
// which this process was paused, in which a server can take nothing that is not written, and package net looks at it
// before the socket. All methods are safe for concurrent use.
type writeStallGuard struct {
	timeout          time.Duration
	pauses           pauseCounter
	setWriteDeadline func(t time.Time) error // of the connection

	mu           sync.Mutex
	timer        *time.Timer // calls check
	writing      bool
	began        time.Time     // the write
	pausedBefore time.Duration // pauses before began
	stopped      bool
}

// newWriteStallGuard returns a guard, which stop ends.
func newWriteStallGuard(c *conn, timeout time.Duration, pauses pauseCounter) *writeStallGuard {
	guard := &writeStallGuard{timeout: timeout, pauses: pauses, setWriteDeadline: c.SetWriteDeadline}
	pauses.Begin()
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.timer = time.AfterFunc(timeout, guard.check)
	return guard
}

// beginWrite begins a write.
func (g *writeStallGuard) beginWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = true
	g.pausedBefore = g.pauses.Paused() // ahead of began: a pause between the two is not the server's
	g.began = time.Now()
}

// endWrite ends a write.
func (g *writeStallGuard) endWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
}

// check ends the write in progress if its time is over.
func (g *writeStallGuard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	left := g.timeout
	if g.writing {
		now := time.Now()
		left = g.began.Add(g.timeout + g.pauses.Paused() - g.pausedBefore).Sub(now)
	}
	if left > 0 {
		g.timer.Reset(left)
		return
	}
	_ = g.setWriteDeadline(time.Now()) // fails only after a close
}

// stop ends the guard, and leaves the connection without a write deadline.
func (g *writeStallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
	g.pauses.End()
	_ = g.setWriteDeadline(time.Time{}) // fails only after a close
}
