package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cobaltward/policy"
)

// Stepped is the engine in the hands of a caller who owns time and the network: the same requests, timers
// and module as a Router's, without a goroutine, a clock or a channel. What it is told happens at the moment
// that it is told with, and it does the same every time: this is what rehearsals in virtual time run. It
// isn't safe for concurrent use. Moments are counted from its start and must not go back.
type Stepped struct {
	loop    *loop
	now     policy.Time
	started bool
}

// AttemptHost is what a Stepped engine's attempts are made by. Its methods must not call the engine.
type AttemptHost interface {
	// Launch begins an attempt; Stepped.End tells how it ended, exactly once, also after CallOff.
	Launch(t Attempt)
	// Cancel says that nobody waits for an attempt any more, or that its time is up.
	Cancel(t Attempt)
	// CloseIdle drops the idle connections to a server.
	CloseIdle(server string)
}

// Attempt is one attempt of a Stepped engine. Two are equal where they are the same attempt.
type Attempt struct {
	Request  *Request // only read
	Number   int      // 0 for a request's first
	Server   string
	Deadline time.Duration // when its time is up
	SendBy   time.Duration // when it may not be written any more, since its key may be forgotten; 0: never
	a        *attempt
}

// Expired tells, of an attempt that was called off, whether it was its time that was up.
func (t Attempt) Expired() bool { return errors.Is(t.a.ctx.Err(), context.DeadlineExceeded) }

// NewStepped makes an engine whose moment 0 is at start on the wall clock, by which the starts of servers
// are read. Of the options, WithLogger counts.
func NewStepped(c Config, h AttemptHost, start time.Time, opts ...Option) (*Stepped, error) {
	o := options{log: slog.New(slog.DiscardHandler), endpointSource: StaticEndpoints{}, transport: hostTransport{host: h}}
	for _, set := range opts {
		set(&o)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	s := &Stepped{now: timeOrigin}
	l, err := newLoop(c, o, clock{start: start, virtual: &s.now})
	if err != nil {
		return nil, fmt.Errorf("router: Settings: %w", err)
	}
	s.loop, l.launcher = l, hostTransport{host: h}
	return s, nil
}

// hostTransport has a Host make the attempts.
type hostTransport struct {
	Transport // only what follows is ever called
	host      AttemptHost
}

func (h hostTransport) launch(a *attempt)       { h.host.Launch(newAttempt(a)) }
func (h hostTransport) cancelled(a *attempt)    { h.host.Cancel(newAttempt(a)) }
func (h hostTransport) CloseIdle(server string) { h.host.CloseIdle(server) }
func (h hostTransport) Update(EndpointUpdate)   {}

func (h hostTransport) Configure(policy.Settings) {}

func newAttempt(a *attempt) Attempt {
	t := Attempt{Request: &a.request.req, Number: a.number, Server: a.server, Deadline: a.timeout.due - timeOrigin, a: a}
	if a.sendBy > 0 {
		t.SendBy = a.sendBy - timeOrigin
	}
	return t
}

// advanceTo lets time pass: what was due by then happens first, each at its own moment.
func (s *Stepped) advanceTo(now time.Duration) {
	if !s.started { // the list as last held comes before all else
		s.started = true
		s.loop.restoreEndpoints()
	}
	for len(s.loop.timers) > 0 && s.loop.timers[0].due <= timeOrigin+now {
		s.now = max(s.now, s.loop.timers[0].due)
		s.loop.fireTimers()
	}
	s.now = max(s.now, timeOrigin+now)
}

// Next is when something happens if nothing else is told; ok is false where nothing does.
func (s *Stepped) Next() (at time.Duration, ok bool) {
	if len(s.loop.timers) == 0 {
		return 0, false
	}
	return s.loop.timers[0].due - timeOrigin, true
}

// Advance lets time pass.
func (s *Stepped) Advance(now time.Duration) { s.advanceTo(now) }

// Submit hands a request in, whose last byte has just come. answer gets its one answer, perhaps before Submit
// returns, and must not call the engine. An error says that it was not taken.
func (s *Stepped) Submit(now time.Duration, req Request, answer func(Answer)) error {
	s.advanceTo(now)
	if err := req.validate(); err != nil {
		return err
	}
	for i := range s.loop.config.Settings.Classes {
		class := &s.loop.config.Settings.Classes[i]
		if class.Name != req.Class {
			continue
		}
		if class.Idempotency == policy.IdempotencyKeyed && req.IdempotencyKey == "" {
			return &InvalidError{"IdempotencyKey", "missing"}
		}
		c := &call{req: req, submittedAt: s.now, receivedAt: s.now, class: *class, timeout: class.Deadline, onAnswer: answer}
		if req.Timeout > 0 {
			c.timeout = min(c.timeout, req.Timeout)
		}
		s.loop.admit(c)
		return nil
	}
	return &InvalidError{"Class", "unknown"}
}

// ClientGone says that the caller of a request has left.
func (s *Stepped) ClientGone(now time.Duration, id string) {
	s.advanceTo(now)
	if r := s.loop.requests[id]; r != nil {
		s.loop.handle(departure{r.call})
	}
}

// UpdateEndpoints hands in news of the servers.
func (s *Stepped) UpdateEndpoints(now time.Duration, c EndpointUpdate) {
	s.advanceTo(now)
	s.loop.updateEndpoints(c)
}

// FinishAttempt says how an attempt ended.
func (s *Stepped) FinishAttempt(now time.Duration, t Attempt, r Result) {
	s.advanceTo(now)
	t.a.result = r
	s.loop.finishAttempt(t.a)
}

// Reload puts another configuration in force, as Router.Reload does.
func (s *Stepped) Reload(now time.Duration, c Config) error {
	s.advanceTo(now)
	if err := c.validate(); err != nil {
		return fmt.Errorf("router: reload: %w", err)
	}
	return s.loop.reload(c)
}

// Stats tells what the engine has counted.
func (s *Stepped) Stats() Stats { return s.loop.snapshot() }

// Views shows what the module has learned of the servers.
func (s *Stepped) Views() []policy.View {
	if v, ok := s.loop.balancer.(interface{ Views() []policy.View }); ok {
		return v.Views()
	}
	return nil
}

// Level is the level of service in force, and what it goes by; ErrNoLevels where there are none.
func (s *Stepped) Level() (LevelStatus, error) {
	if s.loop.degradation == nil {
		return LevelStatus{}, ErrNoLevels
	}
	return s.loop.degradation.status(), nil
}
