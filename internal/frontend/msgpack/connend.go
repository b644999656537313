package msgpack

import (
	"syscall"
	"time"

	"cobaltward/internal/sockets"
)

// endCause is the reason why the server closed a connection on which the client may still have sent calls.
type endCause uint8

const (
	notEnded endCause = iota
	endedByIdleTimeout
	endedByDrain
	endedByEviction
)

// handleReadDeadline handles an expired read deadline, and reports whether the reader continues. It continues after
// the idle timeout, to receive bytes that are on their way, and if the deadline no longer applies.
func (c *conn) handleReadDeadline() bool {
	keepReading := c.endIfIdle()
	if c.hasEnded() {
		c.server.linger(c)
		c.writeSignal.Notify() // the writer returns
	}
	return keepReading
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed
}

// endIfIdle closes the write side if the connection is idle and no bytes have arrived. It holds c.mu from the check
// of the socket to the close, so that no other goroutine acts in between. It reports whether the reader continues.
func (c *conn) endIfIdle() (keepReading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed:
		return time.Now().Before(c.lingerUntil)
	case c.messageTimedOut():
		return false
	case c.draining || !c.isIdle(): // the writer closes the connection or sets the next deadline
		_ = c.reader.SetReadDeadline(time.Time{})
	case c.hasUnread(): // bytes arrived since the read failed; with TLS they may be part of a record
		_ = c.reader.SetReadDeadline(c.messageDeadline())
	case c.evicted: // a message that the client has not completed is lost
		c.closeWriteSide(endedByEviction)
	default:
		c.closeWriteSide(endedByIdleTimeout)
	}
	return true
}

// idleDeadline returns the read deadline of a connection that becomes idle now. c.mu is held.
func (c *conn) idleDeadline() time.Time {
	if c.evicted {
		return time.Now()
	}
	return time.Now().Add(c.server.config.IdleTimeout)
}

// messageDeadline returns the time by which the current message must be complete. If none has begun, it assumes that
// one begins now. c.mu is held.
func (c *conn) messageDeadline() time.Time {
	startedAt := c.messageStartedAt
	if startedAt.IsZero() {
		startedAt = time.Now()
	}
	return startedAt.Add(c.server.config.MessageTimeout)
}

// messageTimedOut reports whether an expired read deadline was that of a message. c.mu is held.
func (c *conn) messageTimedOut() bool {
	return !c.messageStartedAt.IsZero() && (!c.evicted || !time.Now().Before(c.messageDeadline()))
}

// evict makes the reader close the connection as soon as it is idle; a call that has arrived already is answered
// first. It returns false if the write side is closed already.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return false
	}
	c.evicted, c.endCause = true, endedByEviction
	handshake, ok := c.nc.(interface{ Handshaking() bool })
	switch {
	case ok && handshake.Handshaking(): // no call can have arrived before the handshake is done
		c.closeSocket()
	case c.hasUnread():
		_ = c.reader.SetReadDeadline(c.messageDeadline())
	default:
		_ = c.reader.SetReadDeadline(time.Now())
	}
	return true
}

// hasUnread reports whether the socket has received bytes that have not been read.
func (c *conn) hasUnread() bool {
	if tcp := tcpConn(c.nc); tcp != nil {
		return sockets.Unread(tcp) > 0
	}
	socket, ok := c.nc.(syscall.Conn) // a Unix socket
	return ok && sockets.Unread(socket) > 0
}

// closeWriteSide closes the write side, and gives the client lingerTimeout to close its own. All answers must have
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

// closeLingering closes a connection that the server has ended or evicted, without waiting for the client to close
// its side.
func (c *conn) closeLingering() {
	c.mu.Lock()
	c.writeClosed, c.closedWithUnread = true, c.hasUnread()
	c.mu.Unlock()
	c.closeSocket()
}

// countLostCall counts the connection, at most once, because a call or part of one arrived that the server cannot
// answer after it has ended the connection.
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

// endCounter returns the counter of connections that lost a call after they were ended for the given cause.
func (s *Stats) endCounter(cause endCause) *uint64 {
	switch cause {
	case endedByIdleTimeout:
		return &s.IdleEnds
	case endedByEviction:
		return &s.EvictionEnds
	}
	return &s.DrainEnds
}
