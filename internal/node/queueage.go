package node

import (
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/sockets"
)

// queuedSinceLocked returns the time from which the accepted connection c counts as waiting for a slot. The time that
// c's client took to send its request does not count. Clients behind c in the accept queue connected later than c.
func (l *clientListener) queuedSinceLocked(c *clientConn) time.Time {
	isComplete := framing.IsCompleteRequest
	if c.tls != nil {
		isComplete = sockets.IsClientHello
	}
	return sockets.WaitingSince(c.TCPConn, l.queue.EmptyAt(), isComplete)
}
