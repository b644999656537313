package router

import (
	"fmt"
	"time"

	"cobaltward/policy"
)

// Stepped is the engine of a Router for a caller that controls time and the network, such as a simulation in virtual
// time. It has no goroutine, clock or channel. Everything happens deterministically, at the time that the caller
// passes. Times are durations since the start of the engine, and must not decrease. Stepped is not safe for
// concurrent use.
type Stepped struct {
	loop    *loop
	now     policy.Time
	started bool
}

// NewStepped returns an engine whose time 0 is start on the wall clock. The engine needs start to convert the start
// times of servers. Only the options WithLogger, WithLevels and WithoutGuards have an effect. The errors are those of
// New.
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

// advanceTo fires the timers due by now, each at its own time, and then sets the time to now.
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

// Next returns the time at which the next timer is due. ok is false if no timer is set.
func (s *Stepped) Next() (at time.Duration, ok bool) {
	if len(s.loop.timers) == 0 {
		return 0, false
	}
	return s.loop.timers[0].due - timeOrigin, true
}

// Advance fires the timers due by now, each at its own time, and then sets the time to now.
func (s *Stepped) Advance(now time.Duration) { s.advanceTo(now) }

// Submit submits req, whose last byte has just arrived. answer is called once with the answer, possibly before Submit
// returns, and must not call the engine. Submit returns an *InvalidError if the request was not accepted.
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
	reservation := s.loop.reserveID(req.ID)
	if reservation == nil {
		s.loop.counters.count(req.Class, Conflict)
		answer(Answer{Outcome: Conflict})
		return nil
	}
	submitted := &call{
		req:         req,
		class:       *class,
		reservation: reservation,
		submittedAt: s.now,
		receivedAt:  s.now,
		timeout:     class.Deadline,
		onAnswer: func(a Answer) {
			reservation.Release()
			answer(a)
		},
	}
	if req.Timeout > 0 {
		submitted.timeout = min(submitted.timeout, req.Timeout)
	}
	s.loop.admit(submitted)
	return nil
}

// ClientGone reports that the caller of the request id no longer waits. It does nothing if no open request has that
// id.
func (s *Stepped) ClientGone(now time.Duration, id string) {
	s.advanceTo(now)
	if r := s.loop.requests[id]; r != nil {
		s.loop.handleClientGone(r.call)
		r.reservation.Release()
	}
}

// UpdateEndpoints applies update at the time now.
func (s *Stepped) UpdateEndpoints(now time.Duration, update EndpointUpdate) {
	s.advanceTo(now)
	s.loop.updateEndpoints(update)
}

// FinishAttempt reports the result of attempt. It must be called exactly once for each launched attempt.
func (s *Stepped) FinishAttempt(now time.Duration, attempt Attempt, result Result) {
	s.advanceTo(now)
	attempt.attempt.result = result
	s.loop.finishAttempt(attempt.attempt)
}

// Reload applies c, as Router.Reload does.
func (s *Stepped) Reload(now time.Duration, c Config) error {
	s.advanceTo(now)
	if err := c.validate(); err != nil {
		return fmt.Errorf("router: reload: %w", err)
	}
	return s.loop.reload(c)
}

// Stats returns the current statistics.
func (s *Stepped) Stats() Stats { return s.loop.snapshot() }

// Views returns what the balancer has learned of each server; nil if the balancer does not support views.
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

// ExportState returns what the balancer has learned so far. It returns an error if the balancer does not support
// exporting.
func (s *Stepped) ExportState() (state policy.LearnedState, err error) {
	err = s.loop.withBalancer(func(b statefulBalancer, _ policy.Time) { state = b.Export() })
	return state, err
}

// RestoreState makes the balancer adopt the state that adjust returns. The caller must have called a method with a
// time before, because the first such call applies the endpoint list. RestoreState returns an error if the balancer
// does not support restoring.
func (s *Stepped) RestoreState(adjust StateAdjuster) error {
	return s.loop.withBalancer(func(b statefulBalancer, now policy.Time) { b.Restore(now, adjust(b.InitialThreshold)) })
}
