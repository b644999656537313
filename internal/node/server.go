package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

const (
	maxID         = 128 // bytes; the protocol's own ids are far shorter
	maxDeadlineMs = 3_600_000
	maxHeader     = 16 << 10
	headerTimeout = 5 * time.Second // for a request's header, and the same again for its body
	clientIdle    = 60 * time.Second
	writeTimeout  = 5 * time.Second // for an answer to a client that doesn't read
	readyPath     = "/health/ready"
)

// exchange is one client request, which is not changed once the loop has it.
type exchange struct {
	req         policy.Request
	method      string
	url         *url.URL
	host        string
	header      http.Header
	body        []byte
	came        policy.Time // when its last byte had been read
	clientWaits time.Duration
	reply       chan answer // holds one, so the loop never waits for the client
}

// answer is what a client gets.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
}

// server takes requests from clients, hands them to the loop, and writes the loop's answers.
type server struct {
	loop     *loop
	classes  map[string]policy.Class
	draining atomic.Bool // answers end their connections
	conns    atomic.Int64
	maxConns int64
	http     http.Server
}

func newServer(c Config, l *loop, maxConns int) *server {
	s := &server{loop: l, classes: make(map[string]policy.Class), maxConns: int64(maxConns)}
	for _, class := range c.Settings.Classes {
		s.classes[class.Name] = class
	}
	s.http = http.Server{
		Handler: s, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout,
		IdleTimeout: clientIdle, DisableGeneralOptionsHandler: true,
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				s.conns.Add(-1)
			}
		},
	}
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http takes the length from a transfer coding and drops what Content-Length says, and ignores
	// the coding in HTTP/1.0: what one side takes for a body, the other may take for a request. Clients
	// of the protocol send lengths, so whatever else comes is refused, and nothing behind it is read.
	if len(r.TransferEncoding) > 0 || !r.ProtoAtLeast(1, 1) {
		reject(w, http.StatusBadRequest, "want version 1.1, and Content-Length for a body")
		return
	}
	// Over its part of the descriptors the node still answers, and gets the descriptor back.
	full := s.conns.Load() > s.maxConns
	if full || s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath && r.Method == http.MethodGet {
		s.health(w)
		return
	}
	if full {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	x, status, problem := s.read(w, r)
	if x == nil {
		reject(w, status, problem)
		return
	}
	s.loop.send(arrival{x})
	select {
	case a := <-x.reply:
		write(w, a)
	case <-r.Context().Done():
		s.loop.send(departure{x})
	case <-s.loop.done:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// reject answers a request that is not to be served, and ends its connection: where its body ends is
// in doubt, and what follows it is not to be trusted.
func reject(w http.ResponseWriter, status int, problem string) {
	w.Header().Set("Connection", "close")
	// Nor is the rest of the body waited for. An error here means that the connection is gone.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	http.Error(w, problem, status)
}

// health tells the front that the node may be taken in.
func (s *server) health(w http.ResponseWriter) {
	select {
	case <-s.loop.ready:
		if !s.draining.Load() {
			return
		}
	default:
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// read takes in a whole request, or says what is wrong with it. What it lets through reaches servers.
func (s *server) read(w http.ResponseWriter, r *http.Request) (x *exchange, status int, problem string) {
	h := r.Header
	for _, name := range []string{"X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key"} {
		if len(h[name]) > 1 { // this node and a server might each go by another
			return nil, http.StatusBadRequest, name + ": given twice"
		}
	}
	id := h.Get("X-Request-Id")
	if !usableID(id) {
		return nil, http.StatusBadRequest, "X-Request-Id: missing or malformed"
	}
	class, ok := s.classes[h.Get("X-Class")]
	if !ok {
		return nil, http.StatusBadRequest, "X-Class: unknown"
	}
	waits, err := strconv.ParseUint(h.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || waits == 0 || waits > maxDeadlineMs {
		return nil, http.StatusBadRequest, "X-Deadline-Ms: want whole milliseconds above 0"
	}
	method := http.MethodPost
	if class.Repeat == policy.Free {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, http.StatusMethodNotAllowed, "this class takes " + method
	}
	// Servers drop the repeats of a key: without one, a second attempt could take effect twice.
	if class.Repeat == policy.Guarded && h.Get("Idempotency-Key") == "" {
		return nil, http.StatusBadRequest, "Idempotency-Key: missing"
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if tooLong := (*http.MaxBytesError)(nil); errors.As(err, &tooLong) {
		return nil, http.StatusRequestEntityTooLarge, "the body is over 64 KiB"
	}
	if err != nil {
		return nil, http.StatusBadRequest, "the body can't be read"
	}
	if method == http.MethodGet && len(body) > 0 {
		return nil, http.StatusBadRequest, "a GET has no body"
	}
	hint, _ := strconv.ParseUint(h.Get("X-Cost-Hint"), 10, 32) // a guess; none is as good as a bad one
	return &exchange{
		req: policy.Request{ID: id, Class: class.Name, Tenant: h.Get("X-Tenant"), Key: h.Get("X-Key"),
			Hint: time.Duration(hint) * time.Microsecond, Retry: h.Get("X-Retry") == "1"},
		method: method, url: r.URL, host: r.Host, header: h, body: body, came: s.loop.clock.now(),
		clientWaits: time.Duration(waits) * time.Millisecond, reply: make(chan answer, 1),
	}, 0, ""
}

// usableID guards the table of requests and the header it goes on in.
func usableID(id string) bool {
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return id != "" && len(id) <= maxID
}

func write(w http.ResponseWriter, a answer) {
	// A client that reads nothing must not hold the handler for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	h := w.Header()
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	}
	if a.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', -1, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // the client may have left; the request is over either way
}
