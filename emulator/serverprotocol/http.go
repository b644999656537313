// Package serverprotocol gives an emulated server the faces that nodes know: HTTP/1.1 as the protocol page has
// servers, and MessagePack-RPC.
package serverprotocol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
)

// Work says what a request costs a server, by its path and its id.
type Work func(target, id string) float64

// Treatment is what becomes of one request. The zero value is an answer without work.
type Treatment struct {
	Work  float64       // seconds of a core of speed 1
	ID    string        // for the ledger; empty: the request's own
	Key   string        // that repeats are dropped by; empty: the request's own
	Way   time.Duration // to the server, and the same back
	Fail  bool          // answered 500 at once, though it may have had its effect
	Hang  bool          // read, and never answered
	Reset bool          // the connection is reset once the request has come whole; it runs all the same
	Half  bool          // the answer breaks off
	Spoil bool          // the answer's framing is wrong
}

// Treat says what becomes of a request, by its path and its id, once its last byte has come.
type Treat func(target, id string) Treatment

// Options are what a face is told beside its server.
type Options struct {
	Treat   Treat
	Turned  func(id string) // is told of requests that the server turns away; nil: nobody is
	Reports []string        // figures of the load report in answers: inflight, queue, util; nil: there is none
}

// report is a server's load report, as X-Load has it.
func (o *Options) report(h *servermodel.Host) string {
	if len(o.Reports) == 0 {
		return ""
	}
	inflight, queue, util := h.Load()
	var parts []string
	for _, name := range o.Reports {
		switch name {
		case "inflight":
			parts = append(parts, fmt.Sprintf("inflight=%d", inflight))
		case "queue":
			parts = append(parts, fmt.Sprintf("queue=%d", queue))
		case "util":
			parts = append(parts, fmt.Sprintf("util=%.2f", util))
		}
	}
	return strings.Join(parts, ",")
}

// treatAs is the treatment of a plain server.
func treatAs(work Work, fails func() bool) Treat {
	return func(target, id string) Treatment {
		t := Treatment{Work: work(target, id)}
		if t.Fail = fails != nil && fails(); t.Fail {
			t.Work = 0
		}
		return t
	}
}

// request is what a request with a treatment is to the model.
func (t *Treatment) request(id, key string) model.Request {
	q := model.Request{ID: t.ID, Key: t.Key, Work: t.Work}
	if q.ID == "" {
		q.ID = id
	}
	if q.Key == "" {
		q.Key = key
	}
	return q
}

// HTTP is a server that speaks HTTP/1.1. It answers 200 once the request's work is done, 503 with X-Not-Run
// where the server turns it away, and resets the connection where the server falls over.
type HTTP struct {
	Addr string

	host   *servermodel.Host
	o      Options
	server *http.Server
	ended  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool // that the host has counted
}

// ServeHTTP1 runs the face on a listener. The host's end is the caller's to see to. fails, where it is not
// nil, says of each request whether it is to fail at once: answered 500, though it may have had its effect.
func ServeHTTP1(ln net.Listener, h *servermodel.Host, work Work, fails func() bool) *HTTP {
	return TreatHTTP1(ln, h, Options{Treat: treatAs(work, fails)})
}

// TreatHTTP1 is ServeHTTP1 with a treatment for each request.
func TreatHTTP1(ln net.Listener, h *servermodel.Host, o Options) *HTTP {
	f := &HTTP{Addr: ln.Addr().String(), host: h, o: o, conns: make(map[net.Conn]bool)}
	f.server = &http.Server{
		Handler: http.HandlerFunc(f.answer), ConnState: f.state, ConnContext: withConn,
		ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
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
	t := f.o.Treat(r.URL.Path, id)
	q := t.request(id, r.Header.Get("Idempotency-Key"))
	gone := r.Context().Done()
	if !pause(t.Way, gone) {
		return
	}
	if t.Hang {
		<-gone
		return
	}
	if t.Reset {
		go f.host.Do(q, nil) // it ends with the host
		f.abort(r)
	}
	_, verdict, err := f.host.Do(q, gone)
	if verdict == model.Full && f.o.Turned != nil {
		f.o.Turned(id)
	}
	if !pause(t.Way, gone) {
		return
	}
	if load := f.o.report(f.host); load != "" {
		w.Header().Set("X-Load", load)
	}
	switch {
	case verdict == model.Full:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case verdict == model.Down || errors.Is(err, servermodel.ErrLost):
		f.abort(r)
	case t.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case t.Half, t.Spoil:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		length := "1000"
		if t.Spoil {
			length = "1x"
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+length+"\r\n\r\ndone") // whoever asked may have left
		c.Close()
		f.forget(c)
	default:
		body := "done " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // whoever asked may have left
	}
}

// abort resets the connection of a request, without an answer.
func (f *HTTP) abort(r *http.Request) {
	reset(r.Context().Value(connKey{}).(net.Conn))
	panic(http.ErrAbortHandler)
}

// forget counts a connection out that the server does not see the end of.
func (f *HTTP) forget(c net.Conn) {
	f.mu.Lock()
	counted := f.conns[c]
	delete(f.conns, c)
	f.mu.Unlock()
	if counted {
		f.host.Disconnect()
	}
}

// pause waits, unless whoever asked leaves before.
func pause(d time.Duration, gone <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-gone:
		return false
	}
}

// Close ends the face: connections are reset.
func (f *HTTP) Close() {
	_ = f.server.Close()
	f.ended.Wait()
}
