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
	// overflowConns is the maximum number of connections accepted beyond MaxConns. Their calls are answered with a
	// rejection.
	overflowConns = 4
	// maxEndingConns is the maximum number of connections without a slot: overflow connections, and connections that the
	// server has closed and whose goroutines have not returned yet.
	maxEndingConns = 2 * overflowConns
	// firstCallGrace protects connections from eviction. It applies after the accept until the first call arrives, and
	// after each read in the middle of a message.
	firstCallGrace = 100 * time.Millisecond
	// slotRecheckInterval is the minimum interval between checks for a slot.
	slotRecheckInterval = 5 * time.Millisecond
	// defaultQueueTimeout is how long a connection waits for a slot if the engine does not have the method
	// QueueTimeout.
	defaultQueueTimeout = 300 * time.Millisecond
)

// admit starts serving nc, a connection that arrived at earliest or later. If all slots are in use, admit blocks
// until a connection ends or can be evicted, or until an overflow connection is allowed. It returns false if the
// server is closed before that.
func (s *Server) admit(nc net.Conn, earliest time.Time) bool {
	conn := newConn(s, nc, earliest)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingForSlot.Add(1) // set before evict searches, so that connIdle wakes awaitSlot later
	s.awaitSlot(conn, earliest)
	s.waitingForSlot.Add(-1)
	if s.closed {
		return false
	}
	conn.admitted()
	s.conns[conn] = true
	s.active++
	s.limitLingering()
	s.serving.Go(conn.serve)
	return true
}

// awaitSlot blocks until there is a slot for conn. After the engine's queue timeout, up to overflowConns connections
// are accepted without a slot. The server rejects their calls, so that clients in the accept queue get an answer
// before their deadlines.
func (s *Server) awaitSlot(conn *conn, earliest time.Time) {
	for !s.draining && !s.closed {
		if s.active >= s.config.MaxConns+maxEndingConns { // the end of a connection may wait for s.mu
			s.slotFreed.Wait()
			continue
		}
		if len(s.conns) < s.config.MaxConns {
			return
		}
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

// waitingSince returns the time since which the client has been waiting for the server. The connection arrived at
// earliest or later.
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

// rejectsOverflow reports whether the calls of conn are rejected because conn is an overflow connection. If a slot is
// free, conn stops being an overflow connection.
func (s *Server) rejectsOverflow(conn *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn.overflow = conn.overflow && len(s.conns) > s.config.MaxConns
	return conn.overflow
}

// overloadedReply returns the reply that rejects a call because the server has no slot for its connection.
func (s *Server) overloadedReply(class string) msgpackrpc.Reply {
	answer := router.Answer{Outcome: router.Overloaded}
	if engine, ok := s.engine.(interface {
		RejectOverloaded(class string) router.Answer
	}); ok {
		answer = engine.RejectOverloaded(class)
	}
	return ReplyFromAnswer(answer, nil)
}

// recheckSlots makes awaitSlot check its conditions again.
func (s *Server) recheckSlots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slotFreed.Broadcast()
}

// connIdle is called when a connection has become idle. A waiting connection may then evict it.
func (s *Server) connIdle() {
	if s.waitingForSlot.Load() > 0 {
		s.recheckSlots()
	}
}

// evict frees the slot of the connection that has been idle for longest. It selects a connection with unread bytes
// only if every idle connection has unread bytes, and if the rest of a message has not arrived for firstCallGrace. It
// returns false if no connection may be evicted. s.mu is held.
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

// longestIdle returns the evictable connection that has been idle for longest, or nil if there is none. It considers
// connections with unread bytes only if includeUnread is set. s.mu is held.
func (s *Server) longestIdle(includeUnread bool) *conn {
	var oldest *conn
	var oldestIdleSince time.Time
	for conn := range s.conns {
		idleSince, ok := conn.evictableSince()
		ok = ok && (!includeUnread || time.Since(idleSince) >= firstCallGrace)
		if ok && (oldest == nil || idleSince.Before(oldestIdleSince)) && (includeUnread || !conn.hasUnread()) {
			oldest, oldestIdleSince = conn, idleSince
		}
	}
	return oldest
}

// linger frees the slot, if any, of a connection that the server still reads after closing the write side.
func (s *Server) linger(conn *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[conn] {
		s.freeSlot(conn)
		s.slotFreed.Broadcast()
	}
}

// freeSlot moves conn, which the server has ended, to the lingering connections. s.mu is held.
func (s *Server) freeSlot(conn *conn) {
	delete(s.conns, conn)
	s.lingering = append(s.lingering, conn)
	s.limitLingering()
}

// limitLingering closes the oldest lingering connections until there are at most MaxConns+overflowConns connections
// in total. s.mu is held.
func (s *Server) limitLingering() {
	for len(s.lingering) > 0 && len(s.conns)+len(s.lingering) > s.config.MaxConns+overflowConns {
		s.lingering[0].closeLingering()
		s.lingering = slices.Delete(s.lingering, 0, 1)
	}
}

// release removes a connection that has ended, and wakes awaitSlot.
func (s *Server) release(conn *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.active--
	if i := slices.Index(s.lingering, conn); i >= 0 {
		s.lingering = slices.Delete(s.lingering, i, i+1)
	}
	s.slotFreed.Broadcast()
}
