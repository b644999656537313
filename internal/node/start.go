package node

import (
	"context"

	"cobaltward/internal/operations"
)

// start starts the servers for operators, then the background tasks, and finally the servers for clients. stopTasks
// ends the goroutines in tasks. release closes the servers for operators.
func (n *node) start(reloads <-chan Config) {
	if n.config.State.File != "" {
		n.state.restore()
	}
	n.startAdminServer()
	if n.processGroup != nil {
		n.processGroup.logOnce(n.processGroup.ids.awaitOthers()) // they accept the clients at the shared socket meanwhile
	}
	n.startOperations()

	ctx, cancel := context.WithCancel(context.Background())
	n.cancelTasks = cancel
	n.current.Store(&n.config)
	n.tasks.Go(func() { n.tls.run(ctx) })
	n.tasks.Go(func() { n.watchMemory(ctx) })
	n.tasks.Go(func() { n.watchReloads(ctx, reloads) })
	if n.config.State.File != "" {
		n.tasks.Go(func() { n.state.run(ctx) })
	}

	// Clients are accepted only once the engine can serve. Until then the predecessor accepts clients at a shared
	// socket.
	<-n.engine.Started()
	if n.processGroup != nil {
		n.processGroup.coordinate() // sets the share of this process, and standby, before the first client
		n.tasks.Go(func() { n.processGroup.run(ctx) })
	}
	n.tasks.Go(func() { n.serveErrors <- n.httpServer.Serve() })
	if n.rpcServer != nil {
		n.tasks.Go(func() { n.serveErrors <- n.rpcServer.Serve() })
	}
}

// startAdminServer restores a drain that was in progress before a restart, and then starts the admin API.
func (n *node) startAdminServer() {
	if n.adminServer == nil {
		return
	}
	n.state.register(n.adminServer)
	n.admin.register(n.adminServer)
	n.admin.restoreDrain()
	n.adminServer.Start()
}

// startOperations starts the operations endpoint, if it is configured.
func (n *node) startOperations() {
	if n.config.OperationsListener == nil {
		return
	}
	endpoint := &operationsNode{
		engine:      n.engine,
		startDrain:  n.admin.startDrain,
		cancelDrain: n.admin.cancelDrain,
		unanswered:  n.unansweredCounts,
		resources:   n.resourceUsage,
	}
	n.operations = operations.Serve(n.config.OperationsListener, endpoint, n.log)
}
