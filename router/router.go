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
	// maxDrainDelayBase bounds the part of the longest class deadline that the default drain delay counts.
	maxDrainDelayBase = 3 * time.Second
	// drainDelayShare is the share of it for which a drain keeps serving as before.
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
	goroutines sync.WaitGroup     // the loop, the endpoint source and the drain
	closeOnce  sync.Once
	reloadMu   sync.Mutex // held during Reload: one at a time

	drainMu      sync.Mutex // guards what follows
	drainMachine *drain.Machine
	drainRun     *drainRun // the drain that is in progress, or the last one; nil before the first
}

// classTable is what callers of Do need of the configuration in force. It is never changed.
type classTable struct {
	classes          map[string]policy.Class
	longestDeadline  time.Duration
	shortestDeadline time.Duration
	overloaded       Answer // to requests that a listener has no room for
}

// New starts a router. It returns a *ConfigError, wrapped, for an invalid field of c.
func New(config Config, opts ...Option) (*Router, error) {
	resolved := newOptions(nil, opts)
	if resolved.transport == nil {
		return nil, errors.New("router: no transport: give one by WithTransport")
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

// start starts the router's goroutines, the event loop and the endpoint source. Close ends both, and waits
// for them.
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

// defaultDrainDelay is the drain delay where WithDrainDelay is not given.
func (r *Router) defaultDrainDelay() time.Duration {
	base := min(r.classes.Load().longestDeadline, maxDrainDelayBase)
	return time.Duration(drainDelayShare * float64(base))
}

// publishClasses makes a configuration visible to callers.
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

// ShortestDeadline is the shortest deadline of a class of the configuration in force.
func (r *Router) ShortestDeadline() time.Duration { return r.classes.Load().shortestDeadline }

// RejectOverloaded counts a request of a class that a listener has no room for, and returns the answer to it.
func (r *Router) RejectOverloaded(class string) Answer {
	r.loop.counters.count(class, Overloaded)
	return r.classes.Load().overloaded
}

// QueueTimeout is the time for which a listener may let clients wait for a connection slot. After it their requests
// must be rejected at once: a request may have any part of its deadline left, and its answer is lost half a second
// after that.
func (r *Router) QueueTimeout() time.Duration {
	return min(maxQueueTimeout, time.Duration(queueTimeoutFraction*float64(r.ShortestDeadline())))
}

// OverloadRetryAfter is the Retry-After for requests that a listener has no slot for; 0 where the settings allow
// none.
func (r *Router) OverloadRetryAfter() time.Duration { return r.classes.Load().overloaded.RetryAfter }

// Conns is the number of connections to servers; 0 unless the transport is a ConnectionCounter.
func (r *Router) Conns() int { return serverConnections(r.loop.transport) }

// Started is closed once the last known endpoint list is in force: from then on requests can be served.
func (r *Router) Started() <-chan struct{} { return r.loop.ready }

// Reload applies another configuration without a restart. Requests accepted before end under the classes
// and limits that they were accepted under; used request IDs, retry budgets and slow start are kept.
// Config.Seed is not read. It returns an error that names the invalid field, and changes nothing then, or
// ErrClosed.
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

// Close ends the router at once: open requests are answered (Failed where they may have run, else
// Rejected), attempts are cancelled, the transport is closed, and Close returns when no goroutine of the
// router is left. Calling it again only waits. It always returns nil.
func (r *Router) Close() error {
	r.closeOnce.Do(func() {
		r.advancePhase(Closed)
		r.stop()
		r.goroutines.Wait()
		r.loop.transport.Close()
	})
	return nil
}

// runInLoop has the event loop run f, and returns its error; ErrClosed where the loop has ended.
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
