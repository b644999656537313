package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cobaltward/policy"
)

const (
	maxBody         = 64 << 10 // bytes that a request or an answer may hold
	maxInterim      = 8        // 1xx answers ahead of the final one
	defaultConnIdle = 60 * time.Second
	// restFor is how long a connection rests after an answer. Answers carry no id: what comes right
	// behind one would be taken for the next one's, were the connection used again at once.
	restFor = 3 * time.Millisecond
)

var (
	errUnknown   = errors.New("not in the list")
	errNoSockets = errors.New("no descriptor is left for another connection")
	errSpoilt    = errors.New("the answer can't be read")
)

// upstream makes attempts at servers, over connections that it holds itself. It writes and reads with
// net/http's own functions and not with its Transport, which sends some requests again by itself, each
// an attempt that the module never decided on, and which may read what was left behind one answer as
// the next one's.
type upstream struct {
	dialer  net.Dialer
	idleFor time.Duration // an idle connection is dropped after this
	report  []string      // names of the figures of a load report, in order
	readers sync.Pool     // of *bufio.Reader
	writers sync.Pool     // of *bytes.Buffer

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
	*net.TCPConn
	pool *pool
	used time.Time
}

func newUpstream(c Config, most int) *upstream {
	idle := c.Settings.Allowed.ConnIdle
	if idle == 0 {
		idle = defaultConnIdle
	}
	return &upstream{
		dialer:  net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1},
		idleFor: idle / 2, // what is written just as the server closes would end as a reset
		report:  c.Settings.Report, pools: make(map[string]*pool), most: most,
		readers: sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		writers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
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
			u.take(m)
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

// take makes a pool for m, unless another server has its address by now: of two at one address the
// one that started last is there, and what is meant for the other must not reach it.
func (u *upstream) take(m member) {
	for id, p := range u.pools {
		if p.addr == m.Addr {
			if p.upSince > m.UpSince {
				return
			}
			u.forget(id)
		}
	}
	u.pools[m.Server] = &pool{addr: m.Addr, upSince: m.UpSince}
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

// sweep drops the connections that were idle for too long, and those that are quiet no more.
func (u *upstream) sweep(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		var kept []*conn
		for _, c := range p.idle {
			if now.Sub(c.used) < u.idleFor && quiet(c.TCPConn) {
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

// quiet tells whether a connection is open and has brought nothing that is still to be read. It
// doesn't wait for whoever is reading.
func quiet(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return quiet && err == nil
}

// acquire takes an idle connection to the server, or makes one.
func (u *upstream) acquire(ctx context.Context, id string) (*conn, error) {
	p, c, err := u.reserve(id)
	if c != nil || err != nil {
		return c, err
	}
	tcp, err := u.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		u.unreserve()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			return nil, errNoSockets
		}
		return nil, err
	}
	return &conn{TCPConn: tcp.(*net.TCPConn), pool: p}, nil
}

// reserve returns the idle connection last used of those that have rested, or counts one that the
// caller is to make.
func (u *upstream) reserve(id string) (*pool, *conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil {
		return nil, nil, errUnknown
	}
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		idle := now.Sub(c.used)
		if idle < restFor {
			continue
		}
		last := len(p.idle) - 1
		copy(p.idle[i:], p.idle[i+1:])
		p.idle[last], p.idle = nil, p.idle[:last]
		if idle < u.idleFor && quiet(c.TCPConn) {
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
	if reusable && u.pools[id] == c.pool {
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
	switch {
	case errors.Is(err, errNoSockets) && ctx.Err() == nil:
		return result{code: policy.Moot} // nothing was sent, and the server is not to blame
	case err != nil:
		return result{code: broken(ctx, err, false)}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	r, reusable := u.exchange(ctx, c, x)
	u.release(c, id, stop() && reusable)
	return r
}

// exchange writes x and reads its answer. The request can't have run before its last byte is written.
func (u *upstream) exchange(ctx context.Context, c *conn, x *exchange) (r result, reusable bool) {
	out := u.writers.Get().(*bytes.Buffer)
	defer u.writers.Put(out)
	out.Reset()
	if err := u.request(ctx, c.pool.addr, x).Write(out); err != nil {
		return result{code: broken(ctx, err, false)}, false
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return result{code: broken(ctx, err, false)}, false
	}
	in := u.readers.Get().(*bufio.Reader)
	defer u.readers.Put(in)
	resp, body, err := read(in, c, x.method)
	in.Reset(nil)
	if err != nil {
		return result{code: broken(ctx, err, true)}, false
	}
	r = result{code: policy.ServerError, report: loadReport(resp.Header.Get("X-Load"), u.report)}
	switch resp.StatusCode {
	case http.StatusOK:
		r.code = policy.OK
		r.answer = answer{status: http.StatusOK, body: body, contentType: resp.Header.Get("Content-Type")}
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Not-Run") == "1" { // without it, it may have run
			r.code = policy.Full
		}
	}
	return r, !resp.Close
}

// read takes one whole answer from the connection, within bounds on its head and its body; resp.Close
// tells that the connection serves no other. What doesn't fit its framing is no answer: a body
// without a length could have lost its end unseen, and bytes behind a body that begin no answer may
// be its rest.
func read(in *bufio.Reader, c io.Reader, method string) (resp *http.Response, body []byte, err error) {
	limit := &io.LimitedReader{R: c}
	in.Reset(limit)
	for i := 0; ; i++ {
		limit.N = maxHeader
		resp, err = http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, nil, spoilt(err, limit.N == 0)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i == maxInterim || resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, errSpoilt
		}
	}
	if resp.ContentLength > maxBody || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, nil, errSpoilt
	}
	limit.N = 2 * maxBody // a chunked body brings the lengths of its parts
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return nil, nil, spoilt(err, limit.N == 0)
	}
	if len(body) > maxBody {
		return nil, nil, errSpoilt
	}
	if n := in.Buffered(); n > 0 {
		resp.Close = true
		if behind, _ := in.Peek(min(n, len(statusLine))); string(behind) != statusLine[:len(behind)] {
			return nil, nil, errSpoilt
		}
	}
	return resp, body, nil
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

// broken names the outcome of an attempt that brought no answer. One whose last byte was never
// written can't have run, also where its time is up; when unsure, it may have run.
func broken(ctx context.Context, err error, mayRun bool) policy.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case !mayRun:
		return policy.ConnectFailed
	case ctx.Err() != nil:
		return policy.TimedOut
	case errors.Is(err, errSpoilt):
		return policy.ServerError
	}
	return policy.Reset
}

// request makes the copy of x that a server gets.
func (u *upstream) request(ctx context.Context, addr string, x *exchange) *http.Request {
	to := *x.url
	to.Scheme, to.Host = "http", addr
	req := &http.Request{Method: x.method, URL: &to, Host: x.host, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: make(http.Header)}
	req.Header["User-Agent"] = []string{""} // nothing is added in the client's name
	req.Header.Set("X-Request-Id", x.req.ID)
	for name, v := range map[string]string{"Idempotency-Key": x.key, "Content-Type": x.contentType} {
		if v != "" {
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

// maxReported is more than any figure of a load report can be.
const maxReported = 1e9

// loadReport reads `name=value,name=value` into the order of names; nil where there is none, or where
// a part of it is missing or makes no sense: the rest is then not to be trusted either.
func loadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	figures := make(map[string]float64)
	for _, pair := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
		n, err := strconv.ParseFloat(v, 64)
		if _, twice := figures[name]; twice || err != nil || !(n >= 0 && n <= maxReported) {
			return nil
		}
		figures[name] = n
	}
	row := make([]float64, len(names))
	for i, name := range names {
		n, ok := figures[name]
		if !ok {
			return nil
		}
		row[i] = n
	}
	return row
}
