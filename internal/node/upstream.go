package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/policy"
)

// maxBody is the most that a request or an answer may hold.
const maxBody = 64 << 10

// defaultConnIdle is how long a connection is kept unused where the settings name no limit.
const defaultConnIdle = 60 * time.Second

var (
	errUnknown   = errors.New("not in the list")
	errNoSockets = errors.New("no descriptor is left for another connection")
)

// upstream makes attempts at servers, over connections that it holds itself: http.Transport's own
// pool sends a GET, or a request with an Idempotency-Key, again on its own when a reused connection
// breaks, and each such copy would be an attempt that the module never decided on.
type upstream struct {
	dialer    net.Dialer
	transport *http.Transport // makes connections, and pools none
	idleFor   time.Duration   // an idle connection is dropped after this
	report    []string        // names of the figures of a load report, in order

	mu    sync.Mutex
	pools map[string]*pool
	open  int // connections, those being made among them
	most  int // that may be open: the rest of the descriptors is the clients'
}

// pool holds the idle connections to one process of one server, the last used at the end.
type pool struct {
	addr    string
	upSince int64
	idle    []*conn
}

type conn struct {
	*http.ClientConn
	raw  *rawConn
	pool *pool
	used time.Time
}

// rawConn remembers whether a write failed. net/http says that a request was written before it
// flushes the buffer that holds its end, so WroteRequest alone doesn't tell.
type rawConn struct {
	net.Conn
	failed atomic.Bool
}

func (c *rawConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	return n, err
}

type rawConnKey struct{}

func newUpstream(c Config, most int) *upstream {
	idle := c.Settings.Allowed.ConnIdle
	if idle == 0 {
		idle = defaultConnIdle
	}
	return &upstream{
		dialer:  net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1},
		idleFor: idle / 2, // what is written just as the server closes would end as a reset
		report:  c.Settings.Report, pools: make(map[string]*pool), most: most,
		transport: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxHeader,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
				return ctx.Value(rawConnKey{}).(*rawConn), nil
			}},
	}
}

// update follows the list. A server that moved or started anew gets a new pool: what was open to its
// former process is of no use.
func (u *upstream) update(n news) {
	u.mu.Lock()
	defer u.mu.Unlock()
	listed := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		p := u.pools[m.Server]
		listed[m.Server] = true
		switch {
		case m.Availability == policy.Removed:
			u.forget(m.Server)
		case p == nil || p.addr != m.Addr || p.upSince != m.UpSince:
			u.forget(m.Server)
			u.pools[m.Server] = &pool{addr: m.Addr, upSince: m.UpSince}
		}
	}
	if n.kind == policy.ListUpdate {
		return
	}
	for id := range u.pools {
		if !listed[id] {
			u.forget(id)
		}
	}
}

func (u *upstream) forget(id string) {
	if p := u.pools[id]; p != nil {
		u.trim(p, len(p.idle))
		delete(u.pools, id)
	}
}

// trim closes the n connections of p that were idle longest.
func (u *upstream) trim(p *pool, n int) {
	for _, c := range p.idle[:n] {
		c.Close()
	}
	p.idle = append([]*conn(nil), p.idle[n:]...)
	u.open -= n
}

// closeIdle drops the idle connections to one server.
func (u *upstream) closeIdle(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		u.trim(p, len(p.idle))
	}
}

// sweep drops the connections that were idle for too long, and those that the server closed.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		var kept []*conn
		for _, c := range p.idle {
			if now.Sub(c.used) < u.idleFor && c.Available() > 0 {
				kept = append(kept, c)
				continue
			}
			c.Close()
			u.open--
		}
		p.idle = kept
	}
}

// close drops all idle connections; those in use end with their attempts.
func (u *upstream) close() { u.update(news{kind: policy.ListReplace}) }

// acquire takes an idle connection to the server, or makes one.
func (u *upstream) acquire(ctx context.Context, id string) (*conn, error) {
	p, c, err := u.reserve(id)
	if c != nil || err != nil {
		return c, err
	}
	tcp, err := u.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		u.unreserve()
		return nil, err
	}
	raw := &rawConn{Conn: tcp}
	cc, err := u.transport.NewClientConn(context.WithValue(ctx, rawConnKey{}, raw), "http", p.addr)
	if err != nil {
		tcp.Close()
		u.unreserve()
		return nil, err
	}
	return &conn{ClientConn: cc, raw: raw, pool: p}, nil
}

