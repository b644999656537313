package msgpack

import (
	"context"
	"net"
	"slices"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc/mux"
	"cobaltward/router"
	"cobaltward/transport/secure"
)

// connect opens a connection to endpoint and adds it to the pool of srv. It continues after all waiting attempts have
// ended, since later attempts can use the connection.
func (t *Transport) connect(srv *server, endpoint router.Endpoint, dial *pendingDial) {
	conn, netConn, err := t.open(&endpoint)
	if sockets.IsResourceExhaustion(err) {
		err = errNoConnection // a local resource is exhausted: the server is not at fault
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	defer close(dial.done)
	pool := srv.State
	pool.pendingDial = nil
	if err != nil {
		t.openConns--
		dial.err = err
		return
	}
	conn.Conn = mux.New(netConn, func() { t.handleDrainNotice(pool) })
	pool.conns = append(pool.conns, conn)
	if pool.removed || t.closed {
		conn.Retire()
	}
	t.tasks.Go(func() { t.awaitEnd(pool, conn) })
}

// open opens a connection to endpoint. It fails after the connect timeout, or when the transport is closed. TLS adds
// the handshake timeout to the connect timeout.
func (t *Transport) open(endpoint *router.Endpoint) (*pooledConn, net.Conn, error) {
	timeout := t.config.ConnectTimeout
	usesTLS := t.config.TLS != nil && t.config.TLS.UsesTLS(endpoint)
	if usesTLS {
		timeout += secure.DefaultHandshakeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	t.tasks.Go(func() {
		select {
		case <-t.stop:
			cancel()
		case <-ctx.Done():
		}
	})
	if !usesTLS {
		netConn, err := sockets.DialTCP(ctx, &t.dialer, endpoint.Addr)
		return &pooledConn{}, netConn, err
	}
	if err := t.config.TLS.CheckTrusted(endpoint); err != nil {
		return nil, nil, err
	}
	tlsConn, err := t.config.TLS.Handshake(ctx, ctx, endpoint, true, func() (*net.TCPConn, error) {
		return secure.DialTCP(ctx, &t.dialer, endpoint.Addr)
	})
	return &pooledConn{tls: tlsConn}, tlsConn, err
}

// awaitEnd waits until conn has ended, and removes it from pool.
func (t *Transport) awaitEnd(pool *pool, conn *pooledConn) {
	<-conn.Done()
	conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openConns--
	if i := slices.Index(pool.conns, conn); i >= 0 {
		pool.conns = append(pool.conns[:i], pool.conns[i+1:]...)
	}
}

// handleDrainNotice records that the server of pool has announced a drain. The connections in pool then accept no
// further calls.
func (t *Transport) handleDrainNotice(pool *pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool.drainNotifiedAt = time.Now()
	pool.retireAll()
}
