// Package pausedetector measures for how long this process was kept from running: it was stopped, its machine was
// suspended, or no core was free for it. What a peer did not do in that time says nothing of the peer.
package pausedetector

import (
	"sync"
	"time"
)

const (
	// interval is the time between two looks at the clock.
	interval = 20 * time.Millisecond
	// maxTimerDelay is by how much a look is late in a process that runs.
	maxTimerDelay = 5 * time.Millisecond
)

// Detector looks at the clock in fixed intervals while it is in use; the time by which a look is late is a pause, if it
// is longer than maxTimerDelay. The zero value is ready for use. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	uses    int
	timer   *time.Timer // calls tick; nil: never used
	running bool        // the timer will call tick
	due     time.Time   // of the next look
	paused  time.Duration
}

// Begin begins a use, which End ends.
func (d *Detector) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses++
	if d.running {
		return
	}
	d.running = true
	d.due = time.Now().Add(interval)
	if d.timer == nil {
		d.timer = time.AfterFunc(interval, d.tick)
	} else {
		d.timer.Reset(interval)
	}
}

// End ends a use.
func (d *Detector) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses--
}

// Paused returns the sum of all pauses so far: the difference of two calls within a use is the time for which the
// process was paused between them.
func (d *Detector) Paused() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLocked(time.Now())
	return d.paused
}

// tick looks at the clock. Without a use it is the last one.
func (d *Detector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLocked(time.Now())
	if d.uses == 0 {
		d.running = false
		return
	}
	d.timer.Reset(time.Until(d.due))
}

// recordLocked counts a pause if a look is late, whoever takes it.
func (d *Detector) recordLocked(now time.Time) {
	if !d.running || now.Before(d.due) {
		return
	}
	if late := now.Sub(d.due); late > maxTimerDelay {
		d.paused += late
	}
	d.due = now.Add(interval)
}
