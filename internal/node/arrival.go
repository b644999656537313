package node

import (
	"context"
	"net"
	"sync"
	"time"

	"cobaltward/internal/sockets"
)

// requestArrival is a sockets.Arrival that is safe for concurrent use. It has its own mutex, because its methods make
// system calls. System calls under the listener's mutex would block all connections.
type requestArrival struct {
	mu      sync.Mutex
	arrival sockets.Arrival
}

// reset starts tracking a new request. No byte of the request can have arrived before earliest.
func (a *requestArrival) reset(earliest time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.Reset(earliest)
}

// recordIdleRead records a non-blocking read of an idle connection. The read returned at now. waited reports whether
// the first try found no bytes. all reports whether the read took all bytes that had arrived.
func (a *requestArrival) recordIdleRead(now time.Time, waited, all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if waited {
		a.arrival.Reset(now)
	}
	a.arrival.RecordRead(now, now, all)
}

// recordRead records a read that began at began and returned now. all reports whether the read took all bytes that
// had arrived.
func (a *requestArrival) recordRead(tcp *net.TCPConn, began time.Time, all bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.RecordReadFrom(tcp, began, time.Now(), all)
}

// recordNextStart records that the first byte of the next request arrived now.
func (a *requestArrival) recordNextStart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.RecordNextStart(time.Now())
}

// advance makes the next request the current request.
func (a *requestArrival) advance() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrival.Advance()
}

// get returns a copy of the current state.
func (a *requestArrival) get() sockets.Arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.arrival
}

// arrivalAge returns an upper bound of the time since the last byte of the current request arrived. It returns 0 if
// ctx has no clientConn. Where possible, it uses the time at which the kernel last received bytes. With pipelined
// requests it does not use that time, because the bytes may belong to a later request.
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
