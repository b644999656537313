package node

import (
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"cobaltward/body"
	"cobaltward/discovery/disabled"
	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/hotrestart"
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
	maxHeaderBytes    = 16 << 10
	headerTimeout     = 2500 * time.Millisecond // timeout for a request's head, from its first byte
	bodyTimeout       = 5 * time.Second         // timeout for a request's body, plus the transfer time on a slow network
	clientIdleTimeout = 2 * time.Minute         // longer than clients keep idle connections open
	newConnTimeout    = 15 * time.Second        // timeout for the first byte after the accept or the TLS handshake
	rpcIdleTimeout    = 15 * time.Second        // idle timeout of MessagePack-RPC; documented in docs/msgpack-rpc.md
	writeTimeout      = 5 * time.Second         // timeout for writing an answer to a client that does not read
	readyPath         = "/health/ready"
)

const (
	bodyMemoryShare = 0.25 // maximum share of the node's memory for buffered bodies
	// baseHeapBytes is the heap that a node needs beside buffered bodies. Smaller nodes buffer less.
	baseHeapBytes = 12 << 20
	// bodyHeapShare is the maximum share of the heap above baseHeapBytes for buffered bodies.
	bodyHeapShare = 0.5
	// minBodyMemoryShare is the minimum share of the node's memory for buffered bodies.
	minBodyMemoryShare = 1.0 / 16
	maxBodyBytes       = 32 << 20 // maximum length of the body of one request
	bodiesPerBudget    = 4        // minimum number of buffered bodies that fit into the budget
)

// build creates the parts of the node. It starts none of the node's background tasks, but the engine, the transport
// and the TLS layer towards servers start their own goroutines. release closes what build has opened, also after an
// error.
func (n *node) build(listener net.Listener) error {
	n.limits = n.config.connLimits()
	n.registry = registry.New(registry.Config{
		Addr:       n.config.Discovery,
		Revision:   n.config.InitialList.Revision,
		Subscribe:  n.config.Settings.Subscribe,
		DrainGrace: n.config.Settings.Rules.DrainGrace,
		Log:        n.log,
	})
	if err := n.buildTLS(); err != nil {
		return err
	}
	n.buildHTTPServer(listener)
	endpoints, err := n.newEndpointSource()
	if err != nil {
		return err
	}
	if err := n.openAdminServer(); err != nil {
		return err
	}
	endpoints = n.wrapEndpointSource(endpoints)
	n.transport = newTransport(n.config, n.limits.servers, n.tls.transportLayer())
	if n.config.Msgpack.Listener != nil {
		n.rpcServer = newRPCServer(n.config.Msgpack.Listener, n.tls.wrapMsgpack)
	}
	if err := n.buildEngine(endpoints); err != nil {
		return err
	}
	n.bodies = n.config.bodyLimits()
	n.httpServer.server.Handler = n.newHandler()
	if n.rpcServer != nil {
		n.rpcServer.Server = n.newMsgpackServer()
	}
	n.admin = &adminAPI{
		name:            n.config.Name,
		engine:          n.engine,
		disabled:        n.disabledServers,
		nodeTLS:         n.tls,
		httpServer:      n.httpServer,
		announceFor:     n.config.announceDuration(),
		drainMarkerFile: n.config.DrainMarkerFile,
	}
	successorOnly := n.buildProcessGroup()
	n.state = &stateStore{
		config:        n.config.State,
		name:          n.config.Name,
		engine:        n.engine,
		successorOnly: successorOnly,
		log:           n.log,
	}
	return nil
}

func (n *node) buildTLS() error {
	setUntrusted := func(id string, untrusted bool) { n.disabledServers.SetUntrusted(id, untrusted) }
	tls, err := newNodeTLS(n.config, setUntrusted, n.log)
	if err != nil {
		return err
	}
	n.tls = tls
	return nil
}

