package router

import (
	"log/slog"
	"time"

	"cobaltward/internal/safeguards"
	"cobaltward/levels"
)

// Option is an optional argument of New and NewStepped.
type Option func(*options)

type options struct {
	log            *slog.Logger
	transport      Transport
	endpointSource EndpointSource
	listeners      []Listener
	drainDelay     time.Duration
	drainDelaySet  bool
	disabledGuards safeguards.Overrides
	levels         *levels.Config
}

// newOptions returns the default options with transport, changed by opts.
func newOptions(transport Transport, opts []Option) options {
	all := options{
		log:            slog.New(slog.DiscardHandler),
		transport:      transport,
		endpointSource: StaticEndpoints{},
	}
	for _, apply := range opts {
		apply(&all)
	}
	return all
}

// WithTransport sets the transport that makes the attempts. New requires this option. Router.Close closes the
// transport.
func WithTransport(t Transport) Option { return func(o *options) { o.transport = t } }

// WithEndpointSource sets the source of endpoint updates. The default is StaticEndpoints.
func WithEndpointSource(source EndpointSource) Option {
	return func(o *options) { o.endpointSource = source }
}

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithListener adds a listener that a drain shuts down. The option may be repeated. A frontend that has no client
// connections and only calls Do need not be added.
func WithListener(l Listener) Option {
	return func(o *options) { o.listeners = append(o.listeners, l) }
}

// WithDrainDelay sets the time for which Drain keeps serving as before. Phase is Draining during this time, so
// readiness checks can notice the drain. Negative values count as 0. The default is 0.6 times the longest class
// deadline, where deadlines above 3 s count as 3 s.
func WithDrainDelay(d time.Duration) Option {
	return func(o *options) { o.drainDelay, o.drainDelaySet = max(0, d), true }
}

// WithLevels enables graceful degradation. The router reduces its service by the levels of c while servers cannot
// carry the offered load. By default, service is never reduced.
func WithLevels(c levels.Config) Option { return func(o *options) { o.levels = &c } }
