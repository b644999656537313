package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/body"
	"cobaltward/discovery/disabled"
	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/hotrestart"
	"cobaltward/internal/operations"
	"cobaltward/middleware"
	"cobaltward/router"
	"cobaltward/transport/http1"
	"cobaltward/transport/mixed"
	"cobaltward/transport/secure"

	msgpackfront "cobaltward/internal/frontend/msgpack"
	nodesockets "cobaltward/internal/sockets"
	msgpacktransport "cobaltward/transport/msgpack"
)

const (
	ownSockets    = 24  // descriptors for the log, discovery, the runtime and the like
	clientsPart   = 0.4 // of the others for clients: the third that their requests take, and some room
	maxHeader     = 16 << 10
	headerTimeout = 2500 * time.Millisecond // for a request's head
	bodyTimeout   = 5 * time.Second         // for a body to come, beyond what a slow line takes for it
	bodiesPart    = 0.25                    // of the memory, for bodies that are held
	longestBody   = 32 << 20                // bytes of a request's body
	clientIdle    = 15 * time.Second        // without a request; under pressure it is less
	writeTimeout  = 5 * time.Second         // for an answer to a client that doesn't read
	leavePart     = 0.6                     // of the longest deadline, in which the node serves on as before
	longestDrain  = 3 * time.Second         // no client waits longer once a node is told to stop
	// stillComing is for how long clients are still sent to a node that was told to stop, however short deadlines are:
	// a listener that closes earlier turns them back, and resets those that the system has let in.
	stillComing = 420 * time.Millisecond
	// stopMargin is how much longer than the longest deadline a node may take: SIGKILL comes 0.7 s after it.
	stopMargin  = 300 * time.Millisecond
	lastAnswers = 150 * time.Millisecond // for what is failed then to reach its clients
	readyPath   = "/health/ready"
)

