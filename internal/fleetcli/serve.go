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

// TestHooks replace parts of a process in tests. The zero value replaces nothing.
type TestHooks struct {
	Clock     consensus.Clock // zero: that of the system
	Storage   func(consensus.Storage) consensus.Storage
	Unsafe    lease.UnsafeOptions
	FailPoint func(point string)
	// ObserveProposal is called for each proposal about a lease; see agent.ControllerConfig.
	ObserveProposal func(entry fleet.Entry, holder string) func(result fleet.Result, known bool)
}

// clock returns the clock of the process.
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

// serveHTTP answers calls on the process's address until stop is called, which waits for the goroutines. The contexts
// of requests end with ctx.
func serveHTTP(ctx context.Context, loaded *settings, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", loaded.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	return serveOn(ctx, listener, loaded, handler), nil
}

// serveOn answers calls on a listener, as serveHTTP does.
func serveOn(ctx context.Context, listener net.Listener, loaded *settings, handler http.Handler) (stop func()) {
	listener = sockets.NewPersistentListener(listener, loaded.log)
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	if loaded.mutualTLS != nil {
		listener = tls.NewListener(listener, loaded.mutualTLS.server())
		tasks.Go(func() { loaded.mutualTLS.watch(ctx) })
	}
	server := &http.Server{
		Handler:           adminapi.RequireToken(handler, loaded.token),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(loaded.log.Handler(), slog.LevelDebug),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			loaded.log.Error("fleet: server stopped", "error", err)
		}
	})
	loaded.log.Info("listening", "name", loaded.Name, "address", listener.Addr())
	return func() {
		_ = server.Close()
		cancel()
		tasks.Wait()
	}
}

// signalContext returns a context that ends with SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
