// Package client calls a node over the protocol of docs/msgpack-rpc.md. It never repeats a call by itself:
// whether that is harmless is the caller's to know, by what the error or the code proves.
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
	backoffFirst = 50 * time.Millisecond // before the second try in a row to connect
	backoffMost  = 5 * time.Second
	// DefaultTimeout is how long a call waits where neither it nor its context says.
	DefaultTimeout = 30 * time.Second
)

// ErrClosed is what calls return once Close was called: they were not sent.
var ErrClosed = errors.New("client: closed")

// Client calls one node, over one connection that is made when it is needed and made again when it is
// lost. Its methods may be called at once from many goroutines.
type Client struct {
	network, addr string

	mu      sync.Mutex
	conn    *mux.Conn
	former  []*mux.Conn   // that take no calls any more, and may have some
	dialing chan struct{} // closed when the connection that is being made is there, or is not
	failed  int           // tries to connect, in a row
	next    time.Time     // of the next one
	err     error         // of the last one
	closed  bool
}

// New returns a client of the node at an address, which is not called yet: host:port for the network
// "tcp", a path for "unix".
func New(network, addr string) *Client { return &Client{network: network, addr: addr} }

// Call makes one call and waits for its answer, until ctx ends or q.Wait has passed. A Reply with a Code
// says how it ended unserved. Errors are *mux.NotSentError, which proves that nothing ran, and
// *mux.LostError and *mux.SpoiltError, after which it may have run.
func (c *Client) Call(ctx context.Context, q msgpackrpc.Call) (msgpackrpc.Reply, error) {
	if q.Timeout <= 0 {
		q.Timeout = DefaultTimeout
	}
	if end, ok := ctx.Deadline(); ok {
		q.Timeout = min(q.Timeout, time.Until(end))
	}
	if q.Timeout < time.Millisecond {
		return msgpackrpc.Reply{}, &mux.NotSentError{Err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	for {
		conn, err := c.connect(ctx)
		if err != nil {
			return msgpackrpc.Reply{}, &mux.NotSentError{Err: err}
		}
		reply, err := conn.Call(ctx, &q, nil)
		var notSent *mux.NotSentError
		if errors.As(err, &notSent) && errors.Is(err, mux.ErrRetired) && ctx.Err() == nil {
			continue // the node drains, or what stood in its place
		}
		return reply, err
	}
}

// connect returns a connection that takes calls. Tries to connect are spread in time where they fail, and
// calls between two of them fail at once.
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
		case c.dialing == nil && time.Now().Before(c.next):
			defer c.mu.Unlock()
			return nil, c.err
		}
		dialing := c.dialing
		if dialing == nil {
			dialing = make(chan struct{})
			c.dialing = dialing
			c.retire()
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

// retire puts a connection that takes no calls aside, and forgets those that have ended.
func (c *Client) retire() {
	var former []*mux.Conn
	for _, f := range append(c.former, c.conn) {
		if f == nil {
			continue
		}
		select {
		case <-f.Done():
			f.Close()
		default:
			former = append(former, f)
		}
	}
	c.former, c.conn = former, nil
}

func (c *Client) dial(dialing chan struct{}) {
	nc, err := net.DialTimeout(c.network, c.addr, backoffMost)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(dialing)
	c.dialing = nil
	switch {
	case err != nil:
		c.err = err
		c.next = time.Now().Add(min(backoffMost, backoffFirst<<min(c.failed, 16)))
		c.failed++
	case c.closed:
		nc.Close()
	default:
		c.failed, c.next = 0, time.Time{}
		c.conn = mux.New(nc, nil)
	}
}

// Close ends the client at once: calls that were sent may have run.
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
	for _, f := range append(c.former, c.conn) {
		if f != nil {
			f.Close()
		}
	}
	c.former, c.conn = nil, nil
}
