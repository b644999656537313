package operations

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// evictingListener limits the connections that are open at once. If all are in use, a new connection replaces the one
// that has waited longest without sending a complete call, so that clients that never complete a call keep nobody
// from calling. If all calls are complete, Accept waits until one is answered.
type evictingListener struct {
	net.Listener
	maxConns int

	mu         sync.Mutex
	slotFreed  sync.Cond
	open       map[net.Conn]*list.Element // element of incomplete; nil once the call is complete
	incomplete list.List                  // of net.Conn whose call is incomplete, oldest first
	closed     bool
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
	l.open[conn] = l.incomplete.PushBack(conn)
	return conn, nil
}

// evictOldest closes the oldest connection without a complete call, and reports whether there was one. The caller
// holds the mutex.
func (l *evictingListener) evictOldest() bool {
	oldest := l.incomplete.Front()
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

// handleStateChange is the ConnState hook of the HTTP server.
func (l *evictingListener) handleStateChange(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		if element := l.open[conn]; element != nil {
			l.incomplete.Remove(element)
			l.open[conn] = nil
		}
	case http.StateClosed, http.StateHijacked:
		l.release(conn)
	}
}

// release frees the slot of a connection. The caller holds the mutex.
func (l *evictingListener) release(conn net.Conn) {
	element, ok := l.open[conn]
	if !ok {
		return
	}
	if element != nil {
		l.incomplete.Remove(element)
	}
	delete(l.open, conn)
	l.slotFreed.Signal()
}
