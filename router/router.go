package router

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/drain"
	"cobaltward/policy"
)

const (
	// maxDrainDelayBase limits how much of the longest class deadline counts for the default drain delay.
	maxDrainDelayBase = 3 * time.Second
	// drainDelayShare is the fraction of that time for which a drain keeps serving as before.
	drainDelayShare = 0.6
)

// Router routes requests to servers. Its methods are safe for concurrent use.
type Router struct {
	loop       *loop
	drainDelay func() time.Duration
	listeners  []Listener
	phase      atomic.Uint32
	classes    atomic.Pointer[classTable]

	stop       context.CancelFunc // ends the loop and the endpoint source
	goroutines sync.WaitGroup     // the goroutines of the loop, the endpoint source and the drain
	closeOnce  sync.Once
	reloadMu   sync.Mutex // held during Reload, so that reloads run one at a time

	drainMu      sync.Mutex // guards the fields below
	drainMachine *drain.Machine
	drainRun     *drainRun // the drain in progress, or the last one; nil before the first
}

// classTable is the part of the configuration in force that callers of Do read. It is immutable.
type classTable struct {
	classes          map[string]policy.Class
	longestDeadline  time.Duration
	shortestDeadline time.Duration
	overloaded       Answer // the answer to requests for which a listener has no connection slot
}

// New starts a router. It returns a wrapped *ConfigError for an invalid field of config.
func New(config Config, opts ...Option) (*Router, error) {
	resolved := newOptions(nil, opts)
	if resolved.transport == nil {
		return nil, errors.New("router: no transport: WithTransport is required")
	}
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	eventLoop, err := newLoop(config, resolved, clock{start: time.Now()})
	if err != nil {
		return nil, fmt.Errorf("router: Settings: %w", err)
	}
	return start(eventLoop, config, resolved), nil
}

// start starts the event loop and the endpoint source in goroutines of their own. Close ends both and waits for them.
func start(eventLoop *loop, config Config, opts options) *Router {
	r := &Router{loop: eventLoop, listeners: opts.listeners, drainMachine: drain.New(time.Now())}
	r.drainDelay = r.defaultDrainDelay
	if opts.drainDelaySet {
		r.drainDelay = func() time.Duration { return opts.drainDelay }
	}
	r.publishClasses(config)
	opts.transport.Configure(config.Settings)
	running, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.goroutines.Go(func() { eventLoop.run(running) })
	r.goroutines.Go(func() {
		<-eventLoop.ready
		r.phase.CompareAndSwap(uint32(Starting), uint32(Serving))
		opts.endpointSource.Run(running, eventLoop.enqueueUpdate)
	})
	return r
}

// defaultDrainDelay is the drain delay if WithDrainDelay is not given.
func (r *Router) defaultDrainDelay() time.Duration {
	base := min(r.classes.Load().longestDeadline, maxDrainDelayBase)
	return time.Duration(drainDelayShare * float64(base))
}

// publishClasses makes the classes of a configuration visible to callers of Do.
func (r *Router) publishClasses(c Config) {
	table := &classTable{
		classes:         make(map[string]policy.Class, len(c.Settings.Classes)),
		longestDeadline: c.longestDeadline(),
		overloaded:      Answer{Outcome: Overloaded, RetryAfter: overloadRetryAfter(c.Settings.Capabilities)},
	}
	for _, class := range c.Settings.Classes {
		table.classes[class.Name] = class
		if table.shortestDeadline == 0 || class.Deadline < table.shortestDeadline {
			table.shortestDeadline = class.Deadline
		}
	}
	r.classes.Store(table)
}

// Class returns a class of the configuration in force.
func (r *Router) Class(name string) (policy.Class, bool) {
	class, ok := r.classes.Load().classes[name]
	return class, ok
}

// ShortestDeadline is the shortest class deadline of the configuration in force.
func (r *Router) ShortestDeadline() time.Duration { return r.classes.Load().shortestDeadline }

// RejectOverloaded counts a request of a class for which a listener has no connection slot as overloaded, and returns
// the answer to it.
func (r *Router) RejectOverloaded(class string) Answer {
	r.loop.counters.count(class, Overloaded)
	return r.classes.Load().overloaded
}

// QueueTimeout is the longest time for which a listener may let clients wait for a connection slot. After that, their
// requests must be rejected at once: how much of its deadline a request has left is not known, and an answer that
// comes half a second after the deadline is lost.
func (r *Router) QueueTimeout() time.Duration {
	return min(maxQueueTimeout, time.Duration(queueTimeoutFraction*float64(r.ShortestDeadline())))
}

// OverloadRetryAfter is the Retry-After of requests for which a listener has no connection slot; 0 if the settings do
// not allow Retry-After.
func (r *Router) OverloadRetryAfter() time.Duration { return r.classes.Load().overloaded.RetryAfter }

// Conns is the number of open connections to servers; 0 unless the transport implements ConnectionCounter.
func (r *Router) Conns() int { return serverConnections(r.loop.transport) }

// Started returns a channel that is closed once the last known endpoint list is in force; from then on requests can
// be served.
func (r *Router) Started() <-chan struct{} { return r.loop.ready }

// Reload applies another configuration without a restart. Requests that were accepted before keep the classes and
// limits under which they were accepted; used request IDs, retry budgets and slow start are kept. Config.Seed is
// ignored. If the configuration is invalid, Reload changes nothing and returns an error that names the invalid field.
// After Close it returns ErrClosed.
func (r *Router) Reload(config Config) error {
	if err := config.validate(); err != nil {
		return fmt.Errorf("router: reload: %w", err)
	}
	r.reloadMu.Lock()
	defer r.reloadMu.Unlock()
	err := r.runInLoop(func(l *loop) error { return l.reload(config) })
	switch {
	case errors.Is(err, ErrClosed):
		return err
	case err != nil:
		return fmt.Errorf("router: reload: Settings: %w", err)
	}
	r.publishClasses(config)
	return nil
}

// Close stops the router at once: it answers open requests (Failed if they may have run, otherwise Rejected), cancels
// attempts, closes the transport, and returns when all goroutines of the router have ended. Calling it again only
// waits. It always returns nil.
func (r *Router) Close() error {
	r.closeOnce.Do(func() {
		r.advancePhase(Closed)
		r.stop()
		r.goroutines.Wait()
		r.loop.transport.Close()
	})
	return nil
}

// runInLoop runs f in the event loop and returns its error, or ErrClosed if the loop has ended.
func (r *Router) runInLoop(f func(*loop) error) error {
	reply := make(chan error, 1) // buffered: the loop must not wait for the caller
	if !r.loop.send(command{run: f, reply: reply}) {
		return ErrClosed
	}
	select {
	case err := <-reply:
		return err
	case <-r.loop.done:
		return ErrClosed
	}
}
