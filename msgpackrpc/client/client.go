// Package client calls a node over the protocol specified in docs/msgpack-rpc.md. It never retries a call that was
// sent. The caller must decide from the error or the code whether a retry is safe.
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
	minBackoff = 50 * time.Millisecond // wait after the first failure to connect; doubles with each further failure
	maxBackoff = 5 * time.Second       // maximum wait after a failure to connect
	// dialTimeout is the timeout for each attempt to connect.
	dialTimeout = 5 * time.Second
	// DefaultTimeout is the timeout of a call without Call.Timeout. The context of the call may end earlier.
	DefaultTimeout = 30 * time.Second
)

// ErrClosed is the cause of the *mux.NotSentError that Call returns after Close.
var ErrClosed = errors.New("client: closed")

// Client calls one node over one connection. The first call opens the connection. A later call reconnects if the
// connection was lost. A Client is safe for concurrent use.
type Client struct {
	network, addr string

	mu       sync.Mutex
	conn     *mux.Conn
	retired  []*mux.Conn   // connections that accept no new calls but may have open calls
	dialing  chan struct{} // closed when the current attempt to connect ends; nil: no attempt
	failures int           // number of consecutive failures to connect
	retryAt  time.Time     // earliest time of the next attempt to connect
	dialErr  error         // error of the last failure to connect
	closed   bool
}

// New returns a client of the node at addr. addr is host:port for the network "tcp", and a path for "unix". The first
// call connects.
func New(network, addr string) *Client { return &Client{network: network, addr: addr} }

// Call sends call and waits for the reply until ctx ends or call.Timeout has passed. A Reply with a Code says why the
// call was not served.
//
// After a *mux.NotSentError the call cannot have run. After a *mux.NoReplyError or *mux.MalformedReplyError the call
// may have run.
func (c *Client) Call(ctx context.Context, call msgpackrpc.Call) (msgpackrpc.Reply, error) {
	if call.Timeout <= 0 {
		call.Timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	deadline, _ := ctx.Deadline() // the earlier of the caller's deadline and the call's timeout
	for {
		conn, err := c.connect(ctx)
		if err != nil {
			return msgpackrpc.Reply{}, &mux.NotSentError{Err: err}
		}
		call.Timeout = time.Until(deadline) // connecting has used part of the timeout
		if call.Timeout < time.Millisecond {
			return msgpackrpc.Reply{}, &mux.NotSentError{Err: context.DeadlineExceeded}
		}
		reply, err := conn.Call(ctx, &call, nil)
		var notSent *mux.NotSentError
		if errors.As(err, &notSent) && errors.Is(err, mux.ErrRetired) && ctx.Err() == nil {
			continue // the node is draining; another node may accept connections at the same address
		}
		return reply, err
	}
}

// connect returns a connection that accepts calls. During the backoff after a failure it returns the error of that
// failure.
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

// retireConn moves the current connection to the retired connections, and removes closed connections. The caller
// holds c.mu.
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

// dial attempts to connect once. It then closes dialing, which wakes connect and Close.
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
