package http1

import (
	"sync"
	"time"
)

// pauseCounter measures how long this process was paused. pausedetector.Detector implements it.
type pauseCounter interface {
	// Begin starts the measurement of pauses. Calls may nest. Each call needs a call of End.
	Begin()
	End()
	// Paused returns the total time of all pauses so far between a Begin and its End.
	Paused() time.Duration
}

// writeStallGuard aborts a write to a server that makes no progress within a timeout. Pauses of this process do not
// count toward the timeout, because the server gets nothing to read during a pause. A plain write deadline would not
// work. It can pass during a pause, and package net then fails the write without trying the socket. The methods are
// safe for concurrent use.
type writeStallGuard struct {
	timeout          time.Duration
	pauses           pauseCounter
	setWriteDeadline func(t time.Time) error // SetWriteDeadline of the connection

	mu                 sync.Mutex
	timer              *time.Timer   // calls check
	writing            bool          // whether a write is in progress
	writeStartedAt     time.Time     // start of the write in progress
	pausedAtWriteStart time.Duration // pauses.Paused() at the start of the write in progress
	stopped            bool
}

// newWriteStallGuard returns a guard for the writes to c. The caller must call stop.
func newWriteStallGuard(c *conn, timeout time.Duration, pauses pauseCounter) *writeStallGuard {
	guard := &writeStallGuard{timeout: timeout, pauses: pauses, setWriteDeadline: c.SetWriteDeadline}
	pauses.Begin()
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.timer = time.AfterFunc(timeout, guard.check)
	return guard
}

// beginWrite must be called before each write.
func (g *writeStallGuard) beginWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = true
	g.pausedAtWriteStart = g.pauses.Paused() // before the clock: a pause in between extends the timeout
	g.writeStartedAt = time.Now()
}

// endWrite must be called after each write.
func (g *writeStallGuard) endWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
}

// check aborts the write in progress if the write has exceeded the timeout. If not, check sets the timer again.
func (g *writeStallGuard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	left := g.timeout
	if g.writing {
		now := time.Now()
		left = g.writeStartedAt.Add(g.timeout + g.pauses.Paused() - g.pausedAtWriteStart).Sub(now)
	}
	if left > 0 {
		g.timer.Reset(left)
		return
	}
	_ = g.setWriteDeadline(time.Now()) // fails only after a close
}

// stop ends the guard, and removes the write deadline of the connection.
func (g *writeStallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
	g.pauses.End()
	_ = g.setWriteDeadline(time.Time{}) // fails only after a close
}
