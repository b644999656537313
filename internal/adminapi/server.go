// Package adminapi serves the admin API of a process, a versioned JSON interface over HTTP. The API is served on a
// Unix socket, or on a loopback address with a bearer token. Other packages register the handlers. The package also
// provides a client.
package adminapi

import (
	"crypto/subtle"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"cobaltward/internal/sockets"
)

// Version is the version of the admin API. Every path begins with it.
const Version = "v1"

const (
	maxConns        = 96       // maximum number of open connections per listener
	maxRequestBody  = 64 << 10 // maximum size of a request body, in bytes
	ioTimeout       = 5 * time.Second
	idleTimeout     = time.Minute
	maxEventStreams = 64 // maximum number of open event streams per server
)

// Config holds the addresses on which a server listens, and how it secures them.
type Config struct {
	Socket string // path of a Unix socket
	Listen string // IP:port on loopback; requires Token
	Token  string // bearer token required on Listen
	// WrapListener adds TLS to the listener at Listen. If it is nil, the listener serves plain HTTP.
	WrapListener func(net.Listener) net.Listener
}

// Enabled reports whether an address is configured.
func (c Config) Enabled() bool { return c.Socket != "" || c.Listen != "" }

// Server serves the admin API. Handle must not be called after Start. The other methods are safe for concurrent use.
type Server struct {
	mux       *http.ServeMux
	methods   map[string][]string // allowed methods, by path
	listeners []net.Listener
	servers   []*http.Server // servers[i] serves listeners[i]
	tasks     sync.WaitGroup
	done      chan struct{} // closed by Close
	streams   chan struct{} // one element for each open event stream
	log       *slog.Logger
}

// Listen opens the configured listeners. The text of an error begins with the key of the setting.
func Listen(config Config, log *slog.Logger) (*Server, error) {
	server := &Server{
		mux:     http.NewServeMux(),
		methods: make(map[string][]string),
		done:    make(chan struct{}),
		streams: make(chan struct{}, maxEventStreams),
		log:     log,
	}
	server.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		message := fmt.Sprintf("no path %s; paths begin with /%s/", r.URL.Path, Version)
		WriteError(w, http.StatusNotFound, message)
	})
	if config.Socket != "" {
		listener, err := listenUnix(config.Socket)
		if err != nil {
			return nil, fmt.Errorf("door.socket: %w", err)
		}
		server.addListener(listener, server.mux)
	}
	if config.Listen != "" {
		listener, err := listenLoopback(config)
		if err != nil {
			server.Close()
			return nil, fmt.Errorf("door.listen: %w", err)
		}
		server.addListener(listener, RequireToken(server.mux, config.Token))
	}
	return server, nil
}

// listenLoopback listens on config.Listen, which must be a loopback address.
func listenLoopback(config Config) (net.Listener, error) {
	address, err := netip.ParseAddrPort(config.Listen)
	if err != nil || !address.Addr().IsLoopback() {
		return nil, fmt.Errorf("want IP:port on loopback, got %q", config.Listen)
	}
	if config.Token == "" {
		return nil, errors.New("want a token for its requests")
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	if config.WrapListener != nil {
		listener = config.WrapListener(listener)
	}
	return listener, nil
}

// addListener adds a listener and an HTTP server for it.
func (s *Server) addListener(listener net.Listener, handler http.Handler) {
	s.listeners = append(s.listeners, listener)
	s.servers = append(s.servers, &http.Server{
		Handler:           limitBody(handler),
		ReadHeaderTimeout: ioTimeout,
		ReadTimeout:       ioTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	})
}

// Start begins to serve. All handlers must be registered before Start.
func (s *Server) Start() {
	for i, listener := range s.listeners {
		s.tasks.Go(func() { s.serve(s.servers[i], listener) })
	}
}

// serve serves listener until Close is called.
func (s *Server) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(&limitedListener{
		Listener: sockets.NewPersistentListener(listener, s.log),
		slots:    make(chan struct{}, maxConns),
		done:     s.done,
	})
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.log.Error("admin API server stopped", "address", listener.Addr(), "err", err)
	}
}

// Handle registers a handler for one method of a path without the version. A request with an unregistered method gets
// status 405 and the list of allowed methods.
func (s *Server) Handle(method, path string, handler http.HandlerFunc) {
	path = "/" + Version + path
	s.mux.HandleFunc(method+" "+path, handler)
	s.methods[path] = append(s.methods[path], method)
	if len(s.methods[path]) > 1 {
		return
	}
	s.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		allowed := strings.Join(s.methods[path], ", ")
		message := fmt.Sprintf("method %s not allowed for %s; allowed: %s", r.Method, path, allowed)
		WriteError(w, http.StatusMethodNotAllowed, message)
	})
}

// Close closes the listeners and all connections, and waits until the server's goroutines have ended. It must be
// called exactly once, even if the server was never started.
func (s *Server) Close() {
	close(s.done)
	for _, server := range s.servers {
		_ = server.Close() // the listeners are closed below
	}
	for _, listener := range s.listeners {
		_ = listener.Close() // already closed if the server was started
	}
	s.tasks.Wait()
}

// RequireToken returns a handler that passes requests with the bearer token to next. Other requests get status 401.
func RequireToken(next http.Handler, token string) http.Handler {
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			WriteError(w, http.StatusUnauthorized, "want the node's token: Authorization: Bearer TOKEN")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitBody returns a handler that limits the request body that next can read to maxRequestBody bytes.
func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBody)
		next.ServeHTTP(w, r)
	})
}
