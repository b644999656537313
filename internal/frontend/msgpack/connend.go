package msgpack

import (
	"syscall"
	"time"

	"cobaltward/internal/sockets"
)

// endCause is the reason why the server ended a connection. The client may have sent further calls.
type endCause uint8

const (
	notEnded endCause = iota
	endedByIdleTimeout
	endedByDrain
	endedByEviction
)

// handleReadDeadline handles an expired read deadline, and reports whether the reader continues. The reader continues
// after the idle timeout, because bytes of a call may be in transit. It also continues if the deadline no longer
// applies.
func (c *conn) handleReadDeadline() bool {
	keepReading := c.endIfIdle()
	if c.hasEnded() {
		c.server.linger(c)
		c.writeSignal.Notify() // makes the writer return
	}
	return keepReading
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed
}

// endIfIdle closes the write side if the connection is idle or its drain is complete, and there are no unread bytes. It
// holds c.mu while it checks the socket and closes the write side, so no other goroutine can change the connection
// between the two steps. endIfIdle returns whether the reader continues.
func (c *conn) endIfIdle() (keepReading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed:
		return time.Now().Before(c.lingerUntil)
	case c.messageTimedOut():
		return false
	case c.isDrained():
		c.closeWriteSide(endedByDrain)
	case c.draining || !c.isIdle() || !c.incoming.begunAt.IsZero() && !c.evicted: // the deadline no longer applies
		_ = c.reader.SetReadDeadline(c.messageDeadline())
	case c.hasUnread():
		c.awaitUnread()
	case c.evicted: // an incomplete message is lost
		c.closeWriteSide(endedByEviction)
	default:
		c.closeWriteSide(endedByIdleTimeout)
	}
	return true
}

// idleDeadline returns the read deadline for a connection that becomes idle now. c.mu is held.
func (c *conn) idleDeadline() time.Time {
	if c.evicted {
		return time.Now()
	}
	return time.Now().Add(c.server.config.IdleTimeout)
}

// awaitUnread starts the timeout of a message after hasUnread has found bytes of it. c.mu is held.
func (c *conn) awaitUnread() {
	c.incoming.beginTimeout(time.Now())
	_ = c.reader.SetReadDeadline(c.messageDeadline())
}

// evict makes the reader close the connection once it is idle. A call that has already arrived is answered first.
// evict returns false if the write side is already closed. The mutex of the server is held.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return false
	}
	c.evicted, c.endCause = true, endedByEviction
	switch {
	case c.isHandshaking(): // no call arrives before the handshake is done
		c.closeSocket()
	case !c.incoming.begunAt.IsZero() && !c.overflow: // the message has begun since the connection was chosen
	case c.hasUnread():
		c.awaitUnread()
	default:
		_ = c.reader.SetReadDeadline(time.Now())
	}
	return true
}

// isHandshaking reports whether the TLS handshake is not done yet.
func (c *conn) isHandshaking() bool {
	handshake, ok := c.nc.(interface{ Handshaking() bool })
	return ok && handshake.Handshaking()
}

// hasUnread reports whether bytes have arrived that Read has not returned. They are in the socket or, with TLS, in
// records that were read.
func (c *conn) hasUnread() bool {
	if c.withinRecord() || c.hasBufferedRecord() {
		return true
	}
	return c.unreadBytes() > 0
}

// unreadBytes returns the number of bytes that can be read from the socket.
func (c *conn) unreadBytes() int {
	if tcp := tcpConn(c.nc); tcp != nil {
		return sockets.Unread(tcp)
	}
	if socket, ok := c.nc.(syscall.Conn); ok { // a Unix socket
		return sockets.Unread(socket)
	}
	return 0
}

// withinRecord reports whether a TLS record has been read in part.
func (c *conn) withinRecord() bool {
	stream, ok := c.nc.(interface{ WithinRecord() bool })
	return ok && stream.WithinRecord()
}

// hasBufferedRecord reports whether a complete TLS record was received that Read has not returned.
func (c *conn) hasBufferedRecord() bool {
	stream, ok := c.nc.(interface{ HasBufferedRecord() bool })
	return ok && stream.HasBufferedRecord()
}

// closeWriteSide closes the write side, and gives the client lingerTimeout to close its side. All answers must have
// been written. c.mu is held.
func (c *conn) closeWriteSide(cause endCause) {
	c.writeClosed, c.endCause = true, cause
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.lingerUntil = time.Now().Add(lingerTimeout)
		_ = c.reader.SetReadDeadline(c.lingerUntil)
		return
	}
	c.closeSocket()
}

// closeLingering closes a lingering connection without waiting for the client to close its side.
func (c *conn) closeLingering() {
	c.mu.Lock()
	c.writeClosed, c.closedWithUnread = true, c.hasUnread()
	c.mu.Unlock()
	c.closeSocket()
}

// countLostCall counts the connection, at most once. It is called when the server has ended the connection and cannot
// answer a call that arrived in whole or in part.
func (c *conn) countLostCall() {
	c.mu.Lock()
	counted := c.lostCallCounted
	c.lostCallCounted = true
	cause := c.endCause
	c.mu.Unlock()
	if !counted {
		c.server.count(c.server.stats.endCounter(cause))
	}
}

// endCounter returns the counter of the connections that lost a call and were ended for the given cause.
func (s *Stats) endCounter(cause endCause) *uint64 {
	switch cause {
	case endedByIdleTimeout:
		return &s.IdleEnds
	case endedByEviction:
		return &s.EvictionEnds
	}
	return &s.DrainEnds
}
