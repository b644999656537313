// Command app is a small workspace application that embeds the router. It serves its own pages, and routes booking
// requests of its clients under /api. It also sends a booking request itself, and shuts down gracefully.
//
//	go run ./examples/app                                    # on 127.0.0.1:8080
//	curl -H 'X-Request-Id: 1' -H 'X-Class: hladanie' -H 'X-Deadline-Ms: 2000' 127.0.0.1:8080/api/rooms
//	curl 127.0.0.1:8080/
//
// The only app server runs in the same process. A real application would configure its servers, or get them from a
// registry with discovery/registry.
package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cobaltward/middleware"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ln, err := net.Listen("tcp", "127.0.0.1:8080")
	if err == nil {
		log.Info("serving", "address", ln.Addr())
		err = run(ctx, ln, log)
	}
	if err != nil {
		log.Error("application failed", "err", err)
		os.Exit(1)
	}
}

const (
	idleTimeout = 15 * time.Second
	// readHeaderTimeout must not be shorter than idleTimeout. On a new connection, net/http starts to count
	// readHeaderTimeout at the accept. A client may wait as long before its first request as between later requests.
	readHeaderTimeout = idleTimeout
	drainTimeout      = 3 * time.Second // maximum time for requests in flight at shutdown
)

// run serves requests on ln until ctx ends, and then shuts down gracefully.
func run(ctx context.Context, ln net.Listener, log *slog.Logger) (err error) {
	bookingServer, err := startBookingServer()
	if err != nil {
		return err
	}
	defer func() { _ = bookingServer.Close() }()

	server := &http.Server{ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	engine, err := newRouter(bookingServer.Addr, server, log)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, engine.Close()) }()

	front := middleware.New(engine,
		middleware.WithMatcher(middleware.Path("/api")), middleware.WithReadyPath("/health/ready"))
	server.Handler = front.Handler(newPages(&http.Client{Transport: front.RoundTripper()}))
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := engine.Drain(drainCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}

// startBookingServer starts the only app server. The field Addr of the returned server is the server's address.
func startBookingServer() (*http.Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Addr: ln.Addr().String(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "two rooms are free\n")
		}),
	}
	go func() { _ = server.Serve(ln) }() // returns when the server is closed
	return server, nil
}

// newRouter returns a router with one server. The router's method Drain also stops listener, the application's own
// HTTP server.
func newRouter(bookingServer string, listener *http.Server, log *slog.Logger) (*router.Router, error) {
	settings := policy.Settings{
		Nodes: 1,
		Classes: []policy.Class{
			{
				Name: "hladanie", LatencyObjective: 600 * time.Millisecond, Deadline: 3 * time.Second,
				Idempotency: policy.Idempotent,
			},
			{
				Name: "rezervacia", LatencyObjective: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond,
				Idempotency: policy.NonIdempotent,
			},
		},
		Capabilities: policy.Capabilities{Cancel: true, RetryAfter: true, MaxAttempts: 3},
		Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
	}
	endpoints := []router.Endpoint{{ID: "rooms", Addr: bookingServer, Weight: 1}}
	return router.New(router.Config{Settings: settings, Endpoints: endpoints},
		router.WithTransport(http1.New(http1.Config{})), router.WithLogger(log), router.WithListener(listener))
}

// newPages returns the handler of the application's own pages. The pages show the app server's response to a booking
// request of the application.
func newPages(client *http.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://rooms.svc/api/rooms", nil)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		req.Header.Set("X-Class", "hladanie")
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, "no room list now", http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.WriteString(w, "Welcome. Today: ") // fails only if the client has disconnected
		_, _ = io.Copy(w, resp.Body)
	})
}