// buildHTTPServer creates the server for HTTP clients; its handler is set later.
func (n *node) buildHTTPServer(listener net.Listener) {
	server := &http.Server{
		MaxHeaderBytes:               maxHeaderBytes, // timeouts stay unset: readDeadline enforces them
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(n.log.Handler(), slog.LevelWarn),
		ConnContext:                  withClientConn,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if observer, ok := conn.(interface{ onStateChange(http.ConnState) }); ok {
				observer.onStateChange(state)
			}
		},
	}
	n.httpServer = newHTTPServer(server, nodesockets.NewPersistentListener(listener, n.log), n.limits.clients)
	n.httpServer.sharedSocket = n.config.SharedListener
	n.httpServer.listener.log = n.log
	n.httpServer.listener.pacing = &n.pacing
	n.httpServer.listener.tlsLayer = n.tls.clientListenerLayer()
}

// newEndpointSource returns the source of endpoints: the registry, or a source that the configuration derives from
// the registry.
func (n *node) newEndpointSource() (router.EndpointSource, error) {
	if n.config.NewEndpointSource == nil {
		return n.registry, nil
	}
	return n.config.NewEndpointSource(n.registry)
}

// wrapEndpointSource returns a source that reports disabled and untrusted servers as draining. Only the admin API
// disables servers, and only TLS towards servers finds untrusted servers. Without both, wrapEndpointSource returns
// source itself.
func (n *node) wrapEndpointSource(source router.EndpointSource) router.EndpointSource {
	if n.adminServer == nil && n.tls.transportLayer() == nil {
		return source
	}
	n.disabledServers = disabled.New(source)
	n.disabledServers.SetInitial(n.config.InitialList.Endpoints)
	return n.disabledServers
}

// openAdminServer opens the admin API's listeners, if the admin API is configured. Connections wait in the accept
// queue until startAdminServer.
func (n *node) openAdminServer() error {
	if !n.config.AdminAPI.Enabled() {
		return nil
	}
	if n.tls != nil && n.tls.adminLayer != nil {
		n.config.AdminAPI.WrapListener = n.tls.adminLayer.Listener
	}
	server, err := adminapi.Listen(n.config.AdminAPI, n.log)
	if err != nil {
		return err
	}
	n.adminServer = server
	return nil
}

// buildEngine creates the engine and passes it to the parts of the node that use the engine. The engine starts to
// follow the endpoint source.
func (n *node) buildEngine(endpoints router.EndpointSource) error {
	options := []router.Option{
		router.WithLogger(n.log),
		router.WithEndpointSource(endpoints),
		router.WithListener(n.httpServer),
		router.WithTransport(n.transport),
	}
	if n.rpcServer != nil {
		options = append(options, router.WithListener(n.rpcServer))
	}
	if n.config.AnnounceFor != nil {
		options = append(options, router.WithDrainDelay(*n.config.AnnounceFor))
	}
	if n.config.Levels != nil {
		options = append(options, router.WithLevels(*n.config.Levels))
	}
	engine, err := router.New(n.config.routerConfig(), options...)
	if err != nil {
		return err
	}
	n.engine = engine
	n.httpServer.listener.queueTimeout = engine.QueueTimeout
	n.httpServer.listener.retryAfter = engine.OverloadRetryAfter
	if n.tls != nil {
		n.tls.engine.Store(engine)
	}
	return nil
}

// newHandler returns the handler of HTTP requests.
func (n *node) newHandler() http.Handler {
	var handler http.Handler = middleware.New(n.engine,
		middleware.WithMatcher(middleware.Any),
		middleware.WithReadyPath(readyPath),
		middleware.WithReadiness(n.isReady),
		middleware.WithBodyTimeout(bodyTimeout),
		middleware.WithWriteTimeout(writeTimeout),
		middleware.WithBodyLimits(n.bodies),
		middleware.WithDisconnectCheck(clientDisconnected),
		middleware.WithArrivalAge(arrivalAge),
		middleware.WithBodyDeadlineSetter(setBodyDeadlines),
		middleware.WithOverflow(mustReject),
		middleware.WithSendCompletion(whenSent),
		middleware.WithUnreadCheck(unreadBytes),
		middleware.WithBacklogCheck(clientMayHaveLeft),
		middleware.WithLocalAnswerCounter(countLocalAnswer),
	)
	if n.config.WrapHandler != nil {
		handler = n.config.WrapHandler(handler, readyPath)
	}
	return abortEvicted(handler)
}

