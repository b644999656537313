package http1

import (
	"sync"
	"time"
)

// pauseCounter measures for how long this process was paused. pausedetector.Detector implements it.
type pauseCounter interface {
	// Begin starts the measurement of pauses. Calls may nest; each needs a call of End.
	Begin()
	End()
	// Paused returns the total of all pauses so far that fell between a Begin and its End.
	Paused() time.Duration
}

// writeStallGuard aborts a write to a server that makes no progress for a time. A plain write deadline would include
// the time for which this process was paused, in which it wrote nothing that the server could have read; and package
// net checks the deadline before it tries the socket. All methods are safe for concurrent use.
type writeStallGuard struct {
	timeout          time.Duration
	pauses           pauseCounter
	setWriteDeadline func(t time.Time) error // method of the connection

	mu                 sync.Mutex
	timer              *time.Timer   // calls check
	writing            bool          // a write is in progress
	writeStartedAt     time.Time     // when the write in progress began
	pausedAtWriteStart time.Duration // pauses.Paused() when the write in progress began
	stopped            bool
}

// newWriteStallGuard returns a guard for the writes to a connection. The caller has to call stop.
func newWriteStallGuard(c *conn, timeout time.Duration, pauses pauseCounter) *writeStallGuard {
	guard := &writeStallGuard{timeout: timeout, pauses: pauses, setWriteDeadline: c.SetWriteDeadline}
	pauses.Begin()
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.timer = time.AfterFunc(timeout, guard.check)
	return guard
}

// beginWrite has to be called before each write.
func (g *writeStallGuard) beginWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = true
	g.pausedAtWriteStart = g.pauses.Paused() // read before the clock: a pause between the two lines extends the timeout
	g.writeStartedAt = time.Now()
}

// endWrite has to be called after each write.
func (g *writeStallGuard) endWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = false
}

// check aborts the write in progress if it has exceeded the timeout, and otherwise sets the timer again.
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
