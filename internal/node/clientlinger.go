package node

import (
	linked "container/list"
	"time"

	"cobaltward/internal/sockets"
)

// endingConns is how many evicted connections may exist beyond overflowConns until their readers have noticed.
// Accepting waits for none of them below that.
const endingConns = 6

// lingeringConns are connections that the node ends ahead of their clients: a close while bytes of a request are
// unread, or on their way, would reset them, and their clients could not tell whether the request was lost. They linger
// instead: the node's side is closed, and what arrives is discarded until the client has closed its own side, or
// closeHandshakeTimeout has passed. They hold descriptors that clientListener has to spare, and no more of them.
type lingeringConns struct {
	conns linked.List // of *clientConn, oldest first
}

func (l *lingeringConns) add(c *clientConn) {
	if c.lingerElement == nil {
		c.lingerElement = l.conns.PushBack(c)
	}
}

func (l *lingeringConns) remove(c *clientConn) {
	if c.lingerElement != nil {
		l.conns.Remove(c.lingerElement)
		c.lingerElement = nil
	}
}

func (l *lingeringConns) len() int { return l.conns.Len() }

// takeOldest removes the connection that has lingered for longest, and returns it.
func (l *lingeringConns) takeOldest() *clientConn {
	c := l.conns.Front().Value.(*clientConn)
	l.remove(c)
	return c
}

// closeLingering closes all connections that linger.
func (l *clientListener) closeLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.lingering.len() > 0 {
		l.closeOldestLingeringLocked()
	}
}

// trimLingeringLocked closes the connections that have lingered for longest while there are more than maxConns and
// excess connections; the mutex is released meanwhile.
func (l *clientListener) trimLingeringLocked(excess int) {
	for l.lingering.len() > 0 && l.open+l.lingering.len() > l.maxConns+excess {
		l.closeOldestLingeringLocked()
	}
}

// closeOldestLingeringLocked closes the connection that has lingered for longest; the mutex is released meanwhile.
func (l *clientListener) closeOldestLingeringLocked() {
	c := l.lingering.takeOldest()
	l.mu.Unlock() // Close waits for a Read in progress, which takes the mutex
	_ = c.stream.Close()
	l.mu.Lock()
}

// Close closes the connection. One that the node ends ahead of its client lingers, and one with unread bytes: a close
// would reset it, and take an answer with it that the client has not read.
func (c *clientConn) Close() error {
	if !c.beginLinger() {
		return c.stream.Close()
	}
	go c.linger() // ends after closeHandshakeTimeout at the latest
	return nil
}

// beginLinger reports whether the connection is to linger now. It is no longer one of those that are open, and may be
// evicted, in either case.
func (c *clientConn) beginLinger() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		c.forgetLocked()
		l.slotFreed.Signal()
	}
	if c.lingers || !c.mustLinger && sockets.Unread(c.TCPConn) == 0 {
		return false
	}
	c.lingers = true
	l.lingering.add(c)
	l.trimLingeringLocked(overflowConns)
	return true
}

// linger closes the node's side, discards what arrives, and closes the connection.
func (c *clientConn) linger() {
	_ = c.stream.CloseWrite() // fails where the client was first
	c.deadline.setFinal(time.Now().Add(closeHandshakeTimeout))
	var buf [discardBufferSize]byte
	for discarded := 0; discarded < maxDiscarded; {
		n, err := c.stream.Read(buf[:]) // of TLS no alerts: a client may answer the node's with its own
		if n > 0 {
			c.noteBytesAfterEnd()
		}
		if err != nil {
			break
		}
		discarded += n
	}
	_ = c.stream.Close()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.lingering.remove(c)
}

// noteBytesAfterEnd is noteBytesAfterEndLocked.
func (c *clientConn) noteBytesAfterEnd() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.noteBytesAfterEndLocked()
}

const (
	discardBufferSize = 4 << 10   // of a read of bytes that are discarded
	maxDiscarded      = 512 << 10 // bytes that are discarded of a connection
)
