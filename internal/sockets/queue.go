package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// HasQueuedConn reports whether a connection waits in a listener's accept queue; known is false if the kernel does not
// tell, or the listener has no descriptor. It does not block.
func HasQueuedConn(listener net.Listener) (queued, known bool) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		ready := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(ready, 0)
		known = pollErr == nil
		queued = n == 1 && ready[0].Revents&unix.POLLIN != 0
	})
	return queued, known && err == nil
}

// AcceptQueue determines how old the connections in a listener's accept queue can be. It is not safe for concurrent
// use.
type AcceptQueue struct {
	emptyAt time.Time
}

// NewAcceptQueue returns an AcceptQueue for a listener that was opened now.
func NewAcceptQueue() AcceptQueue { return AcceptQueue{emptyAt: time.Now()} }

// EmptyAt returns when the queue was last known to be empty: connections that were accepted later cannot have arrived
// earlier.
func (q *AcceptQueue) EmptyAt() time.Time { return q.emptyAt }

// Accept accepts a connection. That the call took long says that the queue was empty only where the kernel had said so
// before: the host may have paused this process.
func (q *AcceptQueue) Accept(listener net.Listener) (net.Conn, error) {
	queued, known := HasQueuedConn(listener)
	began := time.Now()
	conn, err := listener.Accept()
	now := time.Now()
	switch {
	case err != nil, queued:
	case HadToWait(began, now):
		q.emptyAt = now
	case known:
		q.emptyAt = began
	}
	return conn, err
}
