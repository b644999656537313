// Package msgpack makes attempts at servers over the protocol of docs/msgpack-rpc.md: many at once over
// few connections. It is a router.Transport.
package msgpack

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/mux"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/outcome"
	"cobaltward/transport/secure"
	"cobaltward/transport/servers"
)

// Defaults of Config.
const (
	DefaultStreams        = 64
	DefaultConnsPerServer = 4
	DefaultMaxConns       = 256
	DefaultConnectTimeout = 250 * time.Millisecond
)

const (
	defaultConnIdle = 60 * time.Second
	sweepEvery      = time.Second
	// drainKept is for how long a server's own word that it drains holds, unless the list says that
	// another process is there: after it a connection is tried again, and told again if it is still so.
	drainKept = 10 * time.Second
)

var (
	errUnknown   = errors.New("not in the list")
	errDrained   = errors.New("the server drains")
	errFull      = errors.New("no connection has room, and none may be opened")
	errUntrusted = errors.New("what the server showed does not hold any more")
)

// Config is what a Transport is told at its start.
type Config struct {
	Streams        int               // calls at once on a connection; 0: DefaultStreams
	ConnsPerServer int               // 0: DefaultConnsPerServer
	MaxConns       int               // to all servers together; 0: DefaultMaxConns
	ConnectTimeout time.Duration     // for a new connection; 0: DefaultConnectTimeout
	TLS            *secure.ClientTLS // says who is spoken to by TLS; nil: nobody. The transport does not close it
}

// Transport makes attempts over connections that it holds itself. Its methods may be called at once from
// many goroutines.
type Transport struct {
	c      Config
	dialer net.Dialer
	stop   chan struct{}
	parts  sync.WaitGroup

	mu      sync.Mutex
	servers servers.Table[*pool]
	open    int // connections, those being made among them
	idleFor time.Duration
	grace   time.Duration
	report  []string
	closed  bool
	written atomic.Uint64 // attempts, whole: counted at their end
}

var (
	_ router.Transport    = (*Transport)(nil)
	_ router.WriteCounter = (*Transport)(nil)
)

// pool is what a transport holds for a server.
type pool struct {
	conns   []*link
	dial    *dial
	drained time.Time // when the server itself said so
	gone    bool
}

// link is a connection with the number of calls that were given to it.
type link struct {
	*mux.Conn
	secure *secure.Conn // nil: without TLS
	load   int          // under the transport's mutex
}

// trusted tells whether the server has proved who it is, as things stand now.
func (l *link) trusted() bool { return l.secure == nil || l.secure.IsTrusted(time.Now()) }

// dial is a connection being made, which all wait for who need one.
type dial struct {
	done chan struct{}
	err  error
}

type server = servers.Server[*pool]

// New returns a transport without servers. Close ends it.
func New(c Config) *Transport {
	for _, d := range []struct {
		field *int
		value int
	}{{&c.Streams, DefaultStreams}, {&c.ConnsPerServer, DefaultConnsPerServer}, {&c.MaxConns, DefaultMaxConns}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	t := &Transport{c: c, dialer: net.Dialer{Timeout: c.ConnectTimeout, KeepAlive: -1}, stop: make(chan struct{}), idleFor: defaultConnIdle / 2}
	t.servers = servers.New(t.drop)
	t.parts.Go(t.sweep)
	return t
}

// Configure takes over how long servers keep idle connections, the names in load reports and the grace
// of drains.
func (t *Transport) Configure(s policy.Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.idleFor = s.Capabilities.ConnIdleTimeout / 2; t.idleFor == 0 {
		t.idleFor = defaultConnIdle / 2
	}
	t.grace, t.report = s.Rules.DrainGrace/2, s.LoadReportFields
}

// Update follows the list.
func (t *Transport) Update(c router.EndpointUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers.Update(c)
	if t.c.TLS == nil {
		return
	}
	for i := range c.Endpoints {
		if s := t.servers.Get(c.Endpoints[i].ID); s != nil {
			t.c.TLS.UpdateServer(s.Endpoint)
		}
	}
}

// drop ends what is held for a server that is gone: calls that it has may still be answered.
func (t *Transport) drop(s *server) {
	if t.c.TLS != nil {
		t.c.TLS.RemoveServer(s.ID)
	}
	if s.State == nil {
		return
	}
	s.State.gone = true
	for _, l := range s.State.conns {
		l.Retire()
	}
}

// CloseIdle drops the idle connections to a server.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers.Get(id); s != nil && s.State != nil {
		for _, l := range s.State.conns {
			if l.load == 0 {
				l.Retire()
			}
		}
	}
}

