package levels

import (
	"fmt"
	"slices"
	"time"
)

const (
	// reentryWindow is the time after a level's end in which entering it again shows that it was left too early: it then
	// stays twice as long as the last time.
	reentryWindow = 2 * time.Minute
	// maxStayFactor bounds how long such a level stays, in minimum intervals.
	maxStayFactor = 8
	// exitProbeTime is how long half of what a level sheds is let through before the level ends: some seconds, so that
	// the smoothed signals show it.
	exitProbeTime = 5 * time.Second
)

// Step takes in the counts of one second, by class, and moves by one level at the most.
func (c *Controller) Step(now time.Duration, windows map[string]Window) {
	c.updateSignals(windows)
	if c.manual && (c.manualUntil == 0 || now < c.manualUntil) {
		clear(c.conditionHeldSince) // conditions are not evaluated without a break
		return
	}
	c.manual = false
	if c.enterNext(now) {
		return
	}
	c.exitCurrent(now)
}

// enterNext enters the next level if one of its conditions holds.
func (c *Controller) enterNext(now time.Duration) bool {
	next := c.level + 1
	if next > len(c.config.Levels) || c.maxLevel >= 0 && next > c.maxLevel {
		return false
	}
	reason, holds := c.anyHolds(now, c.config.Levels[next-1].Enter)
	if !holds || !c.mayChange(now, 1) {
		return false
	}
	if history := &c.history[next]; history.hasLeft {
		if now-history.leftAt < reentryWindow {
			history.minStayFactor = min(maxStayFactor, 2*history.minStayFactor)
		} else {
			history.minStayFactor = 1
		}
	}
	c.exitProbing = false
	c.changeTo(now, next, reason)
	return true
}

// exitCurrent leaves the level in force in two steps: once its exit conditions hold, the exit is probed; if they still
// hold after that, the level ends.
func (c *Controller) exitCurrent(now time.Duration) {
	if c.level == 0 {
		return
	}
	exit := c.config.Levels[c.level-1].Exit
	history := &c.history[c.level]
	reason, hold := c.allHold(now, exit)
	switch {
	case c.exitProbing && c.anyExceeded(exit): // half was too much already
		c.exitProbing = false
	case c.exitProbing && now-c.exitProbeStart >= exitProbeTime && hold:
		c.exitProbing = false
		history.leftAt, history.hasLeft = now, true
		c.changeTo(now, c.level-1, reason)
	case !c.exitProbing && hold && c.mayChange(now, history.minStayFactor):
		c.exitProbing, c.exitProbeStart = true, now
	}
}

// mayChange reports whether the last change is long enough ago.
func (c *Controller) mayChange(now time.Duration, stayFactor float64) bool {
	interval := time.Duration(stayFactor * float64(c.config.MinInterval))
	return !c.hasChanged || now-c.changedAt >= interval
}

// value returns the signal that a condition is about.
func (c *Controller) value(condition Condition) float64 {
	return c.signals[signalKey{condition.Signal, condition.Class}]
}

// anyExceeded reports whether one of the signals is at its threshold or above.
func (c *Controller) anyExceeded(conditions []Condition) bool {
	return slices.ContainsFunc(conditions, func(condition Condition) bool {
		return c.value(condition) >= condition.Threshold
	})
}

// anyHolds reports whether one of the conditions of an entry has held for its time. It looks at all of them, since
// each has a time of its own.
func (c *Controller) anyHolds(now time.Duration, conditions []Condition) (reason string, holds bool) {
	for _, condition := range conditions {
		value := c.value(condition)
		isAbove := c.heldLongEnough(now, "above "+condition.String(), value > condition.Threshold, condition.For)
		if isAbove && !holds {
			reason, holds = condition.describe("above", value), true
		}
	}
	return reason, holds
}

// allHold reports whether each of the conditions of an exit has held for its time. The last one represents all of them
// in the reason.
func (c *Controller) allHold(now time.Duration, conditions []Condition) (reason string, hold bool) {
	hold = len(conditions) > 0
	for _, condition := range conditions {
		value := c.value(condition)
		if !c.heldLongEnough(now, "below "+condition.String(), value < condition.Threshold, condition.For) {
			hold = false
		}
		reason = condition.describe("below", value)
	}
	return reason, hold
}

// describe says that a condition holds, and at which value.
func (c Condition) describe(relation string, value float64) string {
	return fmt.Sprintf("%s %s %.4g for %v: %.4g", c.label(), relation, c.Threshold, c.For, value)
}

// heldLongEnough notes whether a condition holds now, and reports whether it has for a time without a break.
func (c *Controller) heldLongEnough(now time.Duration, name string, holds bool, duration time.Duration) bool {
	if !holds {
		delete(c.conditionHeldSince, name)
		return false
	}
	since, known := c.conditionHeldSince[name]
	if !known {
		since = now
		c.conditionHeldSince[name] = now
	}
	return now-since >= duration
}
