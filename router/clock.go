package router

import (
	"time"

	"cobaltward/policy"
)

// timeOrigin is the policy.Time of the router's start. Servers that started before the router have a start
// above 0 all the same: 0 means long ago, and would count a server in slow start as warm.
const timeOrigin = 24 * time.Hour

// clock converts the machine's time to policy.Time. The wall clock is read once, at the start; later only to notice
// that it was stepped.
type clock struct {
	start   time.Time
	virtual *policy.Time     // replaces the machine's clock in a Stepped engine; else nil
	wall    func() time.Time // reads the wall clock where a test steps it; else nil
}

func (c clock) now() policy.Time {
	if c.virtual != nil {
		return *c.virtual
	}
	return timeOrigin + time.Since(c.start)
}

// wallStep is the step of the wall clock since the start: its advance beyond that of the monotonic clock.
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

// wallTime converts a policy.Time back.
func (c clock) wallTime(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// policyTime converts a time of the same monotonic clock; one before the start counts as the start.
func (c clock) policyTime(t time.Time) policy.Time { return timeOrigin + max(0, t.Sub(c.start)) }

// serverStart converts a server's start. Zero stays 0, and so does a time before the origin, which is just as
// long ago.
func (c clock) serverStart(t time.Time) policy.Time {
	if t.IsZero() {
		return 0
	}
	limit := timeOrigin.Milliseconds() // a start far ahead must not overflow either
	ago := min(max(c.start.UnixMilli()-t.UnixMilli(), -limit), limit)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}
