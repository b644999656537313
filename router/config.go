package router

import (
	"fmt"
	"log/slog"
	"time"

	"cobaltward/internal/guards"
	"cobaltward/levels"
	"cobaltward/policy"
)

// DefaultMaxInFlight bounds the open requests where Config.MaxOpen does not.
const DefaultMaxInFlight = 1 << 16

// Config is what a router is told at its start, and again by Reload.
type Config struct {
	Settings    policy.Settings // classes, tenants, limits, what is allowed, the figures of the rules
	MaxInFlight int             // unanswered requests, beyond which Do refuses; 0: DefaultMaxOpen
	Seed        uint64          // for the module's random choices; read by New only
	// Endpoints is the list as last held. New begins with it, as with one that may be stale; Reload
	// puts it in force where the membership is Static, and else leaves it to the source.
	Endpoints []Endpoint
}

// validate names the field that makes no sense.
func (c Config) validate() error {
	if c.MaxInFlight < 0 {
		return fmt.Errorf("MaxOpen: want 0 or more, got %d", c.MaxInFlight)
	}
	seen := make(map[string]bool, len(c.Endpoints))
	for i, m := range c.Endpoints {
		switch {
		case m.ID == "":
			return fmt.Errorf("Members[%d].ID: missing", i)
		case seen[m.ID]:
			return fmt.Errorf("Members[%d].ID: %q is named twice", i, m.ID)
		case m.Addr == "" && m.Availability != policy.Removed:
			return fmt.Errorf("Members[%d].Addr: missing", i)
		}
		seen[m.ID] = true
	}
	if _, err := policy.New(c.Settings, 0, 0); err != nil {
		return fmt.Errorf("Settings: %w", err)
	}
	return nil
}

func (c Config) maxInFlight() int {
	if c.MaxInFlight == 0 {
		return DefaultMaxInFlight
	}
	return c.MaxInFlight
}

// longestDeadline is the longestDeadline that any request may wait.
func (c Config) longestDeadline() (d time.Duration) {
	for _, class := range c.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}

// Option sets what New can do without.
type Option func(*options)

type options struct {
	log            *slog.Logger
	transport      Transport
	endpointSource EndpointSource
	listeners      []Listener
	drainDelay     time.Duration
	drainDelaySet  bool
	disabledGuards guards.Without
	levels         *levels.Config
}

// WithTransport sets what makes the attempts. There is no default. The router closes it.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

// WithEndpointSource sets where news of the servers comes from. The default is Static.
func WithEndpointSource(m EndpointSource) Option { return func(o *options) { o.endpointSource = m } }

// WithLogger sets where the router logs. By default it logs nothing.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithListener names a front that Drain shuts down. A front without connections of its own needs none.
func WithListener(f Listener) Option {
	return func(o *options) { o.listeners = append(o.listeners, f) }
}

// WithDrainDelay sets for how long Drain goes on serving as before while Phase says Leaving, since those
// who ask for readiness learn of it late. The default is 0.6 of the longest deadline, of 3 s at most.
func WithDrainDelay(d time.Duration) Option {
	return func(o *options) { o.drainDelay, o.drainDelaySet = max(0, d), true }
}

// WithoutGuards takes guards away, so that a rehearsal can show that its verdict finds out. Its parameter's
// type keeps it inside this module.
func WithoutGuards(w guards.Without) Option { return func(o *options) { o.disabledGuards = w } }

// WithLevels has the router reduce its service by a ladder of levels while servers can't carry all. Without it
// service is full, whatever comes.
func WithLevels(c levels.Config) Option { return func(o *options) { o.levels = &c } }
