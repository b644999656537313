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
	l       *loop
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
	Request *Request // only read
	N       int      // 0 for a request's first
	Server  string
	Until   time.Duration // when its time is up
	SendBy  time.Duration // when it may not be written any more, since its key may be forgotten; 0: never
	a       *attempt
}

// Expired tells, of an attempt that was called off, whether it was its time that was up.
func (t Attempt) Expired() bool { return errors.Is(t.a.ctx.Err(), context.DeadlineExceeded) }

// NewStepped makes an engine whose moment 0 is at start on the wall clock, by which the starts of servers
// are read. Of the options, WithLogger counts.
func NewStepped(c Config, h AttemptHost, start time.Time, opts ...Option) (*Stepped, error) {
	o := options{log: slog.New(slog.DiscardHandler), endpointSource: StaticEndpoints{}, transport: hosted{h: h}}
	for _, set := range opts {
		set(&o)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	s := &Stepped{now: timeOrigin}
	l, err := newLoop(c, o, clock{start: start, set: &s.now})
	if err != nil {
		return nil, fmt.Errorf("router: Settings: %w", err)
	}
	s.l, l.launcher = l, hosted{h: h}
	return s, nil
}

// hosted has a Host make the attempts.
type hosted struct {
	Transport // only what follows is ever called
	h         AttemptHost
}

func (h hosted) launch(a *attempt)       { h.h.Launch(tryOf(a)) }
func (h hosted) cancelled(a *attempt)    { h.h.Cancel(tryOf(a)) }
func (h hosted) CloseIdle(server string) { h.h.CloseIdle(server) }
func (h hosted) Update(EndpointUpdate)   {}

func (h hosted) Configure(policy.Settings) {}

func tryOf(a *attempt) Attempt {
	t := Attempt{Request: &a.r.req, N: a.n, Server: a.server, Until: a.late.due - timeOrigin, a: a}
	if a.sendBy > 0 {
		t.SendBy = a.sendBy - timeOrigin
	}
	return t
}

// to lets time pass: what was due by then happens first, each at its own moment.
func (s *Stepped) to(now time.Duration) {
	if !s.started { // the list as last held comes before all else
		s.started = true
		s.l.begin()
	}
	for len(s.l.timers) > 0 && s.l.timers[0].due <= timeOrigin+now {
		s.now = max(s.now, s.l.timers[0].due)
		s.l.fire()
	}
	s.now = max(s.now, timeOrigin+now)
}

// Next is when something happens if nothing else is told; ok is false where nothing does.
func (s *Stepped) Next() (at time.Duration, ok bool) {
	if len(s.l.timers) == 0 {
		return 0, false
	}
	return s.l.timers[0].due - timeOrigin, true
}

// Advance lets time pass.
func (s *Stepped) Advance(now time.Duration) { s.to(now) }

// Submit hands a request in, whose last byte has just come. answer gets its one answer, perhaps before Submit
// returns, and must not call the engine. An error says that it was not taken.
func (s *Stepped) Submit(now time.Duration, req Request, answer func(Answer)) error {
	s.to(now)
	if err := req.check(); err != nil {
		return err
	}
	for i := range s.l.config.Settings.Classes {
		class := &s.l.config.Settings.Classes[i]
		if class.Name != req.Class {
			continue
		}
		if class.Idempotency == policy.IdempotencyKeyed && req.IdempotencyKey == "" {
			return &InvalidError{"IdempotencyKey", "missing"}
		}
		c := &call{req: req, entered: s.now, came: s.now, class: *class, waits: class.Deadline, told: answer}
		if req.Timeout > 0 {
			c.waits = min(c.waits, req.Timeout)
		}
		s.l.arrive(c)
		return nil
	}
	return &InvalidError{"Class", "unknown"}
}

// ClientGone says that the caller of a request has left.
func (s *Stepped) ClientGone(now time.Duration, id string) {
	s.to(now)
	if r := s.l.requests[id]; r != nil {
		s.l.handle(departure{r.call})
	}
}

// UpdateEndpoints hands in news of the servers.
func (s *Stepped) UpdateEndpoints(now time.Duration, c EndpointUpdate) {
	s.to(now)
	s.l.listed(c)
}

// FinishAttempt says how an attempt ended.
func (s *Stepped) FinishAttempt(now time.Duration, t Attempt, r Result) {
	s.to(now)
	t.a.result = r
	s.l.end(t.a)
}

// Reload puts another configuration in force, as Router.Reload does.
func (s *Stepped) Reload(now time.Duration, c Config) error {
	s.to(now)
	if err := c.validate(); err != nil {
		return fmt.Errorf("router: reload: %w", err)
	}
	return s.l.reload(c)
}

// Stats tells what the engine has counted.
func (s *Stepped) Stats() Stats { return s.l.snapshot() }

// Views shows what the module has learned of the servers.
func (s *Stepped) Views() []policy.View {
	if v, ok := s.l.module.(interface{ Views() []policy.View }); ok {
		return v.Views()
	}
	return nil
}

// Level is the level of service in force, and what it goes by; ErrNoLevels where there are none.
func (s *Stepped) Level() (LevelStatus, error) {
	if s.l.service == nil {
		return LevelStatus{}, ErrNoLevels
	}
	return s.l.service.status(), nil
}
