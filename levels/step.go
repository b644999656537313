package levels

import (
	"fmt"
	"slices"
	"time"
)

const (
	// If a level is entered again within reentryWindow after it was left, it was left too early. The minimum time in
	// force of the level is then doubled.
	reentryWindow = 2 * time.Minute
	// maxStayFactor is the maximum of levelHistory.minStayFactor.
	maxStayFactor = 8
	// exitProbeTime is the duration of an exit probe. During the probe, half of the load that only the level in force
	// sheds is admitted. The smoothed signals need several seconds to show the effect.
	exitProbeTime = 5 * time.Second
)

// Step updates the signals and changes the level by at most one. windows contains the counts of the last second, by
// class.
func (c *Controller) Step(now time.Duration, windows map[string]Window) {
	c.updateSignals(windows)
	if c.manual && (c.manualUntil == 0 || now < c.manualUntil) {
		clear(c.conditionHeldSince) // conditions are not evaluated now, so their durations start again later
		return
	}
	c.manual = false
	if c.enterNext(now) {
		return
	}
	c.exitCurrent(now)
}

// enterNext enters the next level if one of its entry conditions holds. It reports whether the level has changed.
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

// exitCurrent leaves the level in force in two steps. It starts an exit probe once the exit conditions hold and the
// minimum time in force is over. If the conditions hold for the whole probe, it enters the previous level.
func (c *Controller) exitCurrent(now time.Duration) {
	if c.level == 0 {
		return
	}
	exit := c.config.Levels[c.level-1].Exit
	history := &c.history[c.level]
	reason, hold := c.allHold(now, exit)
	switch {
	case c.exitProbing && c.anyExceeded(exit): // the servers can't handle half of the shed load
		c.exitProbing = false
	case c.exitProbing && now-c.exitProbeStart >= exitProbeTime && hold:
		c.exitProbing = false
		history.leftAt, history.hasLeft = now, true
		c.changeTo(now, c.level-1, reason)
	case !c.exitProbing && hold && c.mayChange(now, history.minStayFactor):
		c.exitProbing, c.exitProbeStart = true, now
	}
}

// mayChange reports whether at least stayFactor times MinInterval has passed since the last change.
func (c *Controller) mayChange(now time.Duration, stayFactor float64) bool {
	interval := time.Duration(stayFactor * float64(c.config.MinInterval))
	return !c.hasChanged || now-c.changedAt >= interval
}

// value returns the current value of the signal that condition compares.
func (c *Controller) value(condition Condition) float64 {
	return c.signals[signalKey{condition.Signal, condition.Class}]
}

// anyExceeded reports whether the signal of any condition is at or above its threshold.
func (c *Controller) anyExceeded(conditions []Condition) bool {
	return slices.ContainsFunc(conditions, func(condition Condition) bool {
		return c.value(condition) >= condition.Threshold
	})
}

// anyHolds reports whether any entry condition has held for its duration, and describes the first such condition. It
// evaluates every condition, because heldLongEnough tracks the duration of each.
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

// allHold reports whether every exit condition has held for its duration. reason describes only the last condition.
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

// describe returns the reason for an event: the condition that holds, and the value of its signal.
func (c Condition) describe(relation string, value float64) string {
	return fmt.Sprintf("%s %s %.4g for %v: %.4g", c.label(), relation, c.Threshold, c.For, value)
}

// heldLongEnough records whether the named condition holds now. It reports whether the condition has held without
// interruption for the duration.
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
