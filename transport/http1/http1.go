// Package http1 makes attempts at servers over the protocol's HTTP/1.1, one request at a time on a
// connection. It is a router.Transport.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/outcome"
	"cobaltward/transport/secure"
	"cobaltward/transport/servers"
)

const (
	maxBody         = 64 << 10 // bytes that an answer may hold
	maxHeader       = 16 << 10 // bytes of its head
	maxInterim      = 8        // 1xx answers ahead of the final one
	defaultConnIdle = 60 * time.Second
	// restFor is how long a connection rests after an answer. Answers carry no id: what comes right
	// behind one would be taken for the next one's, were the connection used again at once. Second answers were
	// seen up to 4 ms behind the first.
	restFor = 15 * time.Millisecond
	// restSecure is the same by TLS, where another connection costs a handshake: longer had requests refused.
	restSecure = 3 * time.Millisecond
	sweepEvery = time.Second // idle connections

	// DefaultConnectTimeout and DefaultMaxConns hold where Config does not say.
	DefaultConnectTimeout = 250 * time.Millisecond
	DefaultMaxConns       = 512
)

var (
	errReady     = errors.New("a connection has come to be idle")
	errLeft      = errors.New("the connection is made for others")
	errUnknown   = errors.New("not in the list")
	errDrained   = errors.New("the server drains")
	errNoSockets = errors.New("no descriptor is left for another connection")
	errSpoilt    = errors.New("the answer can't be read")
	errRequest   = errors.New("the request can't be written")
)

// Config is what a Transport is told at its start.
type Config struct {
	MaxConns       int               // connections to all servers together, idle ones too; 0: DefaultMaxConns
	ConnectTimeout time.Duration     // for a new connection; 0: DefaultConnectTimeout
	TLS            *secure.ClientTLS // says who is spoken to by TLS; nil: nobody. The transport does not close it
}

// Transport makes attempts over connections that it holds itself. It reads with net/http's own
// functions and not with its Transport, which sends some requests again by itself, each an attempt
// that the module never decided on, and which may read what was left behind one answer as the next
// one's. Its methods may be called at once from many goroutines.
type Transport struct {
	dialer  net.Dialer
	secure  *secure.ClientTLS
	readers sync.Pool // of *bufio.Reader
	writers sync.Pool // of *bytes.Buffer
	stop    chan struct{}
	swept   sync.WaitGroup
	ahead   sync.WaitGroup  // connections that are made by TLS
	life    context.Context // ends with the transport
	end     context.CancelFunc
	written atomic.Uint64 // attempts, whole

	mu      sync.Mutex
	pools   servers.Table[held]
	open    int           // connections, those being made among them
	most    int           // that may be open
	idleFor time.Duration // an idle connection is dropped after this
	grace   time.Duration // after the news that a server drains, nothing is written to it
	report  []string      // names of the figures of a load report, in order
	closed  bool
}

var (
	_ router.Transport         = (*Transport)(nil)
	_ router.ConnectionCounter = (*Transport)(nil)
	_ router.WriteCounter      = (*Transport)(nil)
)

// New returns a transport without servers. Close ends it.
func New(c Config) *Transport {
	if c.MaxConns <= 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	t := &Transport{
		dialer: net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}, secure: c.TLS,
		most: c.MaxConns, idleFor: defaultConnIdle / 2, stop: make(chan struct{}),
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		writers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
	t.life, t.end = context.WithCancel(context.Background())
	t.pools = servers.New(func(p *pool) {
		t.trim(p, len(p.State.idle))
		if t.secure != nil {
			t.secure.RemoveServer(p.ID)
		}
	})
	t.swept.Go(func() {
		tick := time.NewTicker(sweepEvery)
		defer tick.Stop()
		for {
			select {
			case now := <-tick.C:
				t.sweep(now)
			case <-t.stop:
				return
			}
		}
	})
	if t.secure != nil {
		t.swept.Go(t.warm)
	}
	return t
}