// Run serves clients on the listener until ctx ends. Then it goes on accepting for a moment, answers
// what it has taken, and returns. Configurations that come from reloads take effect at once, as far as
// ReloadConfig says.
func Run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Config, log *slog.Logger) error {
	sockets, callers := c.Sockets-ownSockets, 0
	if c.ConsoleListener != nil {
		defer c.ConsoleListener.Close()
		sockets -= operations.Slots
	}
	if c.Msgpack.Listener != nil {
		if callers = c.Msgpack.Connections; callers == 0 {
			callers = defaultMsgpackConns
		}
		callers = min(callers, sockets/4) // the rest must do for HTTP and for the servers
		sockets -= callers
	}
	most := int(clientsPart * float64(sockets))
	source := registry.New(registry.Config{
		Addr: c.Discovery, Revision: c.Known.Revision,
		Subscribe: c.Settings.Subscribe, DrainGrace: c.Settings.Rules.DrainGrace, Log: log,
	})
	server := &http.Server{
		MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle,
		DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(interface{ onStateChange(http.ConnState) }); ok {
				c.onStateChange(state)
			}
		},
	}
	var held *disabled.Source
	safe, err := secureNode(c, func(id string, refused bool) { held.SetUntrusted(id, refused) }, log)
	if err != nil {
		return err
	}
	defer safe.close()
	front := newHTTPServer(server, nodesockets.NewPersistentListener(listener, log), most)
	front.sharedSocket = c.Shared
	front.listener.tlsLayer = safe.fromClients()
	server.ConnContext = withClientConn
	membership := router.EndpointSource(source)
	if c.Membership != nil {
		if membership, err = c.Membership(source); err != nil {
			return err
		}
	}
	var way *adminapi.Door
	if c.Door.On() {
		if safe != nil && safe.door != nil {
			c.Door.Wrap = safe.door.Listener
		}
		if way, err = adminapi.Open(c.Door, log); err != nil {
			return err
		}
		defer way.Close()
	}
	if way != nil || safe.towards() != nil {
		held = disabled.New(membership)
		held.SetInitial(c.Known.Endpoints)
		membership = held
	}
	out := transport(c, sockets-most, safe.towards())
	options := []router.Option{
		router.WithLogger(log), router.WithEndpointSource(membership), router.WithListener(front),
		router.WithTransport(out),
	}
	var rpc *rpcServer
	if c.Msgpack.Listener != nil {
		rpc = newRPCServer(c.Msgpack.Listener, safe.wrapMsgpack)
		options = append(options, router.WithListener(rpc))
	}
	if c.Leave != nil {
		options = append(options, router.WithDrainDelay(*c.Leave))
	}
	if c.Levels != nil {
		options = append(options, router.WithLevels(*c.Levels))
	}
	engine, err := router.New(c.router(), options...)
	if err != nil {
		return err
	}
	defer engine.Close()
	front.listener.queueTimeout = engine.QueuePatience
	front.listener.retryAfter = engine.OverloadRetryAfter
	if safe != nil {
		safe.engine.Store(engine)
	}
	bodies := c.bodies()
	var succeeded atomic.Bool // another process takes in clients at the same socket: to them the node goes on
	up := func() bool { return engine.Phase() == router.Serving || succeeded.Load() }
	server.Handler = middleware.New(engine, middleware.WithMatcher(middleware.Any), middleware.WithReady(readyPath), middleware.WithReadiness(up),
		middleware.WithBodyTimeout(bodyTimeout), middleware.WithWriteTimeout(writeTimeout), middleware.WithBodies(bodies),
		middleware.WithDeparture(clientDisconnected), middleware.WithArrivalAge(arrivalAge), middleware.WithOverflow(mustReject))
	if c.Front != nil {
		server.Handler = c.Front(server.Handler, readyPath)
	}

	if rpc != nil {
		rpc.Front = msgpackfront.New(engine, msgpackfront.Config{
			MaxConns: callers, MaxCalls: c.Msgpack.Calls, Idle: clientIdle,
			MessageTimeout: headerTimeout, WriteTimeout: writeTimeout, Log: log,
		})
	}

	ctl := &adminAPI{name: c.Name, engine: engine, disabled: held, tls: safe, intake: front, announceFor: c.leave(), drainMark: c.DrainMark}
	var next *processGroup
	brief := false
	if c.Shared && c.Common != "" {
		if next = joinProcessGroup(c.Common, log); next != nil {
			defer next.process.Unregister()
			next.engine, next.listener, next.budget, next.budgetBytes = engine, front, bodies.Budget, bodies.Budget.Most()
			next.limits, next.setMemoryShare, next.setStandby = hotrestart.Limits{ClientConns: most, ServerConns: sockets - most}, c.Memory, ctl.setStandby
			next.conns, _ = out.(connLimiter)
			ctl.onStandby = next.publishOrder
		}
		if brief = c.State.File == ""; brief {
			c.State = StateConfig{File: filepath.Join(c.Common, successorStateFile), Every: successorStateInterval}
		}
	}
	state := &stateKeeper{config: c.State, name: c.Name, engine: engine, successorOnly: brief, log: log}
	if c.State.File != "" {
		state.restore()
	}
	if way != nil {
		state.register(way)
		ctl.register(way)
		ctl.restoreDrain()
		way.Start()
	}
	if c.ConsoleListener != nil {
		desk := &operationsNode{engine: engine, startDrain: ctl.startDrain, cancelDrain: ctl.cancelDrain}
		defer operations.Serve(c.ConsoleListener, desk, log).Close()
	}
	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	var newest atomic.Pointer[Config]
	newest.Store(&c)
	parts.Go(func() { safe.run(running) })
	parts.Go(func() { follow(running, reloads, &newest, engine, source, log) })
	if c.State.File != "" {
		parts.Go(func() { state.run(running) })
	}
	failed := make(chan error, 2)
	// Who is let in finds a node that can serve; of a shared socket, the process before this one does so until then.
	<-engine.Started()
	if next != nil {
		next.coordinate() // what it has, and whether the node is in standby
		parts.Go(func() { next.run(running) })
	}
	parts.Go(func() { failed <- front.Serve() })
	if rpc != nil {
		parts.Go(func() { failed <- rpc.Serve() })
		defer rpc.Close()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	log.Info("stopping")
	last := newest.Load()
	announce, leave := last.leave(), time.Duration(0)
	if c.Shared {
		// Who connects from now on is let in by the next process. Connections that are here end with their answers.
		succeeded.Store(engine.Phase() == router.Serving)
		state.paused.Store(true)
		if next != nil {
			next.draining.Store(true)
		}
		front.CloseListener()
		announce, leave = 0, announce
	}
	return end(last.drainFor(), announce, leave, engine, front)
}

