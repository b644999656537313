package node

import (
	"context"
	"time"

	"cobaltward/internal/sockets"
)

// arrivalAge is how long ago the last byte of a request came that was read just now, at the most. The kernel knows it
// best where it can be asked, but for requests that were sent before the answer to the one ahead of them.
func arrivalAge(ctx context.Context) time.Duration {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return 0
	}
	c.listener.mu.Lock()
	arrival := c.arrival
	c.listener.mu.Unlock()
	if !arrival.Pipelined() {
		if age, known := sockets.SinceLastReceived(c.TCPConn); known {
			return age
		}
	}
	return time.Since(arrival.Earliest())
}