// Configure takes over how long servers keep idle connections, the names in load reports and the
// grace of drains.
func (u *Transport) Configure(s policy.Settings) {
	idle := s.Capabilities.ConnIdleTimeout
	if idle == 0 {
		idle = defaultConnIdle
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.idleFor = idle / 2 // what is written just as the server closes would end as a reset
	u.grace = s.Rules.DrainGrace / 2
	u.report = s.LoadReportFields
}

// pool is one process of one server with what is held for it.
type pool = servers.Server[held]

// held is the idle connections of a server, the last used at the end.
type held struct {
	idle    []*conn
	asked   time.Time // when a request last wanted one
	opening int       // connections that are made ahead
}

// conn is a connection to a server. It has no more methods of TCP's than it names: some would go past TLS.
type conn struct {
	tcp    *net.TCPConn
	secure *secure.Conn // nil: without TLS
	pool   *pool
	used   time.Time
}

func (c *conn) Read(p []byte) (int, error) {
	if c.secure != nil {
		return c.secure.Read(p)
	}
	return c.tcp.Read(p)
}

func (c *conn) Write(p []byte) (int, error) {
	if c.secure != nil {
		return c.secure.Write(p)
	}
	return c.tcp.Write(p)
}

func (c *conn) Close() error {
	if c.secure != nil {
		return c.secure.Close()
	}
	return c.tcp.Close()
}

func (c *conn) SetReadDeadline(t time.Time) error  { return c.tcp.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.tcp.SetWriteDeadline(t) }

// quiet tells whether the connection is open and nothing is there to be read. Nobody else may be reading.
func (c *conn) quiet() bool {
	if c.secure != nil {
		return c.secure.IsIdle()
	}
	return sockets.Quiet(c.tcp)
}

// trusted tells whether the server has proved who it is, as things stand now.
func (c *conn) trusted(now time.Time) bool { return c.secure == nil || c.secure.IsTrusted(now) }

// Update follows the list.
func (u *Transport) Update(c router.EndpointUpdate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pools.Update(c)
	if u.secure == nil {
		return
	}
	for i := range c.Endpoints {
		if p := u.pools.Get(c.Endpoints[i].ID); p != nil {
			u.secure.UpdateServer(p.Endpoint)
		}
	}
}

// trim closes the n connections of p that were idle longest.
func (u *Transport) trim(p *pool, n int) {
	for _, c := range p.State.idle[:n] {
		c.Close()
	}
	p.State.idle = append([]*conn(nil), p.State.idle[n:]...)
	u.open -= n
}

// CloseIdle drops the idle connections to one server.
func (u *Transport) CloseIdle(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools.Get(id); p != nil {
		u.trim(p, len(p.State.idle))
	}
}

// Conns is the number of connections to all servers, those being made among them.
func (u *Transport) Conns() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open
}

// SetMaxConns changes the connections that may be open. Those beyond it go as they come to be idle.
func (u *Transport) SetMaxConns(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.most = max(1, n)
}

// Written is the number of attempts that went out whole.
func (u *Transport) Written() uint64 { return u.written.Load() }

// sweep drops the connections that were idle for too long, and those that are quiet no more.
func (u *Transport) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools.All() {
		var kept []*conn
		for _, c := range p.State.idle {
			if now.Sub(c.used) < u.idleFor && c.trusted(now) && c.quiet() {
				kept = append(kept, c)
				continue
			}
			c.Close()
			u.open--
		}
		p.State.idle = kept
	}
}

// Close drops all connections that are idle; those in use end with their attempts.
func (u *Transport) Close() {
	u.mu.Lock()
	first := !u.closed
	u.closed = true
	u.mu.Unlock()
	if first {
		close(u.stop)
		u.end()
	}
	u.swept.Wait()
	u.ahead.Wait()
	u.Update(router.EndpointUpdate{Kind: policy.ListReplace})
}

// acquire takes an idle connection to the server, or makes one.
func (u *Transport) acquire(ctx context.Context, id string) (*conn, error) {
	p, c, err := u.reserve(id, true)
	if c != nil || err != nil {
		return c, err
	}
	if c, err = u.begin(ctx, p); err != nil {
		if errors.Is(err, errLeft) {
			return nil, ctx.Err()
		}
		u.unreserve()
		if sockets.IsShortage(err) || errors.Is(err, secure.ErrTooManyHandshakes) {
			return nil, errNoSockets
		}
		return nil, err
	}
	return c, nil
}

