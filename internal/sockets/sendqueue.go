package sockets

import (
	"math"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// SendCheckInterval is the interval between checks of whether the kernel has sent the waiting writes.
const SendCheckInterval = 20 * time.Millisecond

// SendQueue calls functions once the kernel has sent what was written to a connection before. The kernel keeps written
// bytes for a peer that reads slowly. Bytes that the peer's kernel has received count as sent, and so does everything
// on a closed connection. SendQueue is safe for concurrent use.
type SendQueue struct {
	Conn *net.TCPConn // nil: every write counts as sent

	mu      sync.Mutex
	waiting []waitingWrite // oldest first; bounded by the size of the kernel's send buffer
	check   *time.Timer    // runs while a write is waiting; nil: none has waited yet
}

// waitingWrite is a write whose last bytes the kernel has not sent.
type waitingWrite struct {
	end  uint64 // number of acknowledged bytes of the connection at which the peer has received the write
	done func()
}

// WhenSent calls done once all bytes that were written to the connection are sent, now or later on another goroutine.
// done must not block, and must not use q.
func (q *SendQueue) WhenSent(done func()) {
	if q.Conn == nil {
		done()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if Unsent(q.Conn) == 0 {
		q.complete(len(q.waiting))
		done()
		return
	}
	q.waiting = append(q.waiting, waitingWrite{end: writtenBytes(q.Conn), done: done})
	switch {
	case q.check == nil:
		q.check = time.AfterFunc(SendCheckInterval, q.recheck)
	case len(q.waiting) == 1:
		q.check.Reset(SendCheckInterval)
	}
}

// recheck completes the writes that have been sent, and schedules another check if any are left.
func (q *SendQueue) recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.complete(q.sentWrites())
	if len(q.waiting) > 0 {
		q.check.Reset(SendCheckInterval)
	}
}

// sentWrites returns the number of waiting writes that have been sent. q.mu is held.
func (q *SendQueue) sentWrites() int {
	if Unsent(q.Conn) == 0 {
		return len(q.waiting)
	}
	acknowledged, _ := acknowledgedBytes(q.Conn)
	sent := 0
	for sent < len(q.waiting) && q.waiting[sent].end <= acknowledged {
		sent++
	}
	return sent
}

// complete calls the functions of the first n waiting writes, and removes these writes. q.mu is held.
func (q *SendQueue) complete(n int) {
	for i := range n {
		q.waiting[i].done()
	}
	clear(q.waiting[:n])
	q.waiting = q.waiting[n:]
}

// writtenBytes returns the number of bytes that have been written to a connection, as far as the kernel counts them in
// acknowledgedBytes. The result may exceed the number by the bytes that the peer acknowledges meanwhile. If the kernel
// does not report the number, writtenBytes returns the maximum.
func writtenBytes(c *net.TCPConn) uint64 {
	unacknowledged := queueLength(c, unix.SIOCOUTQ)
	acknowledged, known := acknowledgedBytes(c)
	if !known {
		return math.MaxUint64
	}
	return acknowledged + uint64(unacknowledged)
}
