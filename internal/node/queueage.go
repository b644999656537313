package node

import (
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/sockets"
)

// queuedSinceLocked returns the time since when an accepted connection has waited for a slot. It excludes the time
// that the client itself took to send its request. Clients behind it in the accept queue connected later.
func (l *clientListener) queuedSinceLocked(c *clientConn) time.Time {
	isComplete := framing.IsCompleteRequest
	if c.tls != nil {
		isComplete = sockets.IsClientHello
	}
	return sockets.WaitingSince(c.TCPConn, l.queue.EmptyAt(), isComplete)
}
