// Package http1 makes attempts at servers over HTTP/1.1, one request at a time on a connection. It is a
// router.Transport.
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

	// reuseDelay is the minimum time between a response and the next request on its connection. Responses carry no ID,
	// so a duplicate of a response would be taken for the response to the next request.
	reuseDelay = 15 * time.Millisecond
	// tlsReuseDelay replaces reuseDelay with TLS. It is shorter, since another connection costs a handshake.
	tlsReuseDelay = 3 * time.Millisecond

	defaultServerIdleTimeout = 60 * time.Second // servers close idle connections after this time, unless configured
	sweepInterval            = time.Second      // time between two checks for expired idle connections
)

// Config configures a Transport.
type Config struct {
	MaxConns       int               // maximum of connections to all servers, idle ones included; 0: DefaultMaxConns
	ConnectTimeout time.Duration     // timeout of opening a TCP connection; 0: DefaultConnectTimeout
	TLS            *secure.ClientTLS // decides which servers use TLS; nil: none. The transport does not close it
}

// Transport makes attempts over its own connections. It parses responses with the functions of net/http, but does not
// use http.Transport, which retries some requests by itself and may take bytes after one response for the next
// response. Its methods may be called concurrently.
type Transport struct {
	dialer     net.Dialer
	tls        *secure.ClientTLS
	readers    sync.Pool // of *bufio.Reader
	writers    sync.Pool // of *bytes.Buffer
	stop       chan struct{}
	background sync.WaitGroup
	dials      sync.WaitGroup  // connections that are being opened with TLS
	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	written    atomic.Uint64 // attempts that were written completely
	pauses     pauseCounter

	mu               sync.Mutex
	servers          servers.Table[serverPool]
	openConns        int // open connections, including those that are being opened
	maxConns         int
	idleTimeout      time.Duration
	drainWriteTime   time.Duration // time after the start of a drain in which requests may still be written
	loadReportFields []string      // names of the values in a load report, in order
	closed           bool
}

var (
	_ router.Transport         = (*Transport)(nil)
	_ router.ConnectionCounter = (*Transport)(nil)
	_ router.WriteCounter      = (*Transport)(nil)
)

// New returns a transport without servers; Update adds them. The caller has to close it.
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

// removeServer closes the idle connections and drops the TLS state of a server that left the endpoint list. The caller
// holds the mutex.
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

// Configure applies the servers' idle timeout, the fields of load reports and the drain grace.
func (t *Transport) Configure(s policy.Settings) {
	serverIdleTimeout := s.Capabilities.ConnIdleTimeout
	if serverIdleTimeout == 0 {
		serverIdleTimeout = defaultServerIdleTimeout
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// A request that is written while the server closes the idle connection would end in a reset. Half of the server's
	// timeout avoids that.
	t.idleTimeout = serverIdleTimeout / 2
	t.drainWriteTime = s.Rules.DrainGrace / 2 // written bytes arrive later, but have to arrive within the grace
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

// CloseIdle closes the idle connections to one server.
func (t *Transport) CloseIdle(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers.Get(id); s != nil {
		t.closeOldest(s, len(s.State.idle))
	}
}

// Conns returns the number of connections to all servers, including those that are being opened.
func (t *Transport) Conns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openConns
}

// SetMaxConns changes the maximum of open connections. It closes none. At or above the maximum, a new connection is
// opened only if an idle one can be closed for it.
func (t *Transport) SetMaxConns(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxConns = max(1, n)
}

// Written returns the number of attempts that were written completely.
func (t *Transport) Written() uint64 { return t.written.Load() }

// Close closes all idle connections. Those in use are closed when their attempts end.
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
