package node

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"time"

	"cobaltward/internal/sockets"
)

// endCause is the reason for the end of a client's connection.
type endCause string

const (
	endNone         endCause = ""
	endHeadTimeout  endCause = "the rest of a request's head did not arrive in time"
	endClientClosed endCause = "the client closed the connection within a request's head"
	endIdle         endCause = "the connection was idle for too long"
	endEvicted      endCause = "the connection was evicted to free its slot"
	endRejected     endCause = "the connection was evicted to free its slot, after a rejection was sent"
	endDrain        endCause = "the node is draining"
)

// unansweredCounts counts connections that ended without an answer although bytes of a request had arrived. There is
// one count for each cause.
type unansweredCounts struct {
	timeouts     uint64 // timeouts of the rest of a head
	clientCloses uint64 // closes or resets by the client

	// Bytes of the request arrived while the node ended the connection for one of these causes.
	idleEnds  uint64 // idle timeouts
	evictions uint64 // evictions to free a slot
	drains    uint64 // closes by a drain
}

// count counts a connection under its cause. endRejected is not counted, because the client got a rejection.
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

// add adds the counts of another listener to u.
func (u *unansweredCounts) add(other unansweredCounts) {
	u.timeouts += other.timeouts
	u.clientCloses += other.clientCloses
	u.idleEnds += other.idleEnds
	u.evictions += other.evictions
	u.drains += other.drains
}

// recordEndLocked records why the node ends the connection. Close then lets the connection linger.
func (c *clientConn) recordEndLocked(cause endCause) {
	c.endCause, c.mustLinger = cause, true
}

// recordReadError counts a connection whose read fails with err within the head of a request. A request whose body
// ends early is answered and not counted.
func (c *clientConn) recordReadError(err error) {
	if !c.deadline.withinHead() {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, io.EOF) && !c.framing.HasPartialHead() { // the TLS bytes were the client's close
		return
	}
	cause := endClientClosed
	if errors.Is(err, os.ErrDeadlineExceeded) {
		cause = endHeadTimeout
	}
	switch {
	case c.endCause == cause: // already counted; net/http may read again after an error
		return
	case c.closed || c.halfClosed:
		c.mustLinger = true // more bytes may arrive
		c.recordBytesAfterEndLocked()
		return
	}
	c.endCause, c.mustLinger = cause, cause == endHeadTimeout
	c.headTimedOut.Store(cause == endHeadTimeout)
	c.countUnansweredLocked(cause)
}

// recordBytesAfterEndLocked counts a connection on which bytes arrive after the node has ended it. It counts each
// connection once.
func (c *clientConn) recordBytesAfterEndLocked() {
	switch {
	case c.bytesAfterEnd:
		return
	case c.endCause == endNone || c.endCause == endHeadTimeout || c.endCause == endClientClosed: // answered or counted
		return
	}
	c.bytesAfterEnd = true
	if c.endCause == endDrain {
		c.listener.requestsDuringClose++
	}
	c.countUnansweredLocked(c.endCause)
}

// countUnansweredLocked logs the connection and counts it under cause.
func (c *clientConn) countUnansweredLocked(cause endCause) {
	c.listener.unanswered.count(cause)
	c.listener.log.Debug("client connection ended without an answer", slog.String("cause", string(cause)),
		slog.Duration("age", time.Since(c.acceptedAt)), slog.Int("unread", sockets.Unread(c.TCPConn)))
}

// unansweredCounts returns the counts of connections that ended without an answer.
func (l *clientListener) unansweredCounts() unansweredCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unanswered
}

// unansweredCounts returns the sum of the counts of all listeners for clients.
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
