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
	case !c.messageStartedAt.IsZero():
		return false
	case c.draining || !c.idle(): // the writer ends the connection, or sets the deadline
		_ = c.reader.SetReadDeadline(time.Time{})
	case c.hasUnread(): // since the read's last look; with TLS it may be a part of a record
		_ = c.reader.SetReadDeadline(time.Now().Add(c.server.config.MessageTimeout))
	default:
		c.closeWriteSide(endedIdle)
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

// closeLingering closes a connection whose write side is closed, before the client has closed its side.
func (c *conn) closeLingering() {
	c.mu.Lock()
	c.closedOverUnread = c.hasUnread()
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
	if cause == endedIdle {
		return &s.IdleEnds
	}
	return &s.DrainEnds
}
