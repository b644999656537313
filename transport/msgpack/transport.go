// Package msgpack makes attempts at servers over the protocol of docs/msgpack-rpc.md, which carries many concurrent
// calls over few connections. Transport implements router.Transport.
package msgpack

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
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
	defaultServerIdleTimeout = 60 * time.Second // idle timeout of servers, unless configured
	sweepInterval            = time.Second      // time between two checks for expired connections
	// drainNoticeTTL is the time for which a drain notice of a server is in effect. The notice ends early if the
	// endpoint list names another process. Afterwards the transport opens a connection again. A server that is still
	// draining repeats its notice on that connection.
	drainNoticeTTL = 10 * time.Second
)

// Config configures a Transport.
type Config struct {
	Streams        int               // maximum number of concurrent calls on a connection; 0: DefaultStreams
	ConnsPerServer int               // maximum number of connections to one server; 0: DefaultConnsPerServer
	MaxConns       int               // maximum number of connections to all servers; 0: DefaultMaxConns
	ConnectTimeout time.Duration     // timeout for opening a TCP connection; 0: DefaultConnectTimeout
	TLS            *secure.ClientTLS // decides which servers use TLS; nil: none; not closed by the transport
}

func (c Config) withDefaults() Config {
	setDefault := func(limit *int, value int) {
		if *limit <= 0 {
			*limit = value
		}
	}
	setDefault(&c.Streams, DefaultStreams)
	setDefault(&c.ConnsPerServer, DefaultConnsPerServer)
	setDefault(&c.MaxConns, DefaultMaxConns)
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	return c
}

// Transport makes attempts over its own connections. Its methods may be called concurrently.
type Transport struct {
	config  Config
	dialer  net.Dialer
	stop    chan struct{}
	tasks   sync.WaitGroup
	written atomic.Uint64 // attempts that have ended and whose write completed or was in progress

	mu               sync.Mutex
	servers          servers.Table[*pool]
	openConns        int // open connections, including pending dials
	idleTimeout      time.Duration
	drainWriteTime   time.Duration // time after the start of a drain during which calls may still be written
	loadReportFields []string      // names of the values in a load report, in order
	closed           bool
}

var (
	_ router.Transport    = (*Transport)(nil)
	_ router.WriteCounter = (*Transport)(nil)
)

// New returns a transport without servers. Update adds servers. The caller must close the transport.
func New(config Config) *Transport {
	config = config.withDefaults()
	t := &Transport{
		config:      config,
		dialer:      net.Dialer{Timeout: config.ConnectTimeout, KeepAlive: -1},
		stop:        make(chan struct{}),
		idleTimeout: defaultServerIdleTimeout / 2,
	}
	t.servers = servers.New(t.removeServer)
	t.tasks.Go(t.sweep)
	return t
}

// Configure applies the idle timeout of servers, the fields of load reports and the drain grace from s.
func (t *Transport) Configure(s policy.Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleTimeout = s.Capabilities.ConnIdleTimeout / 2
	if t.idleTimeout == 0 {
		t.idleTimeout = defaultServerIdleTimeout / 2
	}
	t.drainWriteTime = s.Rules.DrainGrace / 2
	t.loadReportFields = s.LoadReportFields
}

// Update applies a change of the endpoint list.
func (t *Transport) Update(update router.EndpointUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers.Update(update)
	if t.config.TLS == nil {
		return
	}
	for i := range update.Endpoints {
		if srv := t.servers.Get(update.Endpoints[i].ID); srv != nil {
			t.config.TLS.UpdateServer(srv.Endpoint)
		}
	}
}

// removeServer retires the connections to srv, which left the endpoint list. The server may still answer the calls in
// flight. The caller holds the mutex.
func (t *Transport) removeServer(srv *server) {
	if t.config.TLS != nil {
		t.config.TLS.RemoveServer(srv.ID)
	}
	if srv.State == nil {
		return
	}
	srv.State.removed = true
	srv.State.retireAll()
}

// CloseIdle closes the idle connections to the server with the given ID.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	srv := t.servers.Get(id)
	if srv == nil || srv.State == nil {
		return
	}
	for _, conn := range srv.State.conns {
		if conn.calls == 0 {
			conn.Retire()
		}
	}
}

// sweep closes expired connections until the transport is closed.
func (t *Transport) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.closeExpired()
		case <-t.stop:
			return
		}
	}
}

// closeExpired closes idle connections that exceed the idle timeout or are no longer trusted.
func (t *Transport) closeExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, srv := range t.servers.All() {
		if srv.State == nil {
			continue
		}
		for _, conn := range srv.State.conns {
			idleSince, isIdle := conn.IdleSince()
			if !isIdle || conn.calls > 0 {
				continue
			}
			if time.Since(idleSince) >= t.idleTimeout || !conn.isTrusted() {
				conn.Retire()
			}
		}
	}
}

// Written returns the number of attempts that have ended and were written. An attempt that ends during its write
// counts too.
func (t *Transport) Written() uint64 { return t.written.Load() }

// Close closes all connections and waits for background tasks. It must not be called before the last Attempt has
// returned.
func (t *Transport) Close() {
	t.mu.Lock()
	first := !t.closed
	t.closed = true
	t.servers.Update(router.EndpointUpdate{Kind: policy.ListReplace})
	t.mu.Unlock()
	if first {
		close(t.stop)
	}
	t.tasks.Wait()
}
