// Package face gives an emulated server the faces that nodes know: HTTP/1.1 as the protocol page has
// servers, and MessagePack-RPC.
package face

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

	"cobaltward/emulator/host"
	"cobaltward/emulator/model"
)

// Work says what a request costs a server, by its path and its id.
type Work func(target, id string) float64

// HTTP is a server that speaks HTTP/1.1. It answers 200 once the request's work is done, 503 with X-Not-Run
// where the server turns it away, and resets the connection where the server falls over.
type HTTP struct {
	Addr string

	host   *host.Host
	work   Work
	fails  func() bool
	server *http.Server
	ended  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool // that the host has counted
}

// ServeHTTP1 runs the face on a listener. The host's end is the caller's to see to. fails, where it is not
// nil, says of each request whether it is to fail at once: answered 500, though it may have had its effect.
func ServeHTTP1(ln net.Listener, h *host.Host, work Work, fails func() bool) *HTTP {
	f := &HTTP{Addr: ln.Addr().String(), host: h, work: work, fails: fails, conns: make(map[net.Conn]bool)}
	f.server = &http.Server{Handler: http.HandlerFunc(f.answer), ConnState: f.state, ConnContext: withConn,
		ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	f.ended.Go(func() { _ = f.server.Serve(ln) }) // ends with Close
	return f
}

// connKey is where a request's context holds its connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// state counts connections at the host, and closes those that it does not take.
func (f *HTTP) state(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	counted := f.conns[c]
	if s == http.StateClosed {
		delete(f.conns, c)
	}
	f.mu.Unlock()
	switch {
	case s == http.StateNew:
		if !f.host.Connect() {
			reset(c)
			return
		}
		f.mu.Lock()
		f.conns[c] = true
		f.mu.Unlock()
	case s == http.StateClosed && counted:
		f.host.Disconnect()
	}
}

// reset ends a connection as a process that died does.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only once it is closed
	}
	c.Close()
}

func (f *HTTP) answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil { // a request begins when its last byte has come
		return
	}
	q := model.Request{ID: id, Key: r.Header.Get("Idempotency-Key"), Work: f.work(r.URL.Path, id)}
	failing := f.fails != nil && f.fails()
	if failing {
		q.Work = 0
	}
	_, verdict, err := f.host.Do(q, r.Context().Done())
	switch {
	case verdict == model.Full:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case verdict == model.Down || errors.Is(err, host.ErrLost):
		reset(r.Context().Value(connKey{}).(net.Conn))
		panic(http.ErrAbortHandler) // no answer
	case failing:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		body := "done " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // whoever asked may have left
	}
}

// Close ends the face: connections are reset.
func (f *HTTP) Close() {
	_ = f.server.Close()
	f.ended.Wait()
}
