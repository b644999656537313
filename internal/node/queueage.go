package node

import (
	"time"

	"cobaltward/internal/frontend/framing"
	"cobaltward/internal/sockets"
)

// maxPeekedRequest is the length up to which a request that waits for a connection slot is looked at, in bytes.
const maxPeekedRequest = 2 << 10

// queuedSinceLocked returns since when an accepted connection has waited for a slot, as far as its client has lost
// time: since the connection was established while nothing has come, since the last byte of a request that is complete.
// Clients behind it in the accept queue connected later. Of any other connection, which may send byte by byte, and of
// TLS, it returns the earliest time at which it can have arrived.
func (l *clientListener) queuedSinceLocked(c *clientConn) time.Time {
	earliest := l.queue.EmptyAt()
	if c.tls != nil {
		return earliest
	}
	age, known := sockets.SinceConnect(c.TCPConn)
	if !known {
		var buf [maxPeekedRequest]byte
		if !framing.IsCompleteRequest(sockets.Peek(c.TCPConn, buf[:])) {
			return earliest
		}
		age, known = sockets.SinceLastReceived(c.TCPConn)
	}
	if since := time.Now().Add(-age); known && since.After(earliest) {
		return since
	}
	return earliest
}
