package node

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"time"

	"cobaltward/internal/sockets"
)

// endCause is why a connection ended ahead of an answer.
type endCause string

const (
	endNone         endCause = ""
	endHeadTimeout  endCause = "the rest of a head did not come in time"
	endClientClosed endCause = "the client closed within a head"
	endIdle         endCause = "it was idle for too long"
	endEvicted      endCause = "its slot was needed"
	endRejected     endCause = "its slot was needed, and a rejection was sent"
	endDrain        endCause = "the node is draining"
)

// unansweredCounts counts connections that ended without an answer after bytes of a request had come, by cause.
type unansweredCounts struct {
	timeouts     uint64 // the rest of its head did not come in time
	clientCloses uint64 // the client closed, or reset, the connection

	// The request came as the node ended the connection.
	idleEnds  uint64 // which had been idle for too long
	evictions uint64 // for another one
	drains    uint64 // for a drain
}

// count counts a connection.
func (u *unansweredCounts) count(cause endCause) {
	switch cause {
	case endHeadTimeout:
		u.timeouts++
	case endClientClosed:
		u.clientCloses++
	case endIdle:
		u.idleEnds++
	case endEvicted:
		u.evictions++
	case endDrain:
		u.drains++
	case endNone, endRejected:
	}
}

// add adds the counts of another listener.
func (u *unansweredCounts) add(other unansweredCounts) {
	u.timeouts += other.timeouts
	u.clientCloses += other.clientCloses
	u.idleEnds += other.idleEnds
	u.evictions += other.evictions
	u.drains += other.drains
}

// endLocked notes why the node ends the connection, which lingers then.
func (c *clientConn) endLocked(cause endCause) {
	c.endCause, c.mustLinger = cause, true
}

// noteReadError counts a connection whose request ends within its head. A request whose body ends early is answered.
func (c *clientConn) noteReadError(err error) {
	if !c.deadline.withinHead() {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, io.EOF) && !c.framing.WithinHead() { // what came over TLS was the client's end
		return
	}
	cause := endClientClosed
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = endHeadTimeout
	}
	switch {
	case c.endCause == cause: // counted: net/http may read on after an error
		return
	case c.closed || c.halfClosed:
		c.mustLinger = true // more may come
		c.noteBytesAfterEndLocked()
		return
	}
	c.endCause, c.mustLinger = cause, cause == endHeadTimeout
	c.headLate.Store(cause == endHeadTimeout)
	c.countUnansweredLocked(cause)
}

// noteBytesAfterEndLocked counts a connection on which bytes have come after the node ended it.
func (c *clientConn) noteBytesAfterEndLocked() {
	switch {
	case c.bytesAfterEnd:
		return
	case c.endCause == endNone || c.endCause == endHeadTimeout || c.endCause == endClientClosed: // answered, or counted
		return
	}
	c.bytesAfterEnd = true
	if c.endCause == endDrain {
		c.listener.requestsDuringClose++
	}
	c.countUnansweredLocked(c.endCause)
}

// countUnansweredLocked counts the connection under a cause.
func (c *clientConn) countUnansweredLocked(cause endCause) {
	c.listener.unanswered.count(cause)
	c.listener.log.Debug("client connection ended without an answer", slog.String("cause", string(cause)),
		slog.Duration("age", time.Since(c.acceptedAt)), slog.Int("unread", sockets.Unread(c.TCPConn)))
}

// unansweredCounts returns the connections that ended without an answer, so far.
func (l *clientListener) unansweredCounts() unansweredCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered
}

// unansweredCounts returns those of all listeners for clients.
func (n *node) unansweredCounts() unansweredCounts {
	counts := n.httpServer.listener.unansweredCounts()
	if n.rpcServer != nil {
		stats := n.rpcServer.Stats()
		counts.add(unansweredCounts{
			timeouts: stats.Timeouts, clientCloses: stats.Incomplete,
			idleEnds: stats.IdleEnds, evictions: stats.EvictionEnds, drains: stats.DrainEnds,
		})
	}
	return counts
}
