package node

import (
	"context"
	"time"

	"cobaltward/internal/sockets"
)

// arrivalAge returns an upper bound of the time since the last byte of a request came that was read just now. The
// kernel's own figure is used, which says nothing of pipelined requests.
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
