// Package pausedetector measures how long this process could not run because it was stopped, its machine was
// suspended, or no core was free. A peer that did nothing during a pause is not necessarily slow.
package pausedetector

import (
	"sync"
	"time"
)

const (
	// interval is the time between two checks of the clock.
	interval = 20 * time.Millisecond
	// maxTimerDelay is the maximum delay of a check that does not count as a pause. Timers also fire late in a running
	// process.
	maxTimerDelay = 5 * time.Millisecond
)

// Detector checks the clock at fixed intervals while it is in use. If a check is late by more than maxTimerDelay, the
// whole delay counts as a pause. The zero value is ready for use. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	uses    int           // number of calls of Begin without a matching End
	timer   *time.Timer   // timer that calls tick; nil: Begin has not been called
	running bool          // whether the timer is set
	due     time.Time     // time of the next check
	paused  time.Duration // sum of all pauses so far
}

// Begin begins a use of the detector. The use lasts until End is called. Uses may overlap.
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

// End ends one use that Begin has begun.
func (d *Detector) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.uses--
}

// Paused returns the sum of all pauses so far. Within a use, the difference between two results is the time for which
// the process was paused between the two calls.
func (d *Detector) Paused() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordLocked(time.Now())
	return d.paused
}

// tick checks the clock. It sets the timer again unless the detector is no longer in use.
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

// recordLocked checks the clock for tick and Paused. It counts a pause if the check is late.
func (d *Detector) recordLocked(now time.Time) {
	if !d.running || now.Before(d.due) {
		return
	}
	if late := now.Sub(d.due); late > maxTimerDelay {
		d.paused += late
	}
	d.due = now.Add(interval)
}
