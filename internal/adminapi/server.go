// Package adminapi is the operators' way into a node: a small versioned JSON interface over HTTP on a Unix socket,
// or on loopback with a token. Subsystems mount what they have to show and to take.
package adminapi

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cobaltward/internal/sockets"
)

// Version is that of the interface, the first part of every path.
const Version = "v1"

const (
	maxConns     = 96
	maxBody      = 64 << 10
	timeout      = 5 * time.Second // for a request to come, and for a piece of an answer to go
	idleFor      = time.Minute
	mostWatchers = 64
)

// Config says where the door is.
type Config struct {
	Socket string // path of a Unix socket
	Listen string // IP:port on loopback, with Token
	Token  string // that requests over Listen bear
	// WrapListener puts TLS on the listener at Listen; nil: it takes plain HTTP.
	WrapListener func(net.Listener) net.Listener
}

// Enabled tells whether there is a door.
func (c Config) Enabled() bool { return c.Socket != "" || c.Listen != "" }

// Server is one. Its methods may be called at once from many goroutines.
type Server struct {
	mux       *http.ServeMux
	methods   map[string][]string // by path; complete before the first request
	servers   []*http.Server
	serve     []func()
	listeners []net.Listener
	parts     sync.WaitGroup
	quit      chan struct{}
	watchers  chan struct{} // holds one for each
}

// Listen opens a door. Errors name what is in the way.
func Listen(c Config, log *slog.Logger) (*Server, error) {
	d := &Server{mux: http.NewServeMux(), methods: make(map[string][]string), quit: make(chan struct{}), watchers: make(chan struct{}, mostWatchers)}
	d.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		WriteError(w, http.StatusNotFound, fmt.Sprintf("no %s here; paths begin with /%s/", r.URL.Path, Version))
	})
	var listeners []net.Listener
	fail := func(err error) (*Server, error) {
		for _, l := range listeners {
			l.Close()
		}
		return nil, err
	}
	if c.Socket != "" {
		l, err := listenUnix(c.Socket)
		if err != nil {
			return fail(fmt.Errorf("door.socket: %w", err))
		}
		listeners = append(listeners, l)
	}
	if c.Listen != "" {
		at, err := netip.ParseAddrPort(c.Listen)
		switch {
		case err != nil || !at.Addr().IsLoopback():
			return fail(fmt.Errorf("door.listen: want IP:port on loopback, got %q", c.Listen))
		case c.Token == "":
			return fail(errors.New("door.listen: want a token beside it"))
		}
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return fail(fmt.Errorf("door.listen: %w", err))
		}
		if c.WrapListener != nil {
			l = c.WrapListener(l)
		}
		listeners = append(listeners, l)
	}
	for _, l := range listeners {
		h := http.Handler(d.mux)
		if l.Addr().Network() == "tcp" {
			h = RequireToken(h, c.Token)
		}
		s := &http.Server{
			Handler: bounded(h), ReadHeaderTimeout: timeout, ReadTimeout: timeout, IdleTimeout: idleFor,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
		}
		d.servers = append(d.servers, s)
		d.serve = append(d.serve, func() { d.answer(s, l, log) })
	}
	d.listeners = listeners
	return d, nil
}

// answer serves a listener until Close.
func (d *Server) answer(s *http.Server, l net.Listener, log *slog.Logger) {
	accepting := sockets.NewPersistentListener(l, log)
	err := s.Serve(&limited{Listener: accepting, room: make(chan struct{}, maxConns), quit: d.quit})
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error("admin API: no calls are answered any more", "address", l.Addr(), "err", err)
	}
}

// Start begins to answer, once everything is mounted.
func (d *Server) Start() {
	for _, s := range d.serve {
		d.parts.Go(s)
	}
}

// listenUnix opens a socket that its owner alone may use. One that nobody listens on any more is in the way,
// and goes; anything else at the path stays.
func listenUnix(path string) (net.Listener, error) {
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return nil, fmt.Errorf("%s is there, and is no socket", path)
		}
		other, err := net.DialTimeout("unix", path, time.Second)
		if err == nil {
			other.Close()
			return nil, fmt.Errorf("%s: another process listens there", path)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			if err := os.Remove(path); err != nil {
				return nil, err
			}
		}
	}
	// Under another name first, so that nobody finds it before it is closed to others.
	own := filepath.Join(filepath.Dir(path), fmt.Sprintf(".%s.%d", filepath.Base(path), os.Getpid()))
	l, err := net.Listen("unix", own)
	if err != nil {
		return nil, err
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false)
	if err = os.Chmod(own, 0o600); err == nil {
		err = os.Rename(own, path)
	}
	if err != nil {
		l.Close()
		_ = os.Remove(own) // the first error is the one to tell
		return nil, err
	}
	return &unlinked{Listener: l, path: path}, nil
}

