package operations

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// evictingListener limits the number of open connections. At the limit, a new connection replaces the oldest
// connection whose request is incomplete. Clients that never complete a request therefore cannot lock out other
// clients. If all requests are complete, Accept waits until one has been answered.
type evictingListener struct {
	net.Listener
	maxConns int

	mu              sync.Mutex
	slotFreed       sync.Cond
	open            map[net.Conn]*list.Element // element of incompleteConns; nil if the request is complete
	incompleteConns list.List                  // connections (net.Conn) whose request is incomplete, oldest first
	closed          bool
}

func newEvictingListener(inner net.Listener, maxConns int) *evictingListener {
	l := &evictingListener{Listener: inner, maxConns: maxConns, open: make(map[net.Conn]*list.Element)}
	l.slotFreed.L = &l.mu
	return l
}

func (l *evictingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.open) >= l.maxConns && !l.closed {
		if !l.evictOldest() {
			l.slotFreed.Wait()
		}
	}
	l.open[conn] = l.incompleteConns.PushBack(conn)
	return conn, nil
}

// evictOldest closes the oldest connection whose request is incomplete. It returns false if there is none. The caller
// holds l.mu.
func (l *evictingListener) evictOldest() bool {
	oldest := l.incompleteConns.Front()
	if oldest == nil {
		return false
	}
	conn := oldest.Value.(net.Conn)
	l.release(conn)
	_ = conn.Close()
	return true
}

func (l *evictingListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.slotFreed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// handleStateChange is the ConnState callback of the HTTP server. It removes a connection from incompleteConns once
// its request is complete, and releases a closed connection.
func (l *evictingListener) handleStateChange(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		if element := l.open[conn]; element != nil {
			l.incompleteConns.Remove(element)
			l.open[conn] = nil
		}
	case http.StateClosed, http.StateHijacked:
		l.release(conn)
	}
}

// release removes conn from the open connections. The caller holds l.mu.
func (l *evictingListener) release(conn net.Conn) {
	element, ok := l.open[conn]
	if !ok {
		return
	}
	if element != nil {
		l.incompleteConns.Remove(element)
	}
	delete(l.open, conn)
	l.slotFreed.Signal()
}
