package node

import (
	linked "container/list"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

const (
	maxID         = 128 // bytes; the protocol's own ids are far shorter
	maxDeadlineMs = 3_600_000
	maxHeader     = 16 << 10
	headerTimeout = 2500 * time.Millisecond // for a request's head, and the same again for its body
	clientIdle    = 15 * time.Second        // without a request; under pressure it is less
	writeTimeout  = 5 * time.Second         // for an answer to a client that doesn't read
	lingerFor     = 500 * time.Millisecond  // for the body of a request that was refused unread
	readyPath     = "/health/ready"
)

// exchange is one client request, which is not changed once the loop has it.
type exchange struct {
	req         policy.Request
	method      string
	url         *url.URL
	host        string
	key         string // Idempotency-Key
	contentType string
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
	loop    *loop
	classes map[string]policy.Class
	phase   atomic.Int32 // of the end: serving, leaving or closing
	http    http.Server
}

// The phases of a node's end.
const (
	serving int32 = iota
	leaving       // new clients should go elsewhere; those that are here are still served
	closing       // answers end their connections
)

func newServer(c Config, l *loop) *server {
	s := &server{loop: l, classes: make(map[string]policy.Class)}
	for _, class := range c.Settings.Classes {
		s.classes[class.Name] = class
	}
	s.http = http.Server{
		Handler: s, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle,
		DisableGeneralOptionsHandler: true,
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*clientConn); ok {
				c.change(state)
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
	if s.phase.Load() == closing {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == readyPath && r.Method == http.MethodGet {
		if r.ContentLength != 0 { // net/http would wait for it, with no end
			reject(w, http.StatusBadRequest, "no body is wanted here")
			return
		}
		s.health(w)
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
	// Behind the answer net/http reads what is left of the body, for a close with bytes unread would
	// reset the connection before the client has read the answer; but not for long. An error here
	// means that the connection is gone.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerFor))
	http.Error(w, problem, status)
}

// health tells the front that the node may be taken in.
func (s *server) health(w http.ResponseWriter) {
	select {
	case <-s.loop.ready:
		if s.phase.Load() == serving {
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
	if len(h.Get("X-Tenant")) > maxID { // the module remembers it
		return nil, http.StatusBadRequest, "X-Tenant: too long"
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
	if r.ContentLength > maxBody { // not a byte of it need be read
		return nil, http.StatusRequestEntityTooLarge, "the body is over 64 KiB"
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(headerTimeout)) // fails only on connections that are gone
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, http.StatusBadRequest, "the body can't be read"
	}
	// From now on net/http reads on to notice a client that leaves, which may take as long as the answer.
	_ = conn.SetReadDeadline(time.Time{})
	if method == http.MethodGet && len(body) > 0 {
		return nil, http.StatusBadRequest, "a GET has no body"
	}
	hint, _ := strconv.ParseUint(h.Get("X-Cost-Hint"), 10, 32) // a guess; none is as good as a bad one
	return &exchange{
		req: policy.Request{ID: id, Class: class.Name, Tenant: h.Get("X-Tenant"), Key: h.Get("X-Key"),
			Hint: time.Duration(hint) * time.Microsecond, Retry: h.Get("X-Retry") == "1"},
		method: method, url: r.URL, host: r.Host, key: h.Get("Idempotency-Key"),
		contentType: h.Get("Content-Type"), body: body, came: s.loop.clock.now(),
		// No client waits longer than its class allows, whatever it says.
		clientWaits: min(time.Duration(waits)*time.Millisecond, class.Deadline), reply: make(chan answer, 1),
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

// clients is the listener for clients. It bounds their connections, and where they get too many it
// makes room by closing those that have been without a request for longest: clients who connect and
// say nothing, or keep what they don't use, must not keep others out.
type clients struct {
	net.Listener
	most int

	mu     sync.Mutex
	room   sync.Cond
	open   int
	quiet  linked.List // of the *clientConn without a request, the longest so in front
	closed bool
}

// clientConn is one connection of a client.
type clientConn struct {
	*net.TCPConn
	owner *clients

	// Under the owner's mutex.
	quiet *linked.Element // its place there; nil while a request is in it
	gone  bool
}

func newClients(l net.Listener, most int) *clients {
	c := &clients{Listener: l, most: most}
	c.room.L = &c.mu
	return c
}

func (l *clients) Accept() (net.Conn, error) {
	tcp, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp.(*net.TCPConn), owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open++; l.open > l.most && !l.evict() && !l.closed; {
		l.room.Wait() // each has a request in it: one will end
	}
	c.quiet = l.quiet.PushBack(c)
	return c, nil
}

func (l *clients) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// evict closes the connection that has been quiet for longest, if there is one.
func (l *clients) evict() bool {
	for e := l.quiet.Front(); e != nil; e = e.Next() {
		// A request may have come that nobody has read yet: one that meets a close has failed.
		if c := e.Value.(*clientConn); quiet(c.TCPConn) {
			c.forget()
			c.TCPConn.Close()
			return true
		}
	}
	return false
}

// Read also notes that a request begins: net/http says so only once it has the whole head.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.change(http.StateActive)
	}
	return n, err
}

// change follows the connection's state.
func (c *clientConn) change(state http.ConnState) {
	l := c.owner
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.gone || state == http.StateNew:
		return
	case state == http.StateClosed || state == http.StateHijacked:
		c.forget()
	case state == http.StateIdle && c.quiet == nil:
		c.quiet = l.quiet.PushBack(c)
	case state == http.StateActive && c.quiet != nil:
		l.quiet.Remove(c.quiet)
		c.quiet = nil
	}
	l.room.Signal()
}

// forget takes the connection out of the count.
func (c *clientConn) forget() {
	if c.quiet != nil {
		c.owner.quiet.Remove(c.quiet)
		c.quiet = nil
	}
	c.gone = true
	c.owner.open--
}
