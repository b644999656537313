package router

import (
	"fmt"
	"time"

	"cobaltward/policy"
)

// Stepped is the engine of a Router for a caller that controls time and the network, such as a simulation in virtual
// time. It has no goroutine, clock or channel: everything happens at the time that a call passes, and
// deterministically. It is not safe for concurrent use. Times are durations since its start, and must not decrease.
type Stepped struct {
	loop    *loop
	now     policy.Time
	started bool
}

// NewStepped makes an engine whose time 0 is start on the wall clock; start times of servers are converted
// accordingly. Of the options, only WithLogger, WithLevels and WithoutGuards have an effect. It returns the same
// errors as New.
func NewStepped(c Config, host AttemptHost, start time.Time, opts ...Option) (*Stepped, error) {
	transport := hostTransport{host: host}
	options := newOptions(transport, opts)
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	s := &Stepped{now: timeOrigin}
	l, err := newLoop(c, options, clock{start: start, virtual: &s.now})
	if err != nil {
		return nil, fmt.Errorf("router: Settings: %w", err)
	}
	s.loop, l.launcher = l, transport
	return s, nil
}

// advanceTo advances the time. Timers that are due by then fire first, each at its own time.
func (s *Stepped) advanceTo(now time.Duration) {
	if !s.started { // the last known endpoint list is applied before all events
		s.started = true
		s.loop.begin()
	}
	target := timeOrigin + now
	for len(s.loop.timers) > 0 && s.loop.timers[0].due <= target {
		s.now = max(s.now, s.loop.timers[0].due)
		s.loop.fireTimers()
	}
	s.now = max(s.now, target)
}

// Next is when the next timer is due; ok is false if no timer is set.
func (s *Stepped) Next() (at time.Duration, ok bool) {
	if len(s.loop.timers) == 0 {
		return 0, false
	}
	return s.loop.timers[0].due - timeOrigin, true
}

// Advance advances the time, and fires the timers that are due by then.
func (s *Stepped) Advance(now time.Duration) { s.advanceTo(now) }

// Submit submits a request whose last byte has just arrived. answer is called with its one answer, possibly before
// Submit returns, and must not call the engine. Submit returns an *InvalidError if the request was not accepted.
func (s *Stepped) Submit(now time.Duration, req Request, answer func(Answer)) error {
	s.advanceTo(now)
	if err := req.validate(); err != nil {
		return err
	}
	class := findClass(s.loop.config.Settings.Classes, req.Class)
	if class == nil {
		return &InvalidError{"Class", "unknown"}
	}
	if err := req.validateKey(class); err != nil {
		return err
	}
	c := &call{
		req:         req,
		class:       *class,
		submittedAt: s.now,
		receivedAt:  s.now,
		timeout:     class.Deadline,
		onAnswer:    answer,
	}
	if req.Timeout > 0 {
		c.timeout = min(c.timeout, req.Timeout)
	}
	s.loop.admit(c)
	return nil
}

// ClientGone reports that the caller of a request no longer waits. An ID that is not open is ignored.
func (s *Stepped) ClientGone(now time.Duration, id string) {
	s.advanceTo(now)
	if r := s.loop.requests[id]; r != nil {
		s.loop.handleClientGone(r.call)
	}
}

// UpdateEndpoints applies an endpoint update.
func (s *Stepped) UpdateEndpoints(now time.Duration, update EndpointUpdate) {
	s.advanceTo(now)
	s.loop.updateEndpoints(update)
}

// FinishAttempt reports how an attempt ended. It must be called exactly once for each launched attempt.
func (s *Stepped) FinishAttempt(now time.Duration, attempt Attempt, result Result) {
	s.advanceTo(now)
	attempt.attempt.result = result
	s.loop.finishAttempt(attempt.attempt)
}

// Reload applies another configuration, as Router.Reload does.
func (s *Stepped) Reload(now time.Duration, c Config) error {
	s.advanceTo(now)
	if err := c.validate(); err != nil {
		return fmt.Errorf("router: reload: %w", err)
	}
	return s.loop.reload(c)
}

// Stats returns the current statistics.
func (s *Stepped) Stats() Stats { return s.loop.snapshot() }

// Views returns what the balancer has learned of each server; nil if the balancer does not support it.
func (s *Stepped) Views() []policy.View {
	if balancer, ok := s.loop.balancer.(endpointViewer); ok {
		return balancer.Views()
	}
	return nil
}

// Level returns the level of service in force, or ErrNoLevels if there are no levels.
func (s *Stepped) Level() (LevelStatus, error) {
	if s.loop.degradation == nil {
		return LevelStatus{}, ErrNoLevels
	}
	return s.loop.degradation.status(), nil
}

// ExportState returns what the balancer has learned so far, or an error if the balancer does not support that.
func (s *Stepped) ExportState() (state policy.LearnedState, err error) {
	err = s.loop.withBalancer(func(b statefulBalancer, _ policy.Time) { state = b.Export() })
	return state, err
}

// RestoreState makes the balancer adopt the state that adjust returns. It must not be called before the first call
// that passes a time. It returns an error if the balancer does not support restoring state.
func (s *Stepped) RestoreState(adjust StateAdjuster) error {
	return s.loop.withBalancer(func(b statefulBalancer, now policy.Time) { b.Restore(now, adjust(b.InitialThreshold)) })
}
