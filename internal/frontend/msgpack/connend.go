package msgpack

import (
	"syscall"
	"time"

	"cobaltward/internal/sockets"
)

// endCause is why the server ends a connection on which a client may still call.
type endCause uint8

const (
	notEnded endCause = iota
	endedIdle
	endedByDrain
	endedByEviction
)

// passDeadline is called by the reader at a read deadline. It reports whether the reader reads on: it does where the
// deadline ended the idle time, for what is on its way, and where the deadline no longer holds.
func (c *conn) passDeadline() bool {
	readsOn := c.endIfIdle()
	if c.hasEnded() {
		c.server.linger(c)
		c.writeSignal.Notify() // the writer ends
	}
	return readsOn
}

func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed
}

// endIfIdle closes the write side if nothing has arrived by now: the look at the socket and the close are one step for
// all that read or write. It reports whether the reader reads on.
func (c *conn) endIfIdle() (readsOn bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed:
		return time.Now().Before(c.lingerUntil)
	case c.messageTimedOut():
		return false
	case c.draining || !c.idle(): // the writer ends the connection, or sets the deadline
		_ = c.reader.SetReadDeadline(time.Time{})
	case c.hasUnread(): // since the read's last look; with TLS it may be a part of a record
		_ = c.reader.SetReadDeadline(c.messageDeadline())
	case c.evicted: // a message within which the client has paused is lost
		c.closeWriteSide(endedByEviction)
	default:
		c.closeWriteSide(endedIdle)
	}
	return true
}

// idleDeadline is the end of an idle time that begins now. c.mu is held.
func (c *conn) idleDeadline() time.Time {
	if c.evicted {
		return time.Now()
	}
	return time.Now().Add(c.server.config.IdleTimeout)
}

// messageDeadline is when the message must be complete that is being read, or begins now. c.mu is held.
func (c *conn) messageDeadline() time.Time {
	startedAt := c.messageStartedAt
	if startedAt.IsZero() {
		startedAt = time.Now()
	}
	return startedAt.Add(c.server.config.MessageTimeout)
}

// messageTimedOut reports whether a read deadline was that of a message. c.mu is held.
func (c *conn) messageTimedOut() bool {
	return !c.messageStartedAt.IsZero() && (!c.evicted || !time.Now().Before(c.messageDeadline()))
}

// evict has the reader end the connection as soon as it is idle: a call that has arrived is answered before. It returns
// false if the connection has ended already.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return false
	}
	c.evicted, c.endCause = true, endedByEviction
	handshake, ok := c.nc.(interface{ Handshaking() bool })
	switch {
	case ok && handshake.Handshaking(): // no call can have arrived
		c.closeSocket()
	case c.hasUnread():
		_ = c.reader.SetReadDeadline(c.messageDeadline())
	default:
		_ = c.reader.SetReadDeadline(time.Now())
	}
	return true
}

// hasUnread reports whether bytes have arrived that are not read.
func (c *conn) hasUnread() bool {
	if tcp := tcpConn(c.nc); tcp != nil {
		return sockets.Unread(tcp) > 0
	}
	socket, ok := c.nc.(syscall.Conn) // a Unix socket
	return ok && sockets.Unread(socket) > 0
}

// closeWriteSide ends the sending, and gives the client some time to close its side. Nothing may be left to write. c.mu
// is held.
func (c *conn) closeWriteSide(cause endCause) {
	c.writeClosed, c.endCause = true, cause
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.lingerUntil = time.Now().Add(lingerTimeout)
		_ = c.reader.SetReadDeadline(c.lingerUntil)
		return
	}
	c.closeSocket()
}

// closeLingering closes a connection that has ended or is evicted, before the client has closed its side.
func (c *conn) closeLingering() {
	c.mu.Lock()
	c.writeClosed, c.closedOverUnread = true, c.hasUnread()
	c.mu.Unlock()
	c.closeSocket()
}

// countLostCall counts, once, that a call or a part of one came after the server had ended the connection.
func (c *conn) countLostCall() {
	c.mu.Lock()
	counted := c.lossCounted
	c.lossCounted = true
	cause := c.endCause
	c.mu.Unlock()
	if !counted {
		c.server.count(c.server.stats.endCounter(cause))
	}
}

// endCounter returns the counter of connections whose calls met an end by cause.
func (s *Stats) endCounter(cause endCause) *uint64 {
	switch cause {
	case endedIdle:
		return &s.IdleEnds
	case endedByEviction:
		return &s.EvictionEnds
	}
	return &s.DrainEnds
}
