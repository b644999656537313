package http1

import (
	"context"
	"errors"
	"net"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/router"
	"cobaltward/transport/secure"
)

// acquire takes an idle connection to the server with the given ID, or opens a connection.
func (t *Transport) acquire(ctx context.Context, id string) (*conn, error) {
	s, c, err := t.reserve(id, true)
	if c != nil || err != nil {
		return c, err
	}
	c, err = t.openForRequest(ctx, s)
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, errAttemptEnded):
		return nil, ctx.Err()
	}
	t.unreserve()
	if sockets.IsResourceExhaustion(err) || errors.Is(err, secure.ErrTooManyHandshakes) {
		return nil, errNoConnection
	}
	return nil, err
}

// openForRequest opens a connection to srv. With TLS, the handshake continues after ctx has ended, so that the next
// request can use the connection. openForRequest then returns errAttemptEnded. A goroutine later releases the
// connection to the pool or gives up its reservation.
func (t *Transport) openForRequest(ctx context.Context, srv *server) (*conn, error) {
	if t.tls == nil {
		return t.open(ctx, ctx, srv, true)
	}
	type result struct {
		conn *conn
		err  error
	}
	opened := make(chan result, 1)
	t.dials.Go(func() {
		c, err := t.open(ctx, t.ctx, srv, true)
		opened <- result{c, err}
	})
	select {
	case r := <-opened:
		return r.conn, r.err
	case <-ctx.Done():
	}
	select {
	case r := <-opened: // the result counts although ctx has ended: the server is not at fault
		return r.conn, r.err
	default:
	}
	t.dials.Go(func() {
		if r := <-opened; r.err != nil {
			t.unreserve()
		} else {
			t.release(r.conn, srv.ID, true)
		}
	})
	return nil, errAttemptEnded
}

// open opens a connection to srv. forRequest is true if a request waits for the connection. A queued handshake ends
// with queueCtx, and a running handshake ends with ctx.
func (t *Transport) open(queueCtx, ctx context.Context, srv *server, forRequest bool) (*conn, error) {
	var idle *conn
	dial := func() (*net.TCPConn, error) {
		if idle = t.takeIdleInstead(srv, forRequest); idle != nil {
			return nil, errIdleConnAvailable
		}
		return secure.DialTCP(ctx, &t.dialer, srv.Addr)
	}
	opened := &conn{server: srv}
	var err error
	endpoint := t.endpointOf(srv)
	if t.tls == nil || !t.tls.UsesTLS(&endpoint) {
		opened.tcp, err = dial()
	} else if err = t.tls.CheckTrusted(&endpoint); err == nil {
		opened.tls, err = t.tls.Handshake(queueCtx, ctx, &endpoint, forRequest, dial)
	}
	switch {
	case idle != nil:
		return idle, nil
	case err != nil:
		return nil, err
	case opened.tls != nil:
		opened.tcp = opened.tls.TCP()
	}
	opened.lastUsed = time.Now()
	return opened, nil
}

// takeIdleInstead returns a connection to s that became idle while a request was queued for a handshake, or nil.
// openConns already counts the idle connection, so takeIdleInstead removes the count that was reserved for the
// request.
func (t *Transport) takeIdleInstead(s *server, forRequest bool) *conn {
	if t.tls == nil || !forRequest {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers.Get(s.ID) != s {
		return nil
	}
	c := t.takeIdle(s, time.Now())
	if c != nil {
		t.openConns--
	}
	return c
}

// endpointOf returns the current entry of the endpoint list for s.
func (t *Transport) endpointOf(s *server) router.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	return s.Endpoint
}
