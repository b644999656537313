package node

import (
	"context"
	"net"
	"sync"
	"time"

	"cobaltward/internal/sockets"
)

// requestArrival is a sockets.Arrival that is safe for concurrent use. It has a mutex of its own, since it may ask the
// kernel: the listener's is taken for each connection.
type requestArrival struct {
	mu      sync.Mutex
	arrival sockets.Arrival
}

// reset begins a request that cannot have arrived, not even in part, before earliest.
func (a *requestArrival) reset(earliest time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.Reset(earliest)
}

// recordIdleRead records a read of an idle connection, which did not wait itself; waited says that it was called again
// once bytes had come.
func (a *requestArrival) recordIdleRead(now time.Time, waited, all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if waited {
		a.arrival.Reset(now)
	}
	a.arrival.RecordRead(now, now, all)
}

// recordRead records a read that ended now.
func (a *requestArrival) recordRead(tcp *net.TCPConn, began time.Time, all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.RecordReadFrom(tcp, began, time.Now(), all)
}

// recordNextStart records that the first byte of the next request has arrived.
func (a *requestArrival) recordNextStart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.RecordNextStart(time.Now())
}

// advance makes the next request the current one.
func (a *requestArrival) advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.Advance()
}

// get returns a copy.
func (a *requestArrival) get() sockets.Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.arrival
}

// arrivalAge returns an upper bound of the time since the last byte of a request came that was read just now. The
// kernel's own figure is used, which says nothing of pipelined requests.
func arrivalAge(ctx context.Context) time.Duration {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return 0
	}
	arrival := c.arrival.get()
	if !arrival.Pipelined() {
		if age, known := sockets.SinceLastReceived(c.TCPConn); known {
			return age
		}
	}
	return time.Since(arrival.Earliest())
}
