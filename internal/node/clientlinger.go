package node

import (
	linked "container/list"
	"time"

	"cobaltward/internal/sockets"
)

// maxEvictedConns is how many evicted connections may be open in addition to overflowConns until their readers close
// them. Below that number, accepting does not wait for the close.
const maxEvictedConns = 6

// lingeringConns are connections that the node ends before their clients do. A close while bytes of a request are
// unread, or on their way, would reset the connection, and its client could not tell whether the request was lost.
// Instead it lingers: the node's side is closed, and what arrives is discarded until the client has closed its own
// side, or closeHandshakeTimeout has passed. Lingering connections use only descriptors that clientListener does not
// need.
type lingeringConns struct {
	conns linked.List // of *clientConn, longest lingering first
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

// closeLingering closes all lingering connections at once.
func (l *clientListener) closeLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.lingering.len() > 0 {
		l.closeOldestLingeringLocked()
	}
}

// trimLingeringLocked closes lingering connections, longest lingering first, while the open and lingering ones together
// exceed maxConns by more than excess; the mutex is released meanwhile.
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

// Close closes the connection. It lets the connection linger if the node ends it before its client, or if bytes are
// unread: a close would reset it, and the client would lose an answer that it has not read.
func (c *clientConn) Close() error {
	if !c.beginLinger() {
		return c.stream.Close()
	}
	go c.linger() // ends after closeHandshakeTimeout at the latest
	return nil
}

// beginLinger reports whether the connection must linger, and adds it to the lingering ones then. In either case it no
// longer counts as open.
func (c *clientConn) beginLinger() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.closed {
		c.untrackLocked()
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
	_ = c.stream.CloseWrite() // fails if the client closed first
	c.deadline.setFinal(time.Now().Add(closeHandshakeTimeout))
	var buf [discardBufferSize]byte
	for discarded := 0; discarded < maxDiscarded; {
		n, err := c.stream.Read(buf[:]) // returns no TLS alerts: a client may answer the node's alert with its own
		if n > 0 {
			c.recordBytesAfterEnd()
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

// recordBytesAfterEnd calls recordBytesAfterEndLocked with the mutex held.
func (c *clientConn) recordBytesAfterEnd() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.recordBytesAfterEndLocked()
}

const (
	discardBufferSize = 4 << 10   // buffer size of a read whose bytes are discarded
	maxDiscarded      = 512 << 10 // number of bytes after which a lingering connection is closed
)
