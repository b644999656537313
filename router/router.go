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
	// maxDrainDelayBase limits the longest class deadline, from which the default drain delay is computed.
	maxDrainDelayBase = 3 * time.Second
	// drainDelayShare is the default drain delay as a fraction of the limited deadline.
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
	goroutines sync.WaitGroup     // goroutines of the loop, the endpoint source and the drain
	closeOnce  sync.Once
	reloadMu   sync.Mutex // held during Reload: reloads run one at a time

	drainMu      sync.Mutex // guards the fields below
	drainMachine *drain.Machine
	drainRun     *drainRun // drain in progress or last drain; nil: no drain yet
}

// classTable is the part of the configuration in force that callers of Do read. It is immutable.
type classTable struct {
	classes          map[string]policy.Class
	longestDeadline  time.Duration
	shortestDeadline time.Duration
	overloaded       Answer // answer to requests for which a listener has no connection slot
}

// New starts a router. For an invalid field of config it returns a wrapped *ConfigError.
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

// start starts the event loop and the endpoint source, each in its own goroutine. Close ends both goroutines and
// waits for them.
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

// defaultDrainDelay returns the drain delay of a router without WithDrainDelay.
func (r *Router) defaultDrainDelay() time.Duration {
	base := min(r.classes.Load().longestDeadline, maxDrainDelayBase)
	return time.Duration(drainDelayShare * float64(base))
}

// publishClasses makes the classes of c visible to callers of Do.
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

// Class returns the class called name from the configuration in force.
func (r *Router) Class(name string) (policy.Class, bool) {
	class, ok := r.classes.Load().classes[name]
	return class, ok
}

// ShortestDeadline returns the shortest class deadline of the configuration in force.
func (r *Router) ShortestDeadline() time.Duration { return r.classes.Load().shortestDeadline }

// RejectOverloaded counts a request of class as overloaded, and returns the answer to the request. A listener calls
// RejectOverloaded if it has no free connection slot.
func (r *Router) RejectOverloaded(class string) Answer {
	r.loop.counters.count(class, Overloaded)
	return r.classes.Load().overloaded
}

// QueueTimeout returns the maximum time for which a listener may let clients wait for a connection slot. After that
// time, the listener must reject the requests of these clients at once. The remaining time of such a request is
// unknown, and an answer half a second after the deadline of the request is lost.
func (r *Router) QueueTimeout() time.Duration {
	return min(maxQueueTimeout, time.Duration(queueTimeoutFraction*float64(r.ShortestDeadline())))
}

// OverloadRetryAfter returns the Retry-After of requests for which a listener has no connection slot. It returns 0 if
// the settings do not allow Retry-After.
func (r *Router) OverloadRetryAfter() time.Duration { return r.classes.Load().overloaded.RetryAfter }

// Conns returns the number of open connections to servers. It returns 0 unless the transport implements
// ConnectionCounter.
func (r *Router) Conns() int { return serverConnections(r.loop.transport) }

// Started returns a channel that is closed once the last known endpoint list is in force. From then on, requests can
// be served.
func (r *Router) Started() <-chan struct{} { return r.loop.ready }

// Reload applies config without a restart. Requests that were accepted before Reload keep the classes and limits of
// their admission. Used request IDs, retry budgets and slow start are kept. Config.Seed is ignored.
//
// If config is invalid, Reload changes nothing and returns an error that names the invalid field. After Close it
// returns ErrClosed.
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

// Close stops the router at once. It answers an open request with Failed if the request may have run, and with
// Rejected otherwise. It cancels attempts, waits for all goroutines of the router, and closes the transport. Another
// call only waits for the first call. Close always returns nil.
func (r *Router) Close() error {
	r.closeOnce.Do(func() {
		r.advancePhase(Closed)
		r.stop()
		r.goroutines.Wait()
		r.loop.transport.Close()
	})
	return nil
}

// runInLoop calls f in the event loop and returns the error of f, or ErrClosed if the loop has ended.
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