// isReady reports whether readiness checks succeed.
func (n *node) isReady() bool { return n.engine.Phase() == router.Serving || n.handedOver.Load() }

func (n *node) newMsgpackServer() *msgpackfront.Server {
	return msgpackfront.New(n.engine, msgpackfront.Config{
		MaxConns:       n.limits.msgpackClients,
		MaxCalls:       n.config.Msgpack.MaxCallsPerConn,
		MaxTotalCalls:  n.limits.msgpackCalls,
		Bodies:         n.bodies.Budget,
		Pacing:         &n.pacing,
		IdleTimeout:    rpcIdleTimeout,
		MessageTimeout: headerTimeout,
		WriteTimeout:   writeTimeout,
		Log:            n.log,
	})
}

// buildProcessGroup makes this process share the node with its predecessor and successor. It does nothing without a
// shared listener and a shared directory. successorOnly reports whether the learned state is saved for a successor
// only.
func (n *node) buildProcessGroup() (successorOnly bool) {
	if !n.config.SharedListener || n.config.SharedDir == "" {
		return false
	}
	if group := joinProcessGroup(n.config.SharedDir, n.log); group != nil {
		group.engine, group.listener = n.engine, n.httpServer
		group.ids = newSharedIDs(group.process, n.engine, n.log)
		group.budget, group.budgetBytes = n.bodies.Budget, n.bodies.Budget.Limit()
		group.limits = hotrestart.Limits{ClientConns: n.limits.clients, ServerConns: n.limits.servers}
		group.setMemoryShare, group.setStandby = n.config.SetMemoryShare, n.admin.setStandby
		group.conns, _ = n.transport.(connLimiter)
		n.admin.onStandby = group.publishOrder
		n.processGroup = group
	}
	if n.config.State.File != "" {
		return false
	}
	n.config.State = StateConfig{
		File:         filepath.Join(n.config.SharedDir, successorStateFile),
		SaveInterval: successorStateInterval,
	}
	return true
}

// bodyLimits returns the limits of buffered request bodies: a share of the node's memory for all bodies together, and
// a smaller limit for each body.
func (c Config) bodyLimits() body.Limits {
	memory := float64(c.MemoryMB << 20)
	spareHeap := bodyHeapShare * float64(c.HeapLimit()-baseHeapBytes)
	budget := int64(min(bodyMemoryShare*memory, max(minBodyMemoryShare*memory, spareHeap)))
	return body.Limits{MaxLength: maxBodyBytes, MaxBuffered: budget / bodiesPerBudget, Budget: body.NewBudget(budget)}
}

// newTransport returns a transport with at most maxConns connections. The kind of a server determines the protocol.
func newTransport(config Config, maxConns int, layer *secure.ClientTLS) router.Transport {
	newHTTP := func(maxConns int) router.Transport {
		return http1.New(http1.Config{MaxConns: maxConns, ConnectTimeout: config.ConnectTimeout, TLS: layer})
	}
	if len(config.Msgpack.ServerKinds) == 0 {
		return newHTTP(maxConns)
	}
	msgpackConns := max(1, maxConns/msgpackConnDivisor)
	protocolOf := func(endpoint router.Endpoint) int {
		if slices.Contains(config.Msgpack.ServerKinds, endpoint.Kind) {
			return 1
		}
		return 0
	}
	return mixed.New(protocolOf, newHTTP(maxConns-msgpackConns), msgpacktransport.New(msgpacktransport.Config{
		MaxConns:       msgpackConns,
		ConnectTimeout: config.ConnectTimeout,
		TLS:            layer,
	}))
}
