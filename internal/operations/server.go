// Package operations serves the operations endpoint: a second address of a node on which operators ask whether the
// process can serve, read its metrics, and take the node out of service and back. It decides nothing, and no handler
// waits for requests in flight: metrics are published in advance, and the node carries out drains.
package operations

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cobaltward/internal/sockets"
)

const (
	readTimeout     = time.Second // bounds how long a stalled client keeps its connection
	writeTimeout    = time.Second
	shutdownTimeout = 100 * time.Millisecond // for calls that are being answered at Close
	maxHeaderBytes  = 4 << 10
	maxConns        = 12 // open at once
)

// MaxDescriptors is the number of descriptors that a server uses at most: its connections, its listener and a
// connection that is being accepted.
const MaxDescriptors = maxConns + 2

// Node is what the endpoint shows and changes. Its methods must not block, and may be called from several goroutines
// at once.
type Node interface {
	Serving() bool                    // reports whether this process can serve
	AppendMetrics(page []byte) []byte // appends the metrics, one line each
	Standby() error                   // starts to drain the node
	Active() error                    // cancels the drain
}

// Server serves the operations endpoint. Serve returns one.
type Server struct {
	listener *evictingListener
	http     *http.Server
	stopped  chan struct{} // closed when the goroutine that serves has ended
}

// Listen listens at an address. Connections wait in the accept queue until Serve is called.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return listener, nil
}

// Serve starts to serve a listener. The caller has to close the server, which closes the listener.
func Serve(listener net.Listener, node Node, log *slog.Logger) *Server {
	evicting := newEvictingListener(sockets.NewPersistentListener(listener, log), maxConns)
	server := &Server{
		listener: evicting,
		http: &http.Server{
			Handler:           newHandler(node),
			ReadTimeout:       readTimeout,
			ReadHeaderTimeout: readTimeout,
			WriteTimeout:      readTimeout + writeTimeout, // counted from the header on
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
			ConnState:         evicting.handleStateChange,
		},
		stopped: make(chan struct{}),
	}
	server.http.SetKeepAlivesEnabled(false) // a connection takes one call
	go func() {
		defer close(server.stopped)
		if err := server.http.Serve(evicting); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operations server stopped", "err", err)
		}
	}()
	return server
}

// Close stops the server. Calls that are being answered have shutdownTimeout to end.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = s.http.Close()
	}
	<-s.stopped
	return err
}
