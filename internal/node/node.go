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
	reservedDescriptors = 24  // descriptors for the log, discovery, the runtime and the like
	clientConnShare     = 0.4 // of the others for clients: the third that their requests take, and some room
	maxHeaderBytes      = 16 << 10
	headerTimeout       = 2500 * time.Millisecond // for a request's head
	bodyTimeout         = 5 * time.Second         // for a body to come, beyond what a slow line takes for it
	bodyMemoryShare     = 0.25                    // of the memory, for bodies that are held
	maxBodyBytes        = 32 << 20                // bytes of a request's body
	clientIdleTimeout   = 15 * time.Second        // without a request; under pressure it is less
	writeTimeout        = 5 * time.Second         // for an answer to a client that doesn't read
	announceFraction    = 0.6                     // of the longest deadline, in which the node serves on as before
	maxDrainDeadline    = 3 * time.Second         // no client waits longer once a node is told to stop
	// minAnnounce is for how long clients are still sent to a node that was told to stop, however short deadlines are:
	// a listener that closes earlier turns them back, and resets those that the system has let in.
	minAnnounce = 420 * time.Millisecond
	// drainMargin is how much longer than the longest deadline a node may take: SIGKILL comes 0.7 s after it.
	drainMargin        = 300 * time.Millisecond
	finalAnswerTimeout = 150 * time.Millisecond // for what is failed then to reach its clients
	readyPath          = "/health/ready"
)

