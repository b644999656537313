package msgpack

import (
	"context"
	"errors"
	"time"

	"cobaltward/msgpackrpc/mux"
	"cobaltward/transport/secure"
	"cobaltward/transport/servers"
)

var (
	errUnknownServer  = errors.New("server is not in the endpoint list")
	errServerDraining = errors.New("server is draining")
	errNoConnection   = errors.New("all connections are full and the connection limit is reached")
)

// server is the transport's state for one process of a listed server. The field State is the connection pool, and is
// nil until the first attempt.
type server = servers.Server[*pool]

// pool is the connection pool of one server. The mutex of the transport guards it.
type pool struct {
	conns           []*pooledConn
	pendingDial     *pendingDial // connection that is being opened; nil: none
	drainNotifiedAt time.Time    // time of the last drain notice from the server
	removed         bool         // whether the server was removed from the endpoint list
}

// pooledConn is a connection in a pool.
type pooledConn struct {
	*mux.Conn
	tls   *secure.Conn // nil: plaintext
	calls int          // calls in flight; guarded by the mutex of the transport
}

// pendingDial is a connection that is being opened. A server has at most one pending dial. All attempts that need a
// new connection to the server wait for the pending dial.
type pendingDial struct {
	done chan struct{} // closed when the connection is open or has failed
	err  error         // reason of the failure; set before done is closed
}

// await waits until the dial has ended or ctx ends. If both have happened, for example during a pause of this
// process, the result of the dial counts: the server is not at fault.
func (d *pendingDial) await(ctx context.Context) error {
	select {
	case <-d.done:
		return d.err
	case <-ctx.Done():
	}
	select {
	case <-d.done:
		return d.err
	default:
		return ctx.Err()
	}
}

// isTrusted reports whether the certificate of the server is valid and trusted now. A plaintext connection is always
// trusted.
func (c *pooledConn) isTrusted() bool { return c.tls == nil || c.tls.IsTrusted(time.Now()) }

// hasDrainNotice reports whether a drain notice from the server is in effect.
func (p *pool) hasDrainNotice() bool {
	return !p.drainNotifiedAt.IsZero() && time.Since(p.drainNotifiedAt) < drainNoticeTTL
}

// retireAll makes all connections reject further calls.
func (p *pool) retireAll() {
	for _, conn := range p.conns {
		conn.Retire()
	}
}

// acquire returns a connection with a free slot for a call to the server with the given ID. It opens a connection if
// no slot is free.
func (t *Transport) acquire(ctx context.Context, id string) (*server, *pooledConn, error) {
	for {
		srv, conn, dial, err := t.acquireOrDial(id)
		if err != nil || conn != nil {
			return srv, conn, err
		}
		if err := dial.await(ctx); err != nil {
			return nil, nil, err
		}
	}
}

// acquireOrDial returns a connection with a free slot to the server with the given ID. If no slot is free, it returns
// a pending dial to wait for.
func (t *Transport) acquireOrDial(id string) (*server, *pooledConn, *pendingDial, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	srv := t.servers.Get(id)
	if srv == nil || t.closed {
		return nil, nil, nil, errUnknownServer
	}
	if srv.State == nil {
		srv.State = &pool{}
	}
	if t.isDraining(srv) {
		return nil, nil, nil, errServerDraining
	}
	if conn := srv.State.leastLoaded(t.config.Streams); conn != nil {
		conn.calls++
		return srv, conn, nil, nil
	}
	dial, err := t.dialLocked(srv)
	return srv, nil, dial, err
}

// isDraining reports whether srv must not receive new calls: the endpoint list marks srv as draining, or a drain
// notice from srv is in effect.
func (t *Transport) isDraining(srv *server) bool {
	return t.servers.WritesForbidden(srv, t.drainWriteTime) || srv.State.hasDrainNotice()
}

// leastLoaded returns the connection with the fewest calls, or nil if no connection has a free slot. It retires
// connections that are no longer trusted. maxCalls is the number of slots of each connection.
func (p *pool) leastLoaded(maxCalls int) (best *pooledConn) {
	for _, conn := range p.conns {
		if !conn.isTrusted() {
			conn.Retire()
			continue
		}
		if conn.calls < maxCalls && (best == nil || conn.calls < best.calls) && conn.Usable() {
			best = conn
		}
	}
	return best
}

// dialLocked returns the pending dial to srv, and starts a dial if there is none. The caller holds the mutex.
func (t *Transport) dialLocked(srv *server) (*pendingDial, error) {
	pool := srv.State
	if pool.pendingDial != nil {
		return pool.pendingDial, nil
	}
	if len(pool.conns) >= t.config.ConnsPerServer || t.openConns >= t.config.MaxConns {
		return nil, errNoConnection
	}
	dial := &pendingDial{done: make(chan struct{})}
	pool.pendingDial = dial
	t.openConns++
	endpoint := srv.Endpoint
	t.tasks.Go(func() { t.connect(srv, endpoint, dial) })
	return dial, nil
}

// release frees the slot of a call on conn that has ended.
func (t *Transport) release(conn *pooledConn) {
	t.mu.Lock()
	conn.calls--
	t.mu.Unlock()
}