// connect makes a connection; urgent says that a request waits for it. Until it is begun it can be broken off by wait.
func (u *Transport) connect(wait, ctx context.Context, p *pool, urgent bool) (*conn, error) {
	var ready *conn
	dial := func() (*net.TCPConn, error) {
		if ready = u.meanwhile(p, urgent); ready != nil {
			return nil, errReady
		}
		tcp, err := u.dialer.DialContext(ctx, "tcp", p.Addr)
		if err != nil {
			return nil, err
		}
		return tcp.(*net.TCPConn), nil
	}
	c := &conn{pool: p}
	var err error
	if m := u.member(p); u.secure == nil || !u.secure.UsesTLS(&m) {
		c.tcp, err = dial()
	} else if err = u.secure.CheckTrusted(&m); err == nil {
		c.secure, err = u.secure.Handshake(wait, ctx, &m, urgent, dial)
	}
	switch {
	case ready != nil:
		return ready, nil
	case err != nil:
		return nil, err
	case c.secure != nil:
		c.tcp = c.secure.TCP()
	}
	return c, nil
}

// begin makes a connection whether or not the request that wants it waits until it is there: a handshake that was
// begun is of use to the next.
func (u *Transport) begin(ctx context.Context, p *pool) (*conn, error) {
	if u.secure == nil {
		return u.connect(ctx, ctx, p, true)
	}
	type made struct {
		c   *conn
		err error
	}
	result := make(chan made, 1)
	u.ahead.Go(func() {
		c, err := u.connect(ctx, u.life, p, true)
		result <- made{c, err}
	})
	select {
	case m := <-result:
		return m.c, m.err
	case <-ctx.Done():
	}
	u.ahead.Go(func() {
		if m := <-result; m.err != nil {
			u.unreserve()
		} else {
			u.release(m.c, p.ID, true)
		}
	})
	return nil, errLeft
}