// Run serves clients on the listener until ctx ends. Then it goes on accepting for a moment, answers
// what it has taken, and returns. Configurations that come from reloads take effect at once, as far as
// ReloadConfig says.
func Run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Config, log *slog.Logger) error {
	sockets, callers := c.MaxDescriptors-reservedDescriptors, 0
	if c.OperationsListener != nil {
		defer c.OperationsListener.Close()
		sockets -= operations.MaxDescriptors
	}
	if c.Msgpack.Listener != nil {
		if callers = c.Msgpack.MaxConns; callers == 0 {
			callers = defaultMsgpackConns
		}
		callers = min(callers, sockets/4) // the rest must do for HTTP and for the servers
		sockets -= callers
	}
	most := int(clientConnShare * float64(sockets))
	source := registry.New(registry.Config{
		Addr: c.Discovery, Revision: c.InitialList.Revision,
		Subscribe: c.Settings.Subscribe, DrainGrace: c.Settings.Rules.DrainGrace, Log: log,
	})
	server := &http.Server{
		MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdleTimeout,
		DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(interface{ change(http.ConnState) }); ok {
				c.change(state)
			}
		},
	}
	var held *disabled.Source
	safe, err := newNodeTLS(c, func(id string, refused bool) { held.SetUntrusted(id, refused) }, log)
	if err != nil {
		return err
	}
	defer safe.close()
	front := newIntake(server, nodesockets.NewPersistentListener(listener, log), most)
	front.shared = c.SharedListener
	front.clients.layer = safe.clientListenerLayer()
	server.ConnContext = withClient
	membership := router.EndpointSource(source)
	if c.NewEndpointSource != nil {
		if membership, err = c.NewEndpointSource(source); err != nil {
			return err
		}
	}
	var way *adminapi.Server
	if c.AdminAPI.Enabled() {
		if safe != nil && safe.adminLayer != nil {
			c.AdminAPI.WrapListener = safe.adminLayer.Listener
		}
		if way, err = adminapi.Listen(c.AdminAPI, log); err != nil {
			return err
		}
		defer way.Close()
	}
	if way != nil || safe.transportLayer() != nil {
		held = disabled.New(membership)
		held.SetInitial(c.InitialList.Endpoints)
		membership = held
	}
	out := newTransport(c, sockets-most, safe.transportLayer())
	options := []router.Option{
		router.WithLogger(log), router.WithEndpointSource(membership), router.WithListener(front),
		router.WithTransport(out),
	}
	var rpc *rpcIntake
	if c.Msgpack.Listener != nil {
		rpc = newRPCIntake(c.Msgpack.Listener, safe.wrapMsgpack)
		options = append(options, router.WithListener(rpc))
	}
	if c.AnnounceFor != nil {
		options = append(options, router.WithDrainDelay(*c.AnnounceFor))
	}
	if c.Levels != nil {
		options = append(options, router.WithLevels(*c.Levels))
	}
	engine, err := router.New(c.routerConfig(), options...)
	if err != nil {
		return err
	}
	defer engine.Close()
	front.clients.patience = engine.QueuePatience
	front.clients.retryAfter = engine.OverloadRetryAfter
	if safe != nil {
		safe.engine.Store(engine)
	}
	bodies := c.bodyLimits()
	var succeeded atomic.Bool // another process takes in clients at the same socket: to them the node goes on
	up := func() bool { return engine.Phase() == router.Serving || succeeded.Load() }
	server.Handler = middleware.New(engine, middleware.WithMatcher(middleware.Any), middleware.WithReady(readyPath), middleware.WithReadiness(up),
		middleware.WithBodyTimeout(bodyTimeout), middleware.WithWriteTimeout(writeTimeout), middleware.WithBodies(bodies),
		middleware.WithDeparture(hasLeft), middleware.WithArrivalAge(arrivalAge), middleware.WithOverflow(overflows))
	if c.WrapHandler != nil {
		server.Handler = c.WrapHandler(server.Handler, readyPath)
	}

	if rpc != nil {
		rpc.Front = msgpackfront.New(engine, msgpackfront.Config{
			MaxConns: callers, MaxCalls: c.Msgpack.MaxCallsPerConn, Idle: clientIdleTimeout,
			MessageTimeout: headerTimeout, WriteTimeout: writeTimeout, Log: log,
		})
	}

	ctl := &adminAPI{name: c.Name, engine: engine, disabled: held, nodeTLS: safe, intake: front, announceFor: c.announceDuration(), drainMark: c.DrainMark}
	var next *processGroup
	brief := false
	if c.SharedListener && c.SharedDir != "" {
		if next = joinProcessGroup(c.SharedDir, log); next != nil {
			defer next.process.Unregister()
			next.engine, next.listener, next.budget, next.budgetBytes = engine, front, bodies.Budget, bodies.Budget.Most()
			next.limits, next.setMemoryShare, next.setStandby = hotrestart.Limits{ClientConns: most, ServerConns: sockets - most}, c.SetMemoryShare, ctl.setStandby
			next.conns, _ = out.(connLimiter)
			ctl.onStandby = next.publishOrder
		}
		if brief = c.State.File == ""; brief {
			c.State = StateConfig{File: filepath.Join(c.SharedDir, successorStateFile), SaveInterval: successorStateInterval}
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
	if c.OperationsListener != nil {
		desk := &operationsNode{engine: engine, startDrain: ctl.startDrain, cancelDrain: ctl.cancelDrain}
		defer operations.Serve(c.OperationsListener, desk, log).Close()
	}
	running, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer stop()
	var newest atomic.Pointer[Config]
	newest.Store(&c)
	parts.Go(func() { safe.run(running) })
	parts.Go(func() { watchReloads(running, reloads, &newest, engine, source, log) })
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
	announce, leave := last.announceDuration(), time.Duration(0)
	if c.SharedListener {
		// Who connects from now on is let in by the next process. Connections that are here end with their answers.
		succeeded.Store(engine.Phase() == router.Serving)
		state.paused.Store(true)
		if next != nil {
			next.draining.Store(true)
		}
		front.CloseListener()
		announce, leave = 0, announce
	}
	return end(last.drainTimeout(), announce, leave, engine, front)
}

// bodyLimits is what bodies of requests may have: a part of the memory for all together, and a part of that for one.
func (c Config) bodyLimits() body.Limits {
	all := int64(bodyMemoryShare * float64(c.MemoryMB<<20))
	return body.Limits{Body: maxBodyBytes, Hold: all / 4, Budget: body.NewBudget(all)}
}

// newTransport speaks to each server in the protocol of its kind, over so many connections in all.
func newTransport(c Config, conns int, layer *secure.ClientTLS) router.Transport {
	if len(c.Msgpack.ServerKinds) == 0 {
		return http1.New(http1.Config{MaxConns: conns, ConnectTimeout: c.ConnectTimeout, TLS: layer})
	}
	few := max(1, conns/4) // they carry many calls each
	return mixed.New(func(m router.Endpoint) int {
		if slices.Contains(c.Msgpack.ServerKinds, m.Kind) {
			return 1
		}
		return 0
	}, http1.New(http1.Config{MaxConns: conns - few, ConnectTimeout: c.ConnectTimeout, TLS: layer}),
		msgpacktransport.New(msgpacktransport.Config{MaxConns: few, ConnectTimeout: c.ConnectTimeout, TLS: layer}))
}

// watchReloads puts new configurations in force, and keeps the one that is in newest.
func watchReloads(ctx context.Context, reloads <-chan Config, newest *atomic.Pointer[Config], engine *router.Router, source *registry.Source, log *slog.Logger) {
	for {
		select {
		case next := <-reloads:
			if err := applyConfig(newest.Load(), &next, engine, log); err != nil {
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

// applyConfig takes levels and settings over, both or neither: a configuration of which a part holds is nobody's.
func applyConfig(c, next *Config, engine *router.Router, log *slog.Logger) error {
	if next.Settings.Subscribe != c.Settings.Subscribe {
		return errors.New("settings.registryMode: takes effect at the next start only")
	}
	levels := !reflect.DeepEqual(next.Levels, c.Levels)
	if levels {
		if err := engine.SetLevels(next.Levels); err != nil {
			return fmt.Errorf("levels: %w", err)
		}
	}
	if next.MaxInFlight != c.MaxInFlight || !reflect.DeepEqual(next.Settings, c.Settings) {
		if err := engine.Reload(next.routerConfig()); err != nil {
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

// announceDuration is for how long a node serves on as before while readiness says no.
func (c Config) announceDuration() time.Duration {
	if c.AnnounceFor != nil {
		return *c.AnnounceFor
	}
	if c.DrainTimeout != nil {
		return time.Duration(announceFraction * float64(*c.DrainTimeout))
	}
	return max(minAnnounce, time.Duration(announceFraction*float64(c.longestDeadline())))
}

// longestDeadline is how long a client waits, as far as a node that was told to stop goes by it.
func (c Config) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxDrainDeadline)
}

// drainTimeout bounds the drain at the end.
func (c Config) drainTimeout() time.Duration {
	if c.DrainTimeout != nil {
		return *c.DrainTimeout
	}
	return max(c.longestDeadline()+drainMargin, minAnnounce+min(c.longestDeadline(), finalAnswerTimeout))
}

// end ends the service. Clients go on coming for a while, and go on using the connections that they
// have: there may be no other node for them yet. So the node serves as before at first, and says only
// that it isn't ready; then it ends each connection with its answer, early enough for what it took last.
func end(within, announce, leave time.Duration, engine *router.Router, front *intake) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if err := engine.DrainAfter(ctx, announce, leave); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	last, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if err := front.Shutdown(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return front.Close()
}