// reserve returns an idle connection, or counts one that the caller is to make.
func (u *upstream) reserve(id string) (*pool, *conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil {
		return nil, nil, errUnknown
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		p.idle[n-1], p.idle = nil, p.idle[:n-1]
		if c.Available() > 0 && time.Since(c.used) < u.idleFor {
			return p, c, nil
		}
		c.Close()
		u.open--
	}
	if u.open >= u.most && !u.evict() {
		return nil, nil, errNoSockets
	}
	u.open++
	return p, nil, nil
}

func (u *upstream) unreserve() {
	u.mu.Lock()
	u.open--
	u.mu.Unlock()
}

// evict closes the connection that was idle longest, if there is one.
func (u *upstream) evict() bool {
	var oldest *pool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].used.Before(oldest.idle[0].used)) {
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
func (u *upstream) release(c *conn, id string, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reusable && c.Available() > 0 && u.pools[id] == c.pool {
		c.used = time.Now()
		c.pool.idle = append(c.pool.idle, c)
		return
	}
	c.Close()
	u.open--
}

// result is how an attempt ended.
type result struct {
	code   policy.Code
	answer answer // for OK
	report []float64
}

// attempt sends x to the server once, and waits for the whole answer until ctx ends. Ending ctx
// closes the connection, which is how a server learns that nobody waits.
func (u *upstream) attempt(ctx context.Context, id string, x *exchange) result {
	c, err := u.acquire(ctx, id)
	if err != nil {
		return result{code: broken(ctx, false)}
	}
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote.Store(info.Err == nil) },
	})
	resp, err := c.RoundTrip(u.request(ctx, c.pool.addr, x))
	if err != nil {
		// RoundTrip returns only once nothing is being written any more, so failed is final.
		mayRun := wrote.Load() && !c.raw.failed.Load()
		u.release(c, id, false)
		return result{code: broken(ctx, mayRun)}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		u.release(c, id, false)
		resp.Body.Close()
		if err == nil {
			return result{code: policy.ServerError}
		}
		return result{code: broken(ctx, true)}
	}
	resp.Body.Close()
	u.release(c, id, true)
	r := result{code: policy.ServerError, report: loadReport(resp.Header.Get("X-Load"), u.report)}
	switch resp.StatusCode {
	case http.StatusOK:
		r.code = policy.OK
		r.answer = answer{status: http.StatusOK, body: body, contentType: resp.Header.Get("Content-Type")}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Not-Run") == "1" { // without it, it may have run
			r.code = policy.Full
		}
	}
	return r
}

// broken names the outcome of an attempt that brought no answer. One whose last byte was never
// written can't have run, also where its time is up; when unsure, it may have run.
func broken(ctx context.Context, mayRun bool) policy.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case !mayRun:
		return policy.ConnectFailed
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.Reset
}

// request makes the copy of x that a server gets.
func (u *upstream) request(ctx context.Context, addr string, x *exchange) *http.Request {
	to := *x.url
	to.Scheme, to.Host = "http", addr
	req := (&http.Request{Method: x.method, URL: &to, Host: x.host, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: make(http.Header)}).WithContext(ctx)
	req.Header["User-Agent"] = []string{""} // nothing is added in the client's name
	req.Header.Set("X-Request-Id", x.req.ID)
	for _, name := range []string{"Idempotency-Key", "Content-Type"} {
		if v := x.header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	if end, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(end).Milliseconds())
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left, 10))
	}
	if len(x.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return req
}

// loadReport reads `name=value,name=value` into the order of names; nil where there is none.
func loadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	row := make([]float64, len(names))
	for i, name := range names {
		row[i] = math.NaN() // absent
		for _, pair := range strings.Split(text, ",") {
			k, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if n, err := strconv.ParseFloat(v, 64); k == name && err == nil {
				row[i] = n
			}
		}
	}
	return row
}
