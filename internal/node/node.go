package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"cobaltward/body"
	"cobaltward/discovery/disabled"
	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/frontend/pacing"
	"cobaltward/internal/operations"
	"cobaltward/router"
)

// Run serves clients on the listener until ctx ends or a listener fails. When ctx ends, Run shuts the node down
// gracefully and returns. The registry address, the settings and the levels of a configuration from reloads take
// effect at once. A rejected configuration is logged and changes nothing.
func Run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Config, log *slog.Logger) error {
	n := &node{config: c, log: log, serveErrors: make(chan error, maxServers)}
	defer n.release()
	if err := n.build(listener); err != nil {
		return err
	}
	n.start(reloads)
	defer n.stopTasks()
	select {
	case err := <-n.serveErrors:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	return n.shutdown()
}

// maxServers is the maximum number of servers for clients: one for HTTP and one for MessagePack-RPC.
const maxServers = 2

// node is the state of one call of Run. Run calls build, start, shutdown, stopTasks and release in this order from
// one goroutine.
type node struct {
	config  Config                 // configuration at the start, completed by build
	current atomic.Pointer[Config] // last configuration that took effect
	log     *slog.Logger

	limits          connLimits
	pacing          pacing.Limiter // of client connections with very many requests that no server answers
	bodies          body.Limits
	tls             *nodeTLS // nil: no TLS
	registry        *registry.Source
	disabledServers *disabled.Source // nil: servers can be neither disabled nor untrusted
	transport       router.Transport
	engine          *router.Router
	httpServer      *httpServer
	rpcServer       *rpcServer       // nil: no MessagePack-RPC
	adminServer     *adminapi.Server // nil: no admin API
	admin           *adminAPI
	operations      *operations.Server // nil: no operations endpoint
	processGroup    *processGroup      // nil: this is the only process of the node
	state           *stateStore

	// handedOver is true once another process accepts the clients at the shared socket. Readiness checks then still
	// succeed during the shutdown.
	handedOver atomic.Bool

	tasks       sync.WaitGroup // goroutines started by start and drain
	cancelTasks context.CancelFunc
	serveErrors chan error // errors of the servers for clients; buffered for every server
}

// stopTasks closes the servers for clients, ends the goroutines in tasks and waits for them. After a shutdown the
// HTTP server is usually closed already.
func (n *node) stopTasks() {
	_ = n.httpServer.Close()
	if n.rpcServer != nil {
		n.rpcServer.Close()
	}
	n.cancelTasks()
	n.tasks.Wait()
}

// release closes what build and start have opened, in reverse order.
func (n *node) release() {
	if n.operations != nil {
		_ = n.operations.Close()
	}
	if n.processGroup != nil {
		n.processGroup.close()
	}
	if n.engine != nil {
		_ = n.engine.Close()
	}
	if n.adminServer != nil {
		n.adminServer.Close()
	}
	n.tls.close()
	if n.config.OperationsListener != nil {
		_ = n.config.OperationsListener.Close()
	}
}