// meanwhile takes a connection that came to be idle while a request waited for the turn of its handshake, in place of
// the one that was counted for it.
func (u *Transport) meanwhile(p *pool, urgent bool) *conn {
	if u.secure == nil || !urgent {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.pools.Get(p.ID) != p {
		return nil
	}
	c := u.take(p, time.Now())
	if c != nil {
		u.open--
	}
	return c
}

// member is what the list says of a server.
func (u *Transport) member(p *pool) router.Endpoint {
	u.mu.Lock()
	defer u.mu.Unlock()
	return p.Endpoint
}

// reserve returns the idle connection last used of those that have rested, or counts one that the
// caller is to make. asked says that a request wants it.
func (u *Transport) reserve(id string, asked bool) (*pool, *conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools.Get(id)
	if p == nil {
		return nil, nil, errUnknown
	}
	now := time.Now()
	if asked {
		p.State.asked = now
	}
	if c := u.take(p, now); c != nil {
		return p, c, nil
	}
	if u.open >= u.most && !u.evict() {
		return nil, nil, errNoSockets
	}
	u.open++
	return p, nil, nil
}

// take takes the idle connection last used of those that have rested; nil where there is none.
func (u *Transport) take(p *pool, now time.Time) *conn {
	for i := len(p.State.idle) - 1; i >= 0; i-- {
		c := p.State.idle[i]
		idle := now.Sub(c.used)
		if idle < restFor && (c.secure == nil || idle < restSecure) {
			continue
		}
		last := len(p.State.idle) - 1
		copy(p.State.idle[i:], p.State.idle[i+1:])
		p.State.idle[last], p.State.idle = nil, p.State.idle[:last]
		if idle < u.idleFor && c.trusted(now) && c.quiet() {
			return c
		}
		c.Close()
		u.open--
	}
	return nil
}

func (u *Transport) unreserve() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// evict closes the connection that was idle longest, if there is one.
func (u *Transport) evict() bool {
	var oldest *pool
	for _, p := range u.pools.All() {
		if len(p.State.idle) > 0 && (oldest == nil || p.State.idle[0].used.Before(oldest.State.idle[0].used)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	u.trim(oldest, 1)
	return true
}

// release puts a connection back if it can serve another request, else closes it.
func (u *Transport) release(c *conn, id string, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reusable && u.pools.Get(id) == c.pool {
		c.used = time.Now()
		c.pool.State.idle = append(c.pool.State.idle, c)
		return
	}
	c.Close()
	u.open--
}

// Attempt sends r to the server once, and waits for the whole answer until ctx ends. Ending ctx
// closes the connection, which is how a server learns that nobody waits.
func (u *Transport) Attempt(ctx context.Context, server string, r *router.Request) router.Result {
	c, err := u.acquire(ctx, server)
	switch {
	case errors.Is(err, errNoSockets) && ctx.Err() == nil:
		return router.Result{Code: policy.Superseded} // nothing was sent, and the server is not to blame
	case errors.As(err, new(*secure.UntrustedError)) && ctx.Err() == nil:
		return router.Result{Code: policy.Untrusted}
	case err != nil:
		return router.Result{Code: broken(ctx, err, false)}
	}
	stop := after(ctx, func() { c.Close() })
	result, reusable := u.exchange(ctx, c, server, r)
	if s := result.Answer.Stream; s != nil {
		if stop() {
			return result
		}
		s.Close() // the attempt was called off as its answer began
		return router.Result{Code: broken(ctx, net.ErrClosed, true)}
	}
	u.release(c, server, stop() && reusable)
	return result
}

// after is context.AfterFunc, without its cost where the context has one of its own, as the router's.
func after(ctx context.Context, f func()) (stop func() bool) {
	if own, ok := ctx.(router.AfterFuncContext); ok {
		return own.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}

// exchange writes r and reads its answer. The request can't have run before its last byte is written.
func (u *Transport) exchange(ctx context.Context, c *conn, server string, r *router.Request) (_ router.Result, reusable bool) {
	out := u.writers.Get().(*bytes.Buffer)
	defer u.writers.Put(out)
	out.Reset()
	if !write(ctx, out, c.pool.Addr, r) {
		return router.Result{Code: policy.Superseded}, true // no server is to blame, and none would take it
	}
	// The host may have kept this goroutine from running since the engine decided: what is late by now
	// must not go out.
	if err := u.late(ctx, c.pool); err != nil {
		return router.Result{Code: broken(ctx, err, false)}, errors.Is(err, errDrained) || errors.Is(err, outcome.ErrAbandoned)
	}
	if !c.trusted(time.Now()) {
		return router.Result{Code: policy.Untrusted}, false
	}
	if r.Upload != nil {
		if result, ok := u.upload(ctx, c, out, r); !ok {
			return result, false
		}
	} else if _, err := c.Write(out.Bytes()); err != nil {
		return router.Result{Code: broken(ctx, err, false)}, false
	}
	u.written.Add(1)
	in := u.readers.Get().(*bufio.Reader)
	h, body, long, err := u.read(in, c, server, r)
	if long == nil {
		in.Reset(nil)
		u.readers.Put(in)
	}
	if err != nil {
		return router.Result{Code: broken(ctx, err, true)}, false
	}
	result := router.Result{Code: policy.ServerError}
	if h.load != "" {
		result.LoadReport = outcome.ParseLoadReport(h.load, u.reported())
	}
	switch h.status {
	case http.StatusOK:
		result.Code = policy.OK
		result.Answer = router.Answer{Body: body, ContentType: h.contentType, Stream: long}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if h.notRun { // without it, it may have run
			result.Code = policy.Overloaded
		}
	}
	return result, !h.closes
}

// late tells why nothing may be written to p any more.
func (u *Transport) late(ctx context.Context, p *pool) error {
	if err := outcome.CheckSendable(ctx); err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if p.WritesForbidden(u.grace) {
		return errDrained
	}
	return nil
}

func (u *Transport) reported() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report
}

// read takes one answer from the connection, within bounds on its head and on what is held of its body; head.closes
// tells that the connection serves no other. An answer that is longer, or of unknown length and slow, comes as a
// stream, which then owns the connection and the reader. What doesn't fit its framing is no answer, and bytes
// behind a body that begin no answer may be its rest.
func (u *Transport) read(in *bufio.Reader, c *conn, server string, r *router.Request) (h head, body []byte, long router.Stream, err error) {
	limit := &io.LimitedReader{R: c, N: maxHeader}
	in.Reset(limit)
	ok := false
	if r.Method != http.MethodHead { // else a length says nothing of what follows
		h, ok = simple(in)
	}
	if !ok {
		var resp *http.Response
		if h, resp, err = slow(in, limit, r.Method); err != nil {
			return h, nil, nil, err
		}
		if !r.AcceptsStream || h.status != http.StatusOK || there(in) || resp.ContentLength >= 0 && resp.ContentLength <= maxBody {
			body, err = rest(limit, resp)
		} else {
			body, long, err = u.unknown(in, limit, c, server, resp)
		}
	} else if h.length > maxBody {
		if !r.AcceptsStream || h.status != http.StatusOK {
			return h, nil, nil, errSpoilt
		}
		s, err := u.long(in, limit, c, server, h)
		if err != nil {
			return h, nil, nil, err
		}
		return h, nil, s, nil
	} else {
		limit.N = maxBody
		body = make([]byte, h.length)
		if _, err = io.ReadFull(in, body); err != nil {
			if errors.Is(err, io.EOF) { // not a byte of it came
				err = io.ErrUnexpectedEOF
			}
			err = spoilt(err, limit.N == 0)
		}
	}
	if err != nil || long != nil {
		return h, nil, long, err
	}
	if n := in.Buffered(); n > 0 {
		h.closes = true
		if behind, _ := in.Peek(min(n, len(statusLine))); string(behind) != statusLine[:len(behind)] {
			return h, nil, nil, errSpoilt
		}
	}
	return h, body, nil, nil
}

// statusLine is how an answer begins.
const statusLine = "HTTP/1."

// spoilt tells an answer that can't be read, or doesn't end, from a connection that broke.
func spoilt(err error, tooLong bool) error {
	if ne := net.Error(nil); errors.As(err, &ne) || !tooLong && errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errSpoilt
}

// broken names the outcome of an attempt that brought no answer.
func broken(ctx context.Context, err error, mayRun bool) policy.Code {
	code := outcome.FailureCode(ctx, mayRun)
	if code == policy.Reset && errors.Is(err, errSpoilt) {
		return policy.ServerError
	}
	return code
}

// write puts the copy of r that a server gets into out, and nothing in the client's name that it did
// not send. It reports false where a field would break the request's framing: fronts of other
// protocols may carry any bytes.
func write(ctx context.Context, out *bytes.Buffer, addr string, r *router.Request) bool {
	target, host := r.Target, r.Authority
	if target == "" {
		target = "/"
	}
	if host == "" {
		host = addr
	}
	if !token(r.Method) || !word(target) || target[0] != '/' || !word(host) || !router.ValidID(r.ID) ||
		!value(r.IdempotencyKey) || !value(r.ContentType) {
		return false
	}
	for _, s := range [...]string{r.Method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\nX-Request-Id: ", r.ID} {
		out.WriteString(s)
	}
	if r.IdempotencyKey != "" {
		out.WriteString("\r\nIdempotency-Key: ")
		out.WriteString(r.IdempotencyKey)
	}
	if r.ContentType != "" {
		out.WriteString("\r\nContent-Type: ")
		out.WriteString(r.ContentType)
	}
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		if r.Upload != nil && r.Timeout > 0 { // the deadline of a body on its way is that of the body, too
			left = min(left, r.Timeout)
		}
		out.WriteString("\r\nX-Deadline-Ms: ")
		out.Write(strconv.AppendInt(out.AvailableBuffer(), max(1, left.Milliseconds()), 10))
	}
	length := int64(len(r.Body))
	if r.Upload != nil {
		length = r.Upload.Length()
	}
	switch {
	case length < 0:
		out.WriteString("\r\nTransfer-Encoding: chunked")
	case length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		out.WriteString("\r\nContent-Length: ")
		out.Write(strconv.AppendInt(out.AvailableBuffer(), length, 10))
	}
	out.WriteString("\r\n\r\n")
	out.Write(r.Body)
	return true
}

// token tells whether s can be a method.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		if (s[i] < 'A' || s[i] > 'Z') && (s[i] < 'a' || s[i] > 'z') {
			return false
		}
	}
	return s != ""
}

// word tells whether s can stand between blanks on a line of its own.
func word(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// value tells whether s can be a header's value.
func value(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
