package node

import (
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/sockets"
)

// queuedSinceLocked returns the time from which an accepted connection counts as waiting for a slot. The time that
// the client itself took to send its request does not count. Clients behind it in the accept queue connected later.
func (l *clientListener) queuedSinceLocked(c *clientConn) time.Time {
	isComplete := framing.IsCompleteRequest
	if c.tls != nil {
		isComplete = sockets.IsClientHello
	}
	return sockets.WaitingSince(c.TCPConn, l.queue.EmptyAt(), isComplete)
}
