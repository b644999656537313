// Package operations serves the operations endpoint, a second address of a node. Operators use the endpoint to check
// whether the process can serve, to read its metrics, and to start or cancel a drain. No handler waits for requests
// in flight: the node prepares the metrics in advance and drains in the background.
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
	readTimeout     = time.Second // maximum time that a stalled client keeps its connection
	writeTimeout    = time.Second
	shutdownTimeout = 100 * time.Millisecond // maximum wait of Close for requests that are being answered
	maxHeaderBytes  = 4 << 10
	maxConns        = 12 // maximum number of open connections
)

// MaxDescriptors is the maximum number of file descriptors that a server uses. It counts maxConns connections, the
// listener, and a connection that is being accepted.
const MaxDescriptors = maxConns + 2

// Node is the node that the endpoint reports on and controls. Its methods must not block, and must be safe for
// concurrent use.
type Node interface {
	Serving() bool                    // reports whether this process can serve
	AppendMetrics(page []byte) []byte // appends the metrics, one line each
	Standby() error                   // starts to drain the node
	Active() error                    // cancels the drain
}

// Server serves the operations endpoint. Serve returns a running Server.
type Server struct {
	listener *evictingListener
	http     *http.Server
	stopped  chan struct{} // closed when the serving goroutine has ended
}

// Listen listens on address. Connections wait in the accept queue until Serve is called.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return listener, nil
}

// Serve starts to serve listener. The caller must close the server, which also closes listener.
func Serve(listener net.Listener, node Node, log *slog.Logger) *Server {
	evicting := newEvictingListener(sockets.NewPersistentListener(listener, log), maxConns)
	server := &Server{
		listener: evicting,
		http: &http.Server{
			Handler:           newHandler(node),
			ReadTimeout:       readTimeout,
			ReadHeaderTimeout: readTimeout,
			WriteTimeout:      readTimeout + writeTimeout, // net/http counts it from the end of the header
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
			ConnState:         evicting.handleStateChange,
		},
		stopped: make(chan struct{}),
	}
	server.http.SetKeepAlivesEnabled(false) // each connection serves one request
	go func() {
		defer close(server.stopped)
		if err := server.http.Serve(evicting); !errors.Is(err, http.ErrServerClosed) {
			log.Error("operations server stopped", "err", err)
		}
	}()
	return server
}

// Close stops the server. It waits at most shutdownTimeout for requests that are being answered.
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
