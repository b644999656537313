package node

import (
	"context"
	"errors"
	"time"
)

// drainFirstRequestGrace is the maximum age of connections without any request that a drain keeps open. Their first
// requests may be in transit. The node closes older connections in an orderly way, without a reset.
const drainFirstRequestGrace = 2500 * time.Millisecond

// drainRecheckInterval is the interval between checks for connections older than drainFirstRequestGrace.
const drainRecheckInterval = 100 * time.Millisecond

// acceptQueueDrainTimeout is the maximum time for which drainAcceptQueue waits for another connection before it closes
// the listener.
const acceptQueueDrainTimeout = 20 * time.Millisecond

// drainAcceptQueue waits until the connections in the accept queue are accepted, or ctx ends. Then it closes the
// listener. Connections left in the queue would be reset, and their requests lost. The queued connections are
// accepted even beyond maxConns.
func (l *clientListener) drainAcceptQueue(ctx context.Context) {
	if !l.markClosed() {
		return
	}
	if l.extendAcceptDeadline() == nil {
		select {
		case <-l.queueDrained:
		case <-ctx.Done(): // necessary if no Accept is running
		}
	}
	_ = l.Listener.Close()
}

// extendAcceptDeadline sets the deadline of Accept to acceptQueueDrainTimeout from now.
func (l *clientListener) extendAcceptDeadline() error {
	listener, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return listener.SetDeadline(time.Now().Add(acceptQueueDrainTimeout))
}

// closeIdle closes the node's side of all idle connections, and of connections that become idle later. A connection
// with unread bytes has a request and is not idle. Requests that arrive after the node's side is closed are counted.
// A connection ends when its client has closed its side, or after closeHandshakeTimeout.
func (l *clientListener) closeIdle() {
	l.mu.Lock()
	l.shuttingDown = true
	l.closeIdleAndUnlock()
}

// recheckIdle closes the idle connections that have become older than drainFirstRequestGrace since closeIdle. It does
// nothing after cancelCloseIdle.
func (l *clientListener) recheckIdle() {
	l.mu.Lock()
	l.recheckScheduled = false
	if !l.shuttingDown {
		l.mu.Unlock()
		return
	}
	l.closeIdleAndUnlock()
}

// closeIdleAndUnlock closes the idle connections. The caller holds the mutex. closeIdleAndUnlock releases the mutex
// before it closes the connections.
func (l *clientListener) closeIdleAndUnlock() {
	idle := l.halfCloseIdleLocked()
	l.mu.Unlock()
	for _, c := range idle {
		c.closeWriteSide()
	}
}

// cancelCloseIdle cancels closeIdle: connections that become idle stay open.
func (l *clientListener) cancelCloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shuttingDown = false
}

// halfCloseIdleLocked marks the idle connections as half closed and returns them. Two kinds of connections are left to
// recheckIdle: connections in a TLS handshake, and connections without any request that are younger than
// drainFirstRequestGrace.
func (l *clientListener) halfCloseIdleLocked() (idle []*clientConn) {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*clientConn)
		switch {
		case c.halfClosed || c.hasUnread():
		case c.isHandshaking(), c.awaitsFirstRequestLocked(drainFirstRequestGrace):
			if !l.recheckScheduled {
				l.recheckScheduled = true
				time.AfterFunc(drainRecheckInterval, l.recheckIdle)
			}
		default:
			idle = append(idle, c)
			c.halfClosed, c.endCause = true, endDrain
			c.setFirstPendingLocked(false)
		}
	}
	l.closedIdle += uint64(len(idle))
	return idle
}