// unlinked is a listener whose socket goes with it.
type unlinked struct {
	net.Listener
	path string
	once sync.Once
}

func (u *unlinked) Close() error {
	u.once.Do(func() { _ = os.Remove(u.path) }) // another may have taken its place
	return u.Listener.Close()
}

// limited lets so many connections in, and has others wait.
type limited struct {
	net.Listener
	room chan struct{}
	quit chan struct{}
}

func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.room <- struct{}{}:
	case <-l.quit:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{Conn: c, release: sync.OnceFunc(func() { <-l.room })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// RequireToken lets through who bears the token.
func RequireToken(next http.Handler, token string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+token)) != 1 {
			WriteError(w, http.StatusUnauthorized, "want the node's token: Authorization: Bearer TOKEN")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// Handle mounts a path of the version for one method. Other methods are refused by name.
func (d *Server) Handle(method, path string, h http.HandlerFunc) {
	path = "/" + Version + path
	d.mux.HandleFunc(method+" "+path, h)
	methods := append(d.methods[path], method)
	if d.methods[path] = methods; len(methods) == 1 {
		d.mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			WriteError(w, http.StatusMethodNotAllowed, fmt.Sprintf("no %s of %s; there is %s", r.Method, path, strings.Join(d.methods[path], ", ")))
		})
	}
}

// Close ends the door, with all that watch.
func (d *Server) Close() {
	close(d.quit)
	for _, s := range d.servers {
		_ = s.Close() // there is nothing that could be done about an error
	}
	for _, l := range d.listeners { // of a door that was never started, too
		_ = l.Close()
	}
	d.parts.Wait()
}

// WriteJSON answers with JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // whoever asked may have left
}

// ErrorBody is what a door answers where it can't do what it is asked.
type ErrorBody struct {
	Message string `json:"error"`
	Details any    `json:"more,omitempty"`
}

// WriteError answers with an error.
func WriteError(w http.ResponseWriter, status int, what string) {
	WriteJSON(w, status, ErrorBody{Message: what})
}

// ReadJSON reads a strict JSON body, and answers itself where it is none. An empty body is an empty object.
func ReadJSON(w http.ResponseWriter, r *http.Request, to any) bool {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(to)
	if errors.Is(err, io.EOF) {
		return true
	}
	if err == nil && dec.More() {
		err = errors.New("more than one value")
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "the body: "+err.Error())
		return false
	}
	return true
}

// StreamEvents sends events until the watcher leaves or next says that there is no more. next waits for nothing: it
// returns what is new, and is asked again each time that tick says. A watcher that does not read is cut off.
func (d *Server) StreamEvents(w http.ResponseWriter, r *http.Request, every time.Duration, next func() (events []Event, more bool)) {
	select {
	case d.watchers <- struct{}{}:
		defer func() { <-d.watchers }()
	default:
		WriteError(w, http.StatusServiceUnavailable, fmt.Sprintf("%d watch already", mostWatchers))
		return
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Time{}) // a watcher says nothing for long; fails only where there is no connection
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		events, more := next()
		_ = conn.SetWriteDeadline(time.Now().Add(timeout))
		for _, e := range events {
			raw, err := json.Marshal(e.Data)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "event: %s\ndata: %s\n\n", e.Name, raw); err != nil {
				return
			}
		}
		if err := conn.Flush(); err != nil || !more {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-d.quit:
			return
		}
	}
}

// Event is one that a watcher gets.
type Event struct {
	Name string
	Data any
}

// NewClient makes a client of a door: at a socket's path, or at IP:port with a token, by TLS where conf says how. base is
// where paths begin.
func NewClient(at, token string, conf *tls.Config) (c *http.Client, base string) {
	t := &http.Transport{DisableCompression: true, TLSClientConfig: conf}
	base = "http://" + at
	if conf != nil {
		base = "https://" + at
	}
	if len(at) > 0 && at[0] == '/' {
		base = "http://door"
		t.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", at)
		}
	}
	return &http.Client{Transport: bearer{t, token}}, base + "/" + Version
}

type bearer struct {
	*http.Transport
	token string
}

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.Transport.RoundTrip(r)
}
