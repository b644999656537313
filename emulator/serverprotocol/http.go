package serverprotocol

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
)

// HTTPServer serves an emulated server over HTTP/1.1. It answers 200 after the work of the request is done, and 503
// with X-Not-Run if the server rejects the request. It resets the connection if the server crashes.
type HTTPServer struct {
	Addr string

	backend *servermodel.Server
	options Options
	server  *http.Server
	tasks   sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool // connections that the backend counts as open
}

// ServeHTTP1 serves a backend on a listener until Close is called. Close doesn't stop the backend. If fails isn't
// nil, each request for which it returns true does no work and is answered 500.
func ServeHTTP1(ln net.Listener, backend *servermodel.Server, work WorkFunc, fails func() bool) *HTTPServer {
	return ServeHTTP1WithOptions(ln, backend, Options{Behavior: plainBehavior(work, fails)})
}

// ServeHTTP1WithOptions is ServeHTTP1 with a separate behavior for each request, selected by options.
func ServeHTTP1WithOptions(ln net.Listener, backend *servermodel.Server, options Options) *HTTPServer {
	s := &HTTPServer{Addr: ln.Addr().String(), backend: backend, options: options, conns: make(map[net.Conn]bool)}
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: s.connState, ConnContext: withConn,
		ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	s.tasks.Go(func() { _ = s.server.Serve(ln) }) // returns after Close
	return s
}

// connKey is the context key of a request's connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connState reports new and closed connections to the backend. It resets connections that the backend does not
// accept.
func (s *HTTPServer) connState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if !s.backend.Connect() {
			reset(conn)
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
	case http.StateClosed:
		s.disconnect(conn)
	}
}

// disconnect reports a closed connection to the backend if the backend counts the connection as open.
func (s *HTTPServer) disconnect(conn net.Conn) {
	s.mu.Lock()
	counted := s.conns[conn]
	delete(s.conns, conn)
	s.mu.Unlock()
	if counted {
		s.backend.Disconnect()
	}
}

func (s *HTTPServer) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil { // a request starts when its last byte has arrived
		return
	}
	behavior := s.options.Behavior(r.URL.Path, id)
	request := behavior.request(id, r.Header.Get("Idempotency-Key"))
	cancelled := r.Context().Done()
	if !sleep(behavior.NetworkDelay, cancelled) {
		return
	}
	if behavior.Hang {
		<-cancelled
		return
	}
	if behavior.Reset {
		go func() { _, _, _ = s.backend.Do(request, nil) }() // returns when the backend stops, or earlier
		abort(r)
	}
	_, admission, err := s.backend.Do(request, cancelled)
	s.options.notifyRejected(id, admission)
	if !sleep(behavior.NetworkDelay, cancelled) {
		return
	}
	if load := s.options.loadReport(s.backend); load != "" {
		w.Header().Set("X-Load", load)
	}
	switch {
	case admission == model.Rejected:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case admission == model.Down || errors.Is(err, servermodel.ErrServerDown):
		abort(r)
	case behavior.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case behavior.Truncate, behavior.Malform:
		s.writeInvalid(w, behavior.Malform)
	default:
		body := "done " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // fails if the client has disconnected
	}
}

// writeInvalid sends a truncated response or a response with a malformed length, and closes the connection.
func (s *HTTPServer) writeInvalid(w http.ResponseWriter, malformed bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	length := "1000"
	if malformed {
		length = "1x"
	}
	// The write fails if the client has disconnected.
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+length+"\r\n\r\ndone")
	_ = conn.Close()
	s.disconnect(conn) // net/http doesn't report the end of a hijacked connection
}

// abort resets the connection of a request and ends the request's handler. The request gets no answer.
func abort(r *http.Request) {
	reset(r.Context().Value(connKey{}).(net.Conn))
	panic(http.ErrAbortHandler)
}

// Close closes all connections and waits for the server's goroutine.
func (s *HTTPServer) Close() {
	_ = s.server.Close()
	s.tasks.Wait()
}
