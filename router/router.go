package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/drain"
	"cobaltward/policy"
)

const (
	maxDrainDelayBase = 3 * time.Second // no client waits longer once the router is told to stop
	drainDelayShare   = 0.6             // of that, in which it still takes in what comes
)

// Phase is where a router stands between its start and its end.
type Phase uint32

// The phases, in order.
const (
	Starting Phase = iota // the list as last held is not in force yet
	Serving
	Draining // new clients should go elsewhere; those that are here are still served
	Closing  // fronts end their connections; what still comes is served
	Drained  // nothing is taken any more
	Closed
)

// String names the phase as logs and reports do.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "closing", "drained", "closed"}[p]
}

// Router routes requests to servers. Its methods may be called at once from many goroutines.
type Router struct {
	loop       *loop
	drainDelay func() time.Duration
	listeners  []Listener
	phase      atomic.Uint32
	classes    atomic.Pointer[classTable]

	stop       context.CancelFunc
	goroutines sync.WaitGroup
	closeOnce  sync.Once
	reload     sync.Mutex // one at a time

	drainMu      sync.Mutex
	drainMachine *drain.Machine
	drainRun     *drainRun // of the drain that goes on, or of the one that is over
}

// classTable is what fronts ask of the configuration in force.
type classTable struct {
	classes         map[string]policy.Class
	longestDeadline time.Duration
}

