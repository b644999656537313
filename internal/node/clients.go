package node

import (
	linked "container/list"
	"net"
	"net/http"
	"sync"

	"cobaltward/internal/sockets"
)

// clients is the listener for clients. It bounds their connections, and where they get too many it
// makes room by closing those that have been without a request for longest: clients who connect and
// say nothing, or keep what they don't use, must not keep others out.
type clients struct {
	net.Listener
	most int

	mu     sync.Mutex
	room   sync.Cond
	open   int
	quiet  linked.List // of the *clientConn without a request, the longest so in front
	closed bool
}

// clientConn is one connection of a client.
type clientConn struct {
	*net.TCPConn
	owner *clients

	// Under the owner's mutex.
	quiet *linked.Element // its place there; nil while a request is in it
	gone  bool
}

func newClients(l net.Listener, most int) *clients {
	c := &clients{Listener: l, most: most}
	c.room.L = &c.mu
	return c
}

func (l *clients) Accept() (net.Conn, error) {
	tcp, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: tcp.(*net.TCPConn), owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open++; l.open > l.most && !l.evict() && !l.closed; {
		l.room.Wait() // each has a request in it: one will end
	}
	c.quiet = l.quiet.PushBack(c)
	return c, nil
}

func (l *clients) Close() error {
	l.mu.Lock()
	l.closed = true
	l.room.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// evict closes the connection that has been quiet for longest, if there is one.
func (l *clients) evict() bool {
	for e := l.quiet.Front(); e != nil; e = e.Next() {
		// A request may have come that nobody has read yet: one that meets a close has failed.
		if c := e.Value.(*clientConn); sockets.Quiet(c.TCPConn) {
			c.forget()
			c.TCPConn.Close()
			return true
		}
	}
	return false
}

// Read also notes that a request begins: net/http says so only once it has the whole head.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.change(http.StateActive)
	}
	return n, err
}

// change follows the connection's state.
func (c *clientConn) change(state http.ConnState) {
	l := c.owner
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.gone || state == http.StateNew:
		return
	case state == http.StateClosed || state == http.StateHijacked:
		c.forget()
	case state == http.StateIdle && c.quiet == nil:
		c.quiet = l.quiet.PushBack(c)
	case state == http.StateActive && c.quiet != nil:
		l.quiet.Remove(c.quiet)
		c.quiet = nil
	}
	l.room.Signal()
}

// forget takes the connection out of the count.
func (c *clientConn) forget() {
	if c.quiet != nil {
		c.owner.quiet.Remove(c.quiet)
		c.quiet = nil
	}
	c.gone = true
	c.owner.open--
}
