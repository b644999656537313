package router

import (
	"time"

	"cobaltward/policy"
)

// timeOrigin is the policy.Time of the start of the router. It is above 0 so that servers that started before the
// router have a positive start time. A start time of 0 means long ago, and would make a server in slow start count as
// warm.
const timeOrigin = 24 * time.Hour

// clock converts the time of the machine to policy.Time. It reads the wall clock once at the start. Later it reads
// the wall clock only to detect steps.
type clock struct {
	start   time.Time
	virtual *policy.Time     // time of a Stepped engine; otherwise nil
	wall    func() time.Time // wall clock in tests of clock steps; otherwise nil
}

func (c clock) now() policy.Time {
	if c.virtual != nil {
		return *c.virtual
	}
	return timeOrigin + time.Since(c.start)
}

// wallStep returns the total step of the wall clock since the start: its advance minus the advance of the monotonic
// clock.
func (c clock) wallStep() time.Duration {
	elapsed := c.now() - timeOrigin
	switch {
	case c.wall != nil:
		return c.wall().Round(0).Sub(c.start.Round(0)) - elapsed
	case c.virtual != nil:
		return 0
	}
	return time.Now().Round(0).Sub(c.start.Round(0)) - elapsed
}

// wallTime converts t to a time of the machine's clock.
func (c clock) wallTime(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// policyTime converts t by the monotonic clock. A time before the start counts as the start.
func (c clock) policyTime(t time.Time) policy.Time { return timeOrigin + max(0, t.Sub(c.start)) }

// serverStart converts the start time t of a server. A zero t stays 0. A time before the origin becomes 0, because
// it is long ago too.
func (c clock) serverStart(t time.Time) policy.Time {
	if t.IsZero() {
		return 0
	}
	limit := timeOrigin.Milliseconds() // prevents an overflow for start times far in the past or future
	ago := min(max(c.start.UnixMilli()-t.UnixMilli(), -limit), limit)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}