// New starts a router. Errors name the field of c that makes no sense.
func New(c Config, opts ...Option) (*Router, error) {
	o := options{log: slog.New(slog.DiscardHandler), endpointSource: StaticEndpoints{}}
	for _, set := range opts {
		set(&o)
	}
	if o.transport == nil {
		return nil, errors.New("router: no transport: give one by WithTransport")
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	l, err := newLoop(c, o, clock{start: time.Now()})
	if err != nil {
		return nil, fmt.Errorf("router: Settings: %w", err)
	}
	return start(l, c, o), nil
}

func start(l *loop, c Config, o options) *Router {
	r := &Router{loop: l, listeners: o.listeners, drainMachine: drain.New(time.Now())}
	r.drainDelay = func() time.Duration {
		if o.drainDelaySet {
			return o.drainDelay
		}
		return time.Duration(drainDelayShare * float64(min(r.classes.Load().longestDeadline, maxDrainDelayBase)))
	}
	r.publishClasses(c)
	o.transport.Configure(c.Settings)
	running, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.goroutines.Go(func() { l.run(running) })
	r.goroutines.Go(func() {
		<-l.ready
		r.phase.CompareAndSwap(uint32(Starting), uint32(Serving))
		o.endpointSource.Run(running, l.enqueueUpdate)
	})
	return r
}

// publishClasses makes a configuration the one that fronts see.
func (r *Router) publishClasses(c Config) {
	t := &classTable{classes: make(map[string]policy.Class, len(c.Settings.Classes)), longestDeadline: c.longestDeadline()}
	for _, class := range c.Settings.Classes {
		t.classes[class.Name] = class
	}
	r.classes.Store(t)
}

// Class returns a class of the configuration in force.
func (r *Router) Class(name string) (policy.Class, bool) {
	class, ok := r.classes.Load().classes[name]
	return class, ok
}

// Phase tells where the router stands. It is ready for new clients while it is Serving.
func (r *Router) Phase() Phase { return Phase(r.phase.Load()) }

// Conns is the number of connections to servers, where the transport tells.
func (r *Router) Conns() int {
	if t, ok := r.loop.transport.(interface{ Conns() int }); ok {
		return t.Conns()
	}
	return 0
}

// Started is closed once the list as last held is in force: from then on requests can be served.
func (r *Router) Started() <-chan struct{} { return r.loop.ready }

// Do routes one request and waits for its answer. An error says that there is none: *InvalidError,
// ErrDrained and ErrClosed that the request was not taken and reached no server; ctx's own that the
// caller has left, in which case it may have run. Where ctx ended before Do was called, nothing ran.
// No request waits longer than its class allows, nor beyond ctx's deadline.
func (r *Router) Do(ctx context.Context, req Request) (Answer, error) {
	if err := req.validate(); err != nil {
		return Answer{}, err
	}
	class, ok := r.Class(req.Class)
	if !ok {
		return Answer{}, &InvalidError{"Class", "unknown"}
	}
	if req.ClassSnapshot != nil {
		class = *req.ClassSnapshot
	}
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.Idempotency == policy.IdempotencyKeyed && req.IdempotencyKey == "" {
		return Answer{}, &InvalidError{"IdempotencyKey", "missing"}
	}
	if req.Method == "" {
		req.Method = Method(class)
	}
	if err := ctx.Err(); err != nil {
		return Answer{}, err
	}
	l := r.loop
	l.counters.inFlight.Add(1)
	streams := false
	defer func() {
		if !streams {
			l.counters.inFlight.Add(-1)
		}
	}()
	take := func(a Answer) Answer {
		if a.Stream != nil {
			streams = true
			a.Stream = &countedStream{Stream: a.Stream, tally: &l.counters, class: req.Class}
		}
		return a
	}
	switch r.Phase() {
	case Drained:
		l.counters.count(req.Class, Overloaded)
		return Answer{}, ErrDrained
	case Closed:
		return Answer{}, ErrClosed
	}
	c := &call{req: req, submittedAt: l.clock.now(), class: class, timeout: class.Deadline, ctx: ctx, reply: make(chan Answer, 1)}
	c.receivedAt = c.submittedAt
	if !req.ReceivedAt.IsZero() {
		c.receivedAt = min(c.submittedAt, l.clock.policyTime(req.ReceivedAt))
	}
	if req.Timeout > 0 {
		c.timeout = min(c.timeout, req.Timeout)
	}
	if end, ok := ctx.Deadline(); ok {
		c.timeout = min(c.timeout, l.clock.policyTime(end)-c.receivedAt)
	}
	if req.Upload != nil && !req.Upload.OnComplete(func(at time.Time) { l.send(arrived{c, at}) }) {
		c.bodyPending = true
	}
	select {
	case l.events <- c:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	case <-l.done:
		return Answer{}, ErrClosed
	}
	select {
	case a := <-c.reply:
		return take(a), nil
	case <-ctx.Done():
	case <-l.done:
	}
	c.abandoned.Store(true)
	left := ctx.Err() != nil && l.send(departure{c})
	select {
	case a := <-c.reply: // it was there in time
		return take(a), nil
	default:
	}
	if !left {
		// What the loop had taken it answered before its end: this it never saw.
		return Answer{}, ErrClosed
	}
	return Answer{}, ctx.Err()
}

// Method is that of the protocol's requests of a class.
func Method(class policy.Class) string {
	if class.Idempotency == policy.Idempotent {
		return "GET"
	}
	return "POST"
}

// Reload puts another configuration in force without a restart. Requests taken before end under the
// classes and limits that they were taken under; ids that were used stay used; the budgets of further
// attempts and of cold servers go on. Config.Seed is not read. An error names the field that makes no
// sense, and nothing has changed then.
func (r *Router) Reload(c Config) error {
	if err := c.validate(); err != nil {
		return fmt.Errorf("router: reload: %w", err)
	}
	r.reload.Lock()
	defer r.reload.Unlock()
	reply := make(chan error, 1)
	if !r.loop.send(reload{c, reply}) {
		return ErrClosed
	}
	select {
	case err := <-reply:
		if err != nil {
			return fmt.Errorf("router: reload: Settings: %w", err)
		}
	case <-r.loop.done:
		return ErrClosed
	}
	r.publishClasses(c)
	return nil
}

// advance moves on to a later phase; false where the router is there or beyond.
func (r *Router) advance(to Phase) bool {
	for {
		p := r.phase.Load()
		if p >= uint32(to) {
			return false
		}
		if r.phase.CompareAndSwap(p, uint32(to)) {
			return true
		}
	}
}

// Close ends the router at once: what is open is answered (what may have run has failed, the rest is
// refused), attempts are called off, and Close returns when nothing of the router runs any more. It
// closes the transport. Calling it again does nothing but wait.
func (r *Router) Close() error {
	r.closeOnce.Do(func() {
		r.advance(Closed)
		r.stop()
		r.goroutines.Wait()
		r.loop.transport.Close()
	})
	return nil
}

// Stats tells what the router has counted. It waits for the router where the host keeps it from
// running; after Close it tells how things stood then.
func (r *Router) Stats() Stats {
	reply := make(chan Stats, 1)
	var s Stats
	if r.loop.send(statsQuery{reply}) {
		select {
		case s = <-reply:
		case <-r.loop.done:
			s = r.loop.stats
		}
	} else {
		s = r.loop.stats
	}
	s.Phase = r.Phase()
	return s
}