// bodies is what bodies of requests may have: a part of the memory for all together, and a part of that for one.
func (c Config) bodies() body.Limits {
	all := int64(bodiesPart * float64(c.MemoryMB<<20))
	return body.Limits{Body: longestBody, Hold: all / 4, Budget: body.NewBudget(all)}
}

// transport speaks to each server in the protocol of its kind, over so many connections in all.
func transport(c Config, conns int, layer *secure.Layer) router.Transport {
	if len(c.Msgpack.Servers) == 0 {
		return http1.New(http1.Config{MaxConns: conns, ConnectTimeout: c.ConnectTimeout, Secure: layer})
	}
	few := max(1, conns/4) // they carry many calls each
	return mixed.New(func(m router.Endpoint) int {
		if slices.Contains(c.Msgpack.Servers, m.Kind) {
			return 1
		}
		return 0
	}, http1.New(http1.Config{MaxConns: conns - few, ConnectTimeout: c.ConnectTimeout, Secure: layer}),
		msgpacktransport.New(msgpacktransport.Config{MaxConns: few, ConnectTimeout: c.ConnectTimeout, Secure: layer}))
}

// follow puts new configurations in force, and keeps the one that is in newest.
func follow(ctx context.Context, reloads <-chan Config, newest *atomic.Pointer[Config], engine *router.Router, source *registry.Source, log *slog.Logger) {
	for {
		select {
		case next := <-reloads:
			if err := putInForce(newest.Load(), &next, engine, log); err != nil {
				log.Error("reload: keeping the old configuration", "err", err)
				continue
			}
			source.SetAddress(next.Discovery)
			newest.Store(&next)
		case <-ctx.Done():
			return
		}
	}
}

// putInForce takes levels and settings over, both or neither: a configuration of which a part holds is nobody's.
func putInForce(c, next *Config, engine *router.Router, log *slog.Logger) error {
	if next.Settings.Subscribe != c.Settings.Subscribe {
		return errors.New("settings.registryMode: takes effect at the next start only")
	}
	levels := !reflect.DeepEqual(next.Levels, c.Levels)
	if levels {
		if err := engine.SetLevels(next.Levels); err != nil {
			return fmt.Errorf("levels: %w", err)
		}
	}
	if next.MaxOpen != c.MaxOpen || !reflect.DeepEqual(next.Settings, c.Settings) {
		if err := engine.Reload(next.router()); err != nil {
			if levels {
				err = errors.Join(err, engine.SetLevels(c.Levels))
			}
			return err
		}
		log.Info("reload: new settings in force")
	}
	if levels {
		log.Info("reload: new levels in force")
	}
	return nil
}

// leave is for how long a node serves on as before while readiness says no.
func (c Config) leave() time.Duration {
	if c.Leave != nil {
		return *c.Leave
	}
	if c.DrainFor != nil {
		return time.Duration(leavePart * float64(*c.DrainFor))
	}
	return max(stillComing, time.Duration(leavePart*float64(c.longest())))
}

// longest is how long a client waits, as far as a node that was told to stop goes by it.
func (c Config) longest() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, longestDrain)
}

// drainFor bounds the drain at the end.
func (c Config) drainFor() time.Duration {
	if c.DrainFor != nil {
		return *c.DrainFor
	}
	return max(c.longest()+stopMargin, stillComing+min(c.longest(), lastAnswers))
}

// end ends the service. Clients go on coming for a while, and go on using the connections that they
// have: there may be no other node for them yet. So the node serves as before at first, and says only
// that it isn't ready; then it ends each connection with its answer, early enough for what it took last.
func end(within, announce, leave time.Duration, engine *router.Router, front *httpServer) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := engine.DrainAfter(ctx, announce, leave); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	last, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if err := front.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return front.Close()
}