// sweep drops connections that have been idle for too long.
func (t *Transport) sweep() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-t.stop:
			return
		}
		t.mu.Lock()
		for _, s := range t.servers.All() {
			if s.State == nil {
				continue
			}
			for _, l := range s.State.conns {
				if since, ok := l.IdleSince(); ok && l.load == 0 && (time.Since(since) >= t.idleFor || !l.trusted()) {
					l.Retire()
				}
			}
		}
		t.mu.Unlock()
	}
}

// Close drops all connections, once the last Attempt has returned.
func (t *Transport) Close() {
	t.mu.Lock()
	first := !t.closed
	t.closed = true
	t.servers.Update(router.EndpointUpdate{Kind: policy.ListReplace})
	t.mu.Unlock()
	if first {
		close(t.stop)
	}
	t.parts.Wait()
}

// acquire returns a connection with room for a call, making one where none has.
func (t *Transport) acquire(ctx context.Context, id string) (*server, *link, error) {
	for {
		t.mu.Lock()
		s := t.servers.Get(id)
		if s == nil || t.closed {
			t.mu.Unlock()
			return nil, nil, errUnknown
		}
		if s.State == nil {
			s.State = &pool{}
		}
		p := s.State
		if !p.drained.IsZero() && time.Since(p.drained) < drainKept || s.WritesForbidden(t.grace) {
			t.mu.Unlock()
			return nil, nil, errDrained
		}
		var best *link
		for _, l := range p.conns {
			if !l.trusted() {
				l.Retire() // it ends with the calls that it has
				continue
			}
			if l.load < t.c.Streams && (best == nil || l.load < best.load) && l.Usable() {
				best = l
			}
		}
		if best != nil {
			best.load++
			t.mu.Unlock()
			return s, best, nil
		}
		d := p.dial
		if d == nil {
			if len(p.conns) >= t.c.ConnsPerServer || t.open >= t.c.MaxConns {
				t.mu.Unlock()
				return nil, nil, errFull
			}
			d = &dial{done: make(chan struct{})}
			p.dial = d
			t.open++
			m := s.Endpoint
			t.parts.Go(func() { t.connect(s, m, d) })
		}
		t.mu.Unlock()
		select {
		case <-d.done:
			if d.err != nil {
				return nil, nil, d.err
			}
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// connect makes a connection, whoever waits for it: it is of use to the next.
func (t *Transport) connect(s *server, m router.Endpoint, d *dial) {
	within := t.c.ConnectTimeout
	tls := t.c.TLS != nil && t.c.TLS.UsesTLS(&m)
	if tls {
		within += secure.DefaultHandshakeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	t.parts.Go(func() { // Close need not wait for the time-out
		select {
		case <-t.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	l := &link{}
	var nc net.Conn
	var err error
	if !tls {
		nc, err = t.dialer.DialContext(ctx, "tcp", m.Addr)
	} else if err = t.c.TLS.CheckTrusted(&m); err == nil {
		l.secure, err = t.c.TLS.Handshake(ctx, ctx, &m, true, func() (*net.TCPConn, error) {
			tcp, err := t.dialer.DialContext(ctx, "tcp", m.Addr)
			if err != nil {
				return nil, err
			}
			return tcp.(*net.TCPConn), nil
		})
		nc = l.secure
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(d.done)
	p := s.State
	p.dial = nil
	if sockets.IsResourceExhaustion(err) {
		err = errFull // no server is to blame
	}
	if err != nil {
		t.open--
		d.err = err
		return
	}
	l.Conn = mux.New(nc, func() { t.told(p) })
	p.conns = append(p.conns, l)
	if p.gone || t.closed {
		l.Retire()
	}
	t.parts.Go(func() {
		<-l.Done()
		l.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		t.open--
		for i := range p.conns {
			if p.conns[i] == l {
				p.conns = append(p.conns[:i], p.conns[i+1:]...)
				break
			}
		}
	})
}

// told notes that a server itself says that it drains: all its connections take nothing new.
func (t *Transport) told(p *pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.drained = time.Now()
	for _, l := range p.conns {
		l.Retire()
	}
}

func (t *Transport) release(l *link) {
	t.mu.Lock()
	l.load--
	t.mu.Unlock()
}

// may says why nothing may be written to s any more.
func (t *Transport) may(ctx context.Context, s *server, l *link) error {
	if err := outcome.CheckSendable(ctx); err != nil {
		return err
	}
	if !l.trusted() {
		return errUntrusted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.WritesForbidden(t.grace) || !s.State.drained.IsZero() && time.Since(s.State.drained) < drainKept {
		return errDrained
	}
	return nil
}

// Attempt sends r to the server once, and waits for the answer until ctx ends.
func (t *Transport) Attempt(ctx context.Context, id string, r *router.Request) router.Result {
	q := msgpackrpc.Call{
		ID: r.ID, IdempotencyKey: r.IdempotencyKey, Method: r.Method, Target: r.Target,
		Authority: r.Authority, ContentType: r.ContentType, Body: r.Body,
	}
	if r.Upload != nil {
		var ok bool
		if q.Body, ok = short(r.Upload); !ok {
			return router.Result{Code: policy.Superseded} // a message can't hold it: no server is to blame
		}
	}
	for {
		s, l, err := t.acquire(ctx, id)
		switch {
		case errors.Is(err, errDrained):
			return router.Result{Code: policy.Overloaded} // as one that turns away since it drains
		case errors.As(err, new(*secure.UntrustedError)) && ctx.Err() == nil:
			return router.Result{Code: policy.Untrusted}
		case errors.Is(err, errFull) || errors.Is(err, secure.ErrTooManyHandshakes):
			return router.Result{Code: policy.Superseded} // the server is not to blame
		case err != nil:
			return router.Result{Code: outcome.FailureCode(ctx, false)}
		}
		if end, ok := ctx.Deadline(); ok {
			q.Timeout = max(time.Millisecond, time.Until(end))
		}
		reply, err := l.Call(ctx, &q, func() error { return t.may(ctx, s, l) })
		t.release(l)
		if err == nil {
			t.written.Add(1)
			return t.result(&reply)
		}
		var notSent *mux.NotSentError
		if !errors.As(err, &notSent) {
			t.written.Add(1)
		}
		var spoilt *mux.MalformedReplyError
		switch {
		case errors.Is(err, mux.ErrRetired) && errors.As(err, &notSent) && ctx.Err() == nil:
			continue // it was retired just now: another may have room
		case errors.Is(err, errUntrusted):
			return router.Result{Code: policy.Untrusted}
		case errors.Is(err, errDrained):
			return router.Result{Code: policy.Overloaded}
		case errors.As(err, &spoilt):
			return router.Result{Code: policy.ServerError}
		}
		return router.Result{Code: outcome.FailureCode(ctx, notSent == nil)}
	}
}

// short reads a body that fits a message.
func short(u router.Upload) ([]byte, bool) {
	if u.Length() < 0 || u.Length() > maxBody {
		return nil, false
	}
	src, err := u.Open()
	if err != nil {
		return nil, false
	}
	all, err := io.ReadAll(src)
	return all, err == nil
}

// maxBody is the bytes of a body that a message holds.
const maxBody = 64 << 10

// Written is the number of attempts that went out whole.
func (t *Transport) Written() uint64 { return t.written.Load() }

// result is what an answer says.
func (t *Transport) result(r *msgpackrpc.Reply) router.Result {
	switch r.Code {
	case "":
		t.mu.Lock()
		names := t.report
		t.mu.Unlock()
		return router.Result{Code: policy.OK, Answer: router.Answer{Body: r.Body, ContentType: r.ContentType}, LoadReport: outcome.ParseLoadReport(r.Load, names)}
	case msgpackrpc.NotRun, msgpackrpc.Rejected, msgpackrpc.Overloaded:
		return router.Result{Code: policy.Overloaded}
	}
	return router.Result{Code: policy.ServerError}
}
