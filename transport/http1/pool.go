package http1

import (
	"slices"
	"time"

	"cobaltward/transport/servers"
)

// server is the transport's state for one process of a listed server. The field State holds the connection pool.
type server = servers.Server[serverPool]

// serverPool is the connection pool of one server.
type serverPool struct {
	idle        []*conn   // idle connections, sorted by ascending lastUsed
	lastRequest time.Time // time of the last request for a connection
	connecting  int       // number of preconnects in progress
}

// closeOldest closes the n connections to s that have been idle the longest. The caller holds the mutex.
func (t *Transport) closeOldest(s *server, n int) {
	for _, c := range s.State.idle[:n] {
		_ = c.Close()
	}
	s.State.idle = append([]*conn(nil), s.State.idle[n:]...)
	t.openConns -= n
}

// closeExpired closes idle connections that exceed the idle timeout, that their server has closed, or that are no
// longer trusted.
func (t *Transport) closeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers.All() {
		var remaining []*conn
		for _, c := range s.State.idle {
			if now.Sub(c.lastUsed) < t.idleTimeout && c.isTrusted(now) && c.isIdle() {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
			t.openConns--
		}
		s.State.idle = remaining
	}
}

// reserve returns an idle connection to the server with the given ID. If there is none, it returns a nil connection
// and increments openConns. The caller must then open a connection or call unreserve. forRequest is true if a request
// needs the connection.
func (t *Transport) reserve(id string, forRequest bool) (*server, *conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	srv := t.servers.Get(id)
	if srv == nil {
		return nil, nil, errUnknownServer
	}
	now := time.Now()
	if forRequest {
		srv.State.lastRequest = now
	}
	if c := t.takeIdle(srv, now); c != nil {
		return srv, c, nil
	}
	if t.openConns >= t.maxConns && !t.closeOldestOfAll() {
		return nil, nil, errNoConnection
	}
	t.openConns++
	return srv, nil, nil
}

// unreserve undoes the increment of openConns by reserve. It is called if no connection was opened.
func (t *Transport) unreserve() {
	t.mu.Lock()
	t.openConns--
	t.mu.Unlock()
}

// takeIdle returns the most recently used idle connection to s that can be reused, and removes it from the pool. It
// returns nil if there is none. The caller holds the mutex.
func (t *Transport) takeIdle(s *server, now time.Time) *conn {
	for i := len(s.State.idle) - 1; i >= 0; i-- {
		c := s.State.idle[i]
		if !c.canReuse(now) {
			continue
		}
		last := len(s.State.idle) - 1
		copy(s.State.idle[i:], s.State.idle[i+1:])
		s.State.idle[last], s.State.idle = nil, s.State.idle[:last]
		if now.Sub(c.lastUsed) < t.idleTimeout && c.isTrusted(now) && c.isIdle() {
			return c
		}
		_ = c.Close()
		t.openConns--
	}
	return nil
}

// closeOldestOfAll closes the connection that has been idle the longest among all servers. It returns false if no
// connection is idle. The caller holds the mutex.
func (t *Transport) closeOldestOfAll() bool {
	var oldest *server
	for _, s := range t.servers.All() {
		if len(s.State.idle) == 0 {
			continue
		}
		if oldest == nil || s.State.idle[0].lastUsed.Before(oldest.State.idle[0].lastUsed) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	t.closeOldest(oldest, 1)
	return true
}

// release returns connection to the pool of the server with the given ID if reusable is true and that server was not
// replaced. In all other cases, release closes connection. The pool is sorted by lastUsed. An attempt that wrote
// nothing does not change lastUsed, because for the server the connection has been idle all the time.
func (t *Transport) release(connection *conn, id string, reusable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if reusable && t.servers.Get(id) == connection.server {
		idle := connection.server.State.idle
		at, _ := slices.BinarySearchFunc(idle, connection.lastUsed, func(other *conn, lastUsed time.Time) int {
			if other.lastUsed.After(lastUsed) {
				return 1
			}
			return -1
		})
		connection.server.State.idle = slices.Insert(idle, at, connection)
		return
	}
	_ = connection.Close()
	t.openConns--
}
