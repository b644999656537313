package msgpack

import "time"

// incomingMessage is the message that a client is sending. The zero value means that no part of it has been read.
type incomingMessage struct {
	begunAt      time.Time // time at which the first part was read; zero: no part has been read
	timeoutStart time.Time // start of MessageTimeout; zero: the reader has not waited for the rest yet
}

// endMessage records that the current message is complete. partial is true if a part of the next message has been
// read. The timeout of the next message starts when the reader waits for its rest. Until then, the server may not read
// because the client has the maximum number of open calls.
func (c *conn) endMessage(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incoming = incomingMessage{}
	if partial {
		c.incoming.begunAt = time.Now()
	}
}

// setReadDeadline sets the deadline of the next read. partial is true if only part of a message has been read.
func (c *conn) setReadDeadline(partial bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.endReadLag(now)
	c.incoming.update(partial, now)
	if c.writeClosed {
		return
	}
	deadline := c.messageDeadline()
	if !partial && c.isIdle() {
		deadline = c.idleDeadline()
	}
	_ = c.reader.SetReadDeadline(deadline) // fails only after a close
}

// update records that the reader waits for more bytes. partial is true if a part of the message has been read.
func (m *incomingMessage) update(partial bool, now time.Time) {
	if !partial {
		*m = incomingMessage{}
		return
	}
	if m.begunAt.IsZero() {
		m.begunAt = now
	}
	m.beginTimeout(now)
}

// beginTimeout starts the timeout of the message, unless it has started already.
func (m *incomingMessage) beginTimeout(now time.Time) {
	if m.timeoutStart.IsZero() {
		m.timeoutStart = now
	}
}

// messageDeadline returns the time by which the current message must be complete, or zero if its timeout has not
// started. c.mu is held.
func (c *conn) messageDeadline() time.Time {
	if c.incoming.timeoutStart.IsZero() {
		return time.Time{}
	}
	return c.incoming.timeoutStart.Add(c.server.config.MessageTimeout)
}

// messageTimedOut reports whether the timeout of the current message has expired. If no part of a message has arrived,
// it cancels the timeout instead: with TLS, the bytes for which it was started may not be data. c.mu is held.
func (c *conn) messageTimedOut() bool {
	deadline := c.messageDeadline()
	if deadline.IsZero() || time.Now().Before(deadline) {
		return false
	}
	if c.incoming.begunAt.IsZero() && !c.hasUnread() {
		c.incoming = incomingMessage{}
		return false
	}
	return true
}
