package fleetcli

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/sockets"
)

// TestHooks replaces parts of a process in tests. The zero value replaces nothing.
type TestHooks struct {
	Clock     consensus.Clock // zero: the system clock
	Storage   func(consensus.Storage) consensus.Storage
	Unsafe    lease.UnsafeOptions
	FailPoint func(point string) // see agent.Config and agent.ControllerConfig
	// ObserveProposal is called with each proposal about a lease; see agent.ControllerConfig.
	ObserveProposal func(entry fleet.Entry, holder string) func(result fleet.Result, known bool)
}

// clock returns the clock of the hooks if set, otherwise the system clock.
func (h TestHooks) clock() consensus.Clock {
	if h.Clock.Monotonic == nil {
		return consensus.SystemClock()
	}
	return h.Clock
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
)

// serveHTTP serves HTTP on the process's listen address until the caller calls stop. stop returns once all goroutines
// have ended. Request contexts are derived from ctx.
func serveHTTP(ctx context.Context, cfg *settings, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	return serveOn(ctx, listener, cfg, handler), nil
}

// serveOn is like serveHTTP, on the given listener.
func serveOn(ctx context.Context, listener net.Listener, cfg *settings, handler http.Handler) (stop func()) {
	listener = sockets.NewPersistentListener(listener, cfg.log)
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	if cfg.mutualTLS != nil {
		listener = tls.NewListener(listener, cfg.mutualTLS.server())
		tasks.Go(func() { cfg.mutualTLS.watch(ctx) })
	}
	server := &http.Server{
		Handler:           adminapi.RequireToken(handler, cfg.token),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(cfg.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			cfg.log.Error("fleet: server stopped", "error", err)
		}
	})
	cfg.log.Info("listening", "name", cfg.Name, "address", listener.Addr())
	return func() {
		_ = server.Close()
		cancel()
		tasks.Wait()
	}
}

// signalContext returns a context that is canceled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
