package node

import (
	"errors"
	"os"
)

// unansweredCounts counts connections that ended without an answer after bytes of a request had come, by cause.
type unansweredCounts struct {
	timeouts     uint64 // the rest of its head did not come in time
	clientCloses uint64 // the client closed, or reset, the connection
}

// noteReadError counts a connection whose request ends within its head. A request whose body ends early is answered.
func (c *clientConn) noteReadError(err error) {
	if !c.framing.InHead() {
		return
	}
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.closed || !l.partialRequests[c]: // answered, or without a request
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.unanswered.timeouts++
	default:
		l.unanswered.clientCloses++
	}
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
		counts.timeouts += stats.Timeouts
		counts.clientCloses += stats.Incomplete
	}
	return counts
}
