package node

import (
	"context"
	"errors"
	"time"
)

// drainFirstRequestGrace is how long after its beginning a connection without any request is left open by a drain: the
// first request may be on its way. A client that needs longer sees an orderly close.
const drainFirstRequestGrace = 2500 * time.Millisecond

// drainRecheckInterval is the time between looks for connections that have been open for drainFirstRequestGrace.
const drainRecheckInterval = 100 * time.Millisecond

// acceptQueueDrainTimeout is how long a listener that closes waits for another connection.
const acceptQueueDrainTimeout = 20 * time.Millisecond

// drainAcceptQueue accepts the connections in the accept queue and closes the listener, which would reset them with the
// requests that they have sent. They are accepted beyond maxConns. It ends once the queue is empty, or with ctx.
func (l *clientListener) drainAcceptQueue(ctx context.Context) {
	if !l.markClosed() {
		return
	}
	if l.extendAcceptDeadline() == nil {
		select {
		case <-l.queueDrained:
		case <-ctx.Done(): // no Accept may be running
		}
	}
	_ = l.Listener.Close()
}

// extendAcceptDeadline has Accept wait for acceptQueueDrainTimeout from now.
func (l *clientListener) extendAcceptDeadline() error {
	listener, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return listener.SetDeadline(time.Now().Add(acceptQueueDrainTimeout))
}

// closeIdle closes the node's side of the idle connections, and from now on of those that become idle. A connection
// with bytes to read has a request and is not idle; requests that arrive behind the close are counted. The client's
// own close ends the connection.
func (l *clientListener) closeIdle() {
	l.mu.Lock()
	l.shuttingDown = true
	l.closeIdleAndUnlock()
}

// recheckIdle closes the connections that were within drainFirstRequestGrace, unless cancelCloseIdle was called
// meanwhile.
func (l *clientListener) recheckIdle() {
	l.mu.Lock()
	l.recheckScheduled = false
	if !l.shuttingDown {
		l.mu.Unlock()
		return
	}
	l.closeIdleAndUnlock()
}

// closeIdleAndUnlock expects the mutex held, and releases it before it closes anything.
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

// halfCloseIdleLocked marks the idle connections as half closed and returns them. Those without a request within
// drainFirstRequestGrace are left to recheckIdle.
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
