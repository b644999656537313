// Package http1 makes attempts at servers over HTTP/1.1, with one request at a time on a connection. Transport
// implements router.Transport.
package http1

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/internal/pausedetector"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/secure"
	"cobaltward/transport/servers"
)

const (
	// DefaultConnectTimeout is the default of Config.ConnectTimeout.
	DefaultConnectTimeout = 250 * time.Millisecond
	// DefaultMaxConns is the default of Config.MaxConns.
	DefaultMaxConns = 512

	// reuseDelay is the minimum time between a response and the next request on its connection. Responses carry no
	// ID, so a duplicate of a response would be taken for the response to the next request.
	reuseDelay = 15 * time.Millisecond
	// tlsReuseDelay replaces reuseDelay on TLS connections. It is shorter, since another connection costs a
	// handshake.
	tlsReuseDelay = 3 * time.Millisecond

	defaultServerIdleTimeout = 60 * time.Second // idle timeout of servers, unless configured
	sweepInterval            = time.Second      // time between two checks for expired connections
)

// Config configures a Transport.
type Config struct {
	MaxConns       int               // maximum number of connections, including idle connections; 0: DefaultMaxConns
	ConnectTimeout time.Duration     // timeout for opening a TCP connection; 0: DefaultConnectTimeout
	TLS            *secure.ClientTLS // decides which servers use TLS; nil: none; not closed by the transport
}

// Transport makes attempts over its own connections. Its methods may be called concurrently.
//
// Transport parses responses with net/http, but does not use http.Transport. http.Transport retries some requests by
// itself, and may take bytes after one response for the next response.
type Transport struct {
	dialer     net.Dialer
	tls        *secure.ClientTLS
	readers    sync.Pool // holds *bufio.Reader
	writers    sync.Pool // holds *bytes.Buffer
	stop       chan struct{}
	background sync.WaitGroup
	dials      sync.WaitGroup  // goroutines that open TLS connections
	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	written    atomic.Uint64 // attempts that were written completely
	pauses     pauseCounter

	mu               sync.Mutex
	servers          servers.Table[serverPool]
	openConns        int // open connections, including connections that are being opened
	maxConns         int
	idleTimeout      time.Duration
	drainWriteTime   time.Duration // time after the start of a drain during which requests may be written
	loadReportFields []string      // names of the values in a load report, in order
	closed           bool
}

var (
	_ router.Transport         = (*Transport)(nil)
	_ router.ConnectionCounter = (*Transport)(nil)
	_ router.WriteCounter      = (*Transport)(nil)
)

// New returns a transport without servers. Update adds servers. The caller must close the transport.
func New(config Config) *Transport {
	if config.MaxConns <= 0 {
		config.MaxConns = DefaultMaxConns
	}
	if config.ConnectTimeout <= 0 {
		config.ConnectTimeout = DefaultConnectTimeout
	}
	t := &Transport{
		dialer:      net.Dialer{Timeout: config.ConnectTimeout, KeepAlive: -1},
		tls:         config.TLS,
		readers:     sync.Pool{New: func() any { return bufio.NewReader(nil) }},
		writers:     sync.Pool{New: func() any { return new(bytes.Buffer) }},
		stop:        make(chan struct{}),
		maxConns:    config.MaxConns,
		idleTimeout: defaultServerIdleTimeout / 2,
		pauses:      new(pausedetector.Detector),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.servers = servers.New(t.removeServer)
	t.background.Go(t.sweep)
	if t.tls != nil {
		t.background.Go(t.preconnect)
	}
	return t
}

// removeServer closes the idle connections to s, and drops the TLS state of s, because s left the endpoint list. The
// caller holds the mutex.
func (t *Transport) removeServer(s *server) {
	t.closeOldest(s, len(s.State.idle))
	if t.tls != nil {
		t.tls.RemoveServer(s.ID)
	}
}

// sweep closes expired connections until the transport is closed.
func (t *Transport) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			t.closeExpired(now)
		case <-t.stop:
			return
		}
	}
}

// Configure applies the idle timeout of servers, the fields of load reports and the drain grace from s.
func (t *Transport) Configure(s policy.Settings) {
	serverIdleTimeout := s.Capabilities.ConnIdleTimeout
	if serverIdleTimeout == 0 {
		serverIdleTimeout = defaultServerIdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// A request that is written while the server closes the idle connection ends in a reset. Half of the server's
	// timeout avoids such resets.
	t.idleTimeout = serverIdleTimeout / 2
	t.drainWriteTime = s.Rules.DrainGrace / 2 // the other half is left for written bytes to arrive
	t.loadReportFields = s.LoadReportFields
}

// Update applies a change of the endpoint list.
func (t *Transport) Update(update router.EndpointUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers.Update(update)
	if t.tls == nil {
		return
	}
	for i := range update.Endpoints {
		if s := t.servers.Get(update.Endpoints[i].ID); s != nil {
			t.tls.UpdateServer(s.Endpoint)
		}
	}
}

// CloseIdle closes the idle connections to the server with the given ID.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers.Get(id); s != nil {
		t.closeOldest(s, len(s.State.idle))
	}
}

// Conns returns the number of connections to all servers, including connections that are being opened.
func (t *Transport) Conns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openConns
}

// SetMaxConns changes the maximum number of open connections to n. It closes no connection. While n or more
// connections are open, a new connection is opened only if an idle connection can be closed.
func (t *Transport) SetMaxConns(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = max(1, n)
}

// Written returns the number of attempts that were written completely.
func (t *Transport) Written() uint64 { return t.written.Load() }

// Close closes all idle connections. Connections in use are closed when their attempts end.
func (t *Transport) Close() {
	t.mu.Lock()
	first := !t.closed
	t.closed = true
	t.mu.Unlock()
	if first {
		close(t.stop)
		t.cancel()
	}
	t.background.Wait()
	t.dials.Wait()
	t.Update(router.EndpointUpdate{Kind: policy.ListReplace})
}
