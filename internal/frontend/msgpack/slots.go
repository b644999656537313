package msgpack

import (
	"net"
	"slices"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/msgpackrpc"
	"cobaltward/router"
)

const (
	// overflowConns is how many connections are accepted beyond MaxConns for their calls to be rejected.
	overflowConns = 4
	// firstCallGrace is how long an overflow connection is not evicted before its first call has arrived.
	firstCallGrace = 100 * time.Millisecond
	// slotRecheckInterval is the shortest time between two checks whether an overflow connection may be accepted.
	slotRecheckInterval = 5 * time.Millisecond
	// defaultQueueTimeout is how long connections wait for a slot if the engine has no QueueTimeout.
	defaultQueueTimeout = 300 * time.Millisecond
)

// admit starts serving a connection that did not arrive before earliest. If there are too many, it waits until one of
// them ends or can be evicted. It returns false if the server stops meanwhile.
func (s *Server) admit(nc net.Conn, earliest time.Time) bool {
	conn := newConn(s, nc, earliest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingForSlot.Add(1) // before evict looks for idle connections, so that none becomes idle unnoticed
	s.awaitSlot(conn, earliest)
	s.waitingForSlot.Add(-1)
	if s.closed {
		return false
	}
	s.conns[conn] = true
	s.boundLingering()
	s.serving.Go(conn.serve)
	return true
}

// awaitSlot waits until there is a slot for a connection. After the engine's queue timeout, up to overflowConns
// connections are accepted without a slot, and their calls rejected: clients in the listen backlog get an answer in
// time.
func (s *Server) awaitSlot(conn *conn, earliest time.Time) {
	for len(s.conns) >= s.config.MaxConns && !s.draining && !s.closed {
		if s.evict() {
			continue
		}
		remaining := s.queueTimeout() - time.Since(conn.waitingSince(earliest))
		if remaining <= 0 && len(s.conns) < s.config.MaxConns+overflowConns {
			conn.overflow = true
			return
		}
		recheck := time.AfterFunc(max(remaining, slotRecheckInterval), s.recheckSlots)
		s.slotFreed.Wait()
		recheck.Stop()
	}
}

// waitingSince returns since when the client of an accepted connection has lost time. The connection did not arrive
// before earliest.
func (c *conn) waitingSince(earliest time.Time) time.Time {
	switch nc := c.nc.(type) {
	case *net.TCPConn:
		return sockets.WaitingSince(nc, earliest, msgpackrpc.IsCompleteMessage)
	case interface{ TCP() *net.TCPConn }:
		return sockets.WaitingSince(nc.TCP(), earliest, sockets.IsClientHello)
	}
	return earliest
}

func (s *Server) queueTimeout() time.Duration {
	if engine, ok := s.engine.(interface{ QueueTimeout() time.Duration }); ok {
		return engine.QueueTimeout()
	}
	return defaultQueueTimeout
}

// rejectsOverflow reports whether a connection is an overflow connection, and still has no slot.
func (s *Server) rejectsOverflow(conn *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.overflow = conn.overflow && len(s.conns) > s.config.MaxConns
	return conn.overflow
}

// overloadedReply is the answer to a call on an overflow connection.
func (s *Server) overloadedReply(class string) msgpackrpc.Reply {
	answer := router.Answer{Outcome: router.Overloaded}
	if engine, ok := s.engine.(interface {
		RejectOverloaded(class string) router.Answer
	}); ok {
		answer = engine.RejectOverloaded(class)
	}
	return ReplyFromAnswer(answer, nil)
}

// recheckSlots has awaitSlot check its conditions again.
func (s *Server) recheckSlots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotFreed.Broadcast()
}

// connIdle is called when a connection has become idle, and may be evicted.
func (s *Server) connIdle() {
	if s.waitingForSlot.Load() > 0 {
		s.recheckSlots()
	}
}

// evict frees the slot of the connection that has been idle for longest. One on which something has arrived is evicted
// only if there is no other. It returns false if none is idle. s.mu is held.
func (s *Server) evict() bool {
	oldest := s.longestIdle(false)
	if oldest == nil {
		oldest = s.longestIdle(true)
	}
	if oldest == nil {
		return false
	}
	if oldest.evict() {
		s.stats.Evicted++
	}
	s.freeSlot(oldest)
	return true
}

// longestIdle returns the connection that may be evicted and has been idle for longest; nil if there is none.
// includeUnread includes those on which something has arrived that is not read. s.mu is held.
func (s *Server) longestIdle(includeUnread bool) *conn {
	var oldest *conn
	var oldestIdleSince time.Time
	for conn := range s.conns {
		idleSince, ok := conn.evictableSince()
		if ok && (oldest == nil || idleSince.Before(oldestIdleSince)) && (includeUnread || !conn.hasUnread()) {
			oldest, oldestIdleSince = conn, idleSince
		}
	}
	return oldest
}

// linger frees the slot of a connection that the server has ended, and that is still read, if it has one.
func (s *Server) linger(conn *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[conn] {
		s.freeSlot(conn)
		s.slotFreed.Broadcast()
	}
}

// freeSlot makes a connection that has ended, or is evicted, a lingering one. s.mu is held.
func (s *Server) freeSlot(conn *conn) {
	delete(s.conns, conn)
	s.lingering = append(s.lingering, conn)
	s.boundLingering()
}

// boundLingering closes the lingering connections that ended first, so that there are never more connections than with
// all slots and overflowConns in use. s.mu is held.
func (s *Server) boundLingering() {
	for len(s.lingering) > 0 && len(s.conns)+len(s.lingering) > s.config.MaxConns+overflowConns {
		s.lingering[0].closeLingering()
		s.lingering = slices.Delete(s.lingering, 0, 1)
	}
}

// release frees the slot of a connection that has ended.
func (s *Server) release(conn *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	if i := slices.Index(s.lingering, conn); i >= 0 {
		s.lingering = slices.Delete(s.lingering, i, i+1)
	}
	s.slotFreed.Broadcast()
}
