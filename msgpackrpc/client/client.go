// Package client calls a node over the protocol of docs/msgpack-rpc.md. It never retries a call that was sent: whether
// that is safe is for the caller to decide, from what the error or the code proves.
package client

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/mux"
)

const (
	minBackoff = 50 * time.Millisecond // after the first failure to connect; doubles with each further one
	maxBackoff = 5 * time.Second
	// dialTimeout limits an attempt to connect.
	dialTimeout = 5 * time.Second
	// DefaultTimeout is the timeout of a call if neither Call.Timeout nor its context has one.
	DefaultTimeout = 30 * time.Second
)

// ErrClosed is the cause of a *mux.NotSentError after Close.
var ErrClosed = errors.New("client: closed")

// Client calls one node, over one connection. It connects when a call needs it, and again when the connection is lost.
// It is safe for concurrent use.
type Client struct {
	network, addr string

	mu       sync.Mutex
	conn     *mux.Conn
	retired  []*mux.Conn   // accept no calls, and may have open ones
	dialing  chan struct{} // closed at the end of the attempt to connect; nil: there is none
	failures int           // to connect, consecutive
	retryAt  time.Time     // no attempt to connect before
	dialErr  error         // of the last failure
	closed   bool
}

// New returns a client of the node at an address: host:port for the network "tcp", a path for "unix". It does not
// connect.
func New(network, addr string) *Client { return &Client{network: network, addr: addr} }

// Call sends one call and waits for its reply, until ctx ends or call.Timeout has passed. A Reply with a Code says
// why the call was not served. Errors are *mux.NotSentError, after which the call cannot have run, and
// *mux.NoReplyError and *mux.MalformedReplyError, after which it may have.
func (c *Client) Call(ctx context.Context, call msgpackrpc.Call) (msgpackrpc.Reply, error) {
	if call.Timeout <= 0 {
		call.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline() // the earlier one of the context's and the call's
	for {
		conn, err := c.connect(ctx)
		if err != nil {
			return msgpackrpc.Reply{}, &mux.NotSentError{Err: err}
		}
		call.Timeout = time.Until(deadline) // connecting has taken some of it
		if call.Timeout < time.Millisecond {
			return msgpackrpc.Reply{}, &mux.NotSentError{Err: context.DeadlineExceeded}
		}
		reply, err := conn.Call(ctx, &call, nil)
		var notSent *mux.NotSentError
		if errors.As(err, &notSent) && errors.Is(err, mux.ErrRetired) && ctx.Err() == nil {
			continue // the node has begun to drain; another one may accept at the address
		}
		return reply, err
	}
}

// connect returns a connection that accepts calls. During the backoff after a failure it returns that failure's error.
func (c *Client) connect(ctx context.Context) (*mux.Conn, error) {
	for {
		c.mu.Lock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return nil, ErrClosed
		case c.conn != nil && c.conn.Usable():
			defer c.mu.Unlock()
			return c.conn, nil
		case c.dialing == nil && time.Now().Before(c.retryAt):
			defer c.mu.Unlock()
			return nil, c.dialErr
		}
		dialing := c.dialing
		if dialing == nil {
			dialing = make(chan struct{})
			c.dialing = dialing
			c.retireConn()
			go c.dial(dialing)
		}
		c.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// retireConn moves the current connection to the retired ones, and removes those that have ended. c.mu is held.
func (c *Client) retireConn() {
	var retired []*mux.Conn
	for _, conn := range append(c.retired, c.conn) {
		if conn == nil {
			continue
		}
		select {
		case <-conn.Done():
			conn.Close()
		default:
			retired = append(retired, conn)
		}
	}
	c.retired, c.conn = retired, nil
}

// dial attempts to connect once, and then closes dialing. Close waits for it.
func (c *Client) dial(dialing chan struct{}) {
	nc, err := net.DialTimeout(c.network, c.addr, dialTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(dialing)
	c.dialing = nil
	switch {
	case err != nil:
		c.dialErr = err
		c.retryAt = time.Now().Add(min(maxBackoff, minBackoff<<min(c.failures, 16)))
		c.failures++
	case c.closed:
		_ = nc.Close()
	default:
		c.failures, c.retryAt = 0, time.Time{}
		c.conn = mux.New(nc, nil)
	}
}

// Close closes all connections. Open calls return *mux.NotSentError or *mux.NoReplyError.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	dialing := c.dialing
	c.mu.Unlock()
	if dialing != nil {
		<-dialing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range append(c.retired, c.conn) {
		if conn != nil {
			conn.Close()
		}
	}
	c.retired, c.conn = nil, nil
}
