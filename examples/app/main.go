// Command app is a small workspace application with the router inside it: pages of its own, booking
// requests of its clients under /api, a call of its own, and an orderly end.
//
//	go run ./examples/app                                    # on 127.0.0.1:8080
//	curl -H 'X-Request-Id: 1' -H 'X-Class: hladanie' -H 'X-Deadline-Ms: 2000' 127.0.0.1:8080/api/rooms
//	curl 127.0.0.1:8080/
//
// Its one app server is a stand-in of its own. A real application would name its servers, or take them
// from discovery with discovery/registry.
package main

import (
	"context"
	"errors"
	"fmt"
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
		log.Error("ended", "err", err)
		os.Exit(1)
	}
}

// run serves on the listener until ctx ends, and ends in order.
func run(ctx context.Context, ln net.Listener, log *slog.Logger) error {
	rooms, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	standIn := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "two rooms are free\n") })}
	go func() { _ = standIn.Serve(rooms) }() // until it is closed below
	defer standIn.Close()

	server := &http.Server{ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	r, err := router.New(router.Config{
		Settings: policy.Settings{
			Nodes: 1,
			Classes: []policy.Class{
				{Name: "hladanie", LatencyObjective: 600 * time.Millisecond, Deadline: 3 * time.Second, Idempotency: policy.Idempotent},
				{Name: "rezervacia", LatencyObjective: 500 * time.Millisecond, Deadline: 1500 * time.Millisecond, Idempotency: policy.NonIdempotent},
			},
			Capabilities: policy.Capabilities{Cancel: true, RetryAfter: true, MaxAttempts: 3},
			Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
		},
		Endpoints: []router.Endpoint{{ID: "rooms", Addr: rooms.Addr().String(), Weight: 1}},
	}, router.WithTransport(http1.New(http1.Config{})), router.WithLogger(log), router.WithListener(server))
	if err != nil {
		return err
	}
	defer r.Close()

	front := middleware.New(r, middleware.WithMatcher(middleware.Path("/api")), middleware.WithReadyPath("/health/ready"))
	server.Handler = front.Handler(pages(&http.Client{Transport: front.RoundTripper()}))
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	last, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := r.Drain(last); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}

// pages are the application's own. The first of them asks the booking servers itself.
func pages(client *http.Client) http.Handler {
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
		defer resp.Body.Close()
		fmt.Fprint(w, "Welcome. Today: ")
		_, _ = io.Copy(w, resp.Body) // a client that has left reads no more of it
	})
}
