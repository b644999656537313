package node

import (
	linked "container/list"
	"time"

	"cobaltward/internal/sockets"
)

// maxEvictedConns is the maximum number of evicted connections that may be open in addition to overflowConns. Below
// that maximum, Accept does not wait until the readers close evicted connections.
const maxEvictedConns = 6

// lingeringConns holds the connections that the node ends before their clients do. If the node closed such a
// connection while bytes of a request are unread or in transit, the connection would be reset. The client could not
// tell whether the request was lost. A lingering connection closes the node's side first and discards what arrives.
// It closes once the client has closed its own side, or after closeHandshakeTimeout. Lingering connections use only
// descriptors that clientListener does not need.
type lingeringConns struct {
	conns linked.List // elements are *clientConn, longest lingering first
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

// takeOldest removes and returns the connection that has lingered longest.
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

// trimLingeringLocked closes lingering connections, longest lingering first. It stops when open and lingering
// connections together exceed maxConns by at most excess. It releases the mutex while it closes a connection.
func (l *clientListener) trimLingeringLocked(excess int) {
	for l.lingering.len() > 0 && l.open+l.lingering.len() > l.maxConns+excess {
		l.closeOldestLingeringLocked()
	}
}

// closeOldestLingeringLocked closes the connection that has lingered longest. It releases the mutex while it closes
// the connection.
func (l *clientListener) closeOldestLingeringLocked() {
	c := l.lingering.takeOldest()
	l.mu.Unlock() // Close waits for a Read in progress, which takes the mutex
	_ = c.stream.Close()
	l.mu.Lock()
}

// Close closes the connection. The connection lingers if the node ends it before its client or if bytes are unread.
// Without lingering, closing would reset the connection, and the client could lose an answer that it has not read.
func (c *clientConn) Close() error {
	if !c.beginLinger() {
		return c.stream.Close()
	}
	go c.linger() // ends after at most closeHandshakeTimeout
	return nil
}

// beginLinger reports whether the connection must begin to linger. If so, it adds the connection to the lingering
// connections. In either case the connection no longer counts as open.
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
		n, err := c.stream.Read(buf[:]) // returns no TLS alerts; a client may send an alert in answer to the node's alert
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
	discardBufferSize = 4 << 10   // size of the buffer for discarded bytes
	maxDiscarded      = 512 << 10 // maximum number of bytes discarded before a lingering connection closes
)
