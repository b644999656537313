package sockets

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPeeked is the length up to which unread bytes are looked at: a request, or a TLS ClientHello.
	maxPeeked = 4 << 10
	// kernelClockTick is the longest tick of the clock by which the kernel keeps the times of a connection.
	kernelClockTick = 10 * time.Millisecond
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
	case err != nil:
		return nil, err
	case queued:
	case HadToWait(began, now):
		q.emptyAt = now
	case known:
		q.emptyAt = began
	}
	q.recordEstablished(conn, now)
	return conn, nil
}

// recordEstablished records when an accepted connection was established, if the kernel tells: those behind it in the
// queue came later. A connection that was queued may have gone to another process that shares the socket, and this one
// may have come long after.
func (q *AcceptQueue) recordEstablished(conn net.Conn, now time.Time) {
	tcp := underlyingTCP(conn)
	if tcp == nil {
		return
	}
	age, known := SinceConnect(tcp)
	if established := now.Add(-age - kernelClockTick); known && established.After(q.emptyAt) {
		q.emptyAt = established
	}
}

// underlyingTCP returns the TCP connection under a connection; nil if there is none.
func underlyingTCP(conn net.Conn) *net.TCPConn {
	switch conn := conn.(type) {
	case *net.TCPConn:
		return conn
	case interface{ TCP() *net.TCPConn }:
		return conn.TCP()
	}
	return nil
}

// WaitingSince returns since when the client of a connection has waited for it to be read: since the connection was
// established while nothing has come, and since the last byte of what has come if isComplete says that no more is on
// its way. It returns queuedSince, the earliest time at which the connection can have come, where that is later or the
// kernel does not tell, and for a client that may send byte by byte, which would stay young.
func WaitingSince(tcp *net.TCPConn, queuedSince time.Time, isComplete func(received []byte) bool) time.Time {
	age, known := SinceConnect(tcp)
	if !known {
		var buf [maxPeeked]byte
		if !isComplete(Peek(tcp, buf[:])) {
			return queuedSince
		}
		age, known = SinceLastReceived(tcp)
	}
	if since := time.Now().Add(-age); known && since.After(queuedSince) {
		return since
	}
	return queuedSince
}

// IsClientHello reports whether the bytes are exactly the first record of a TLS handshake, behind which a client waits
// for the server.
func IsClientHello(received []byte) bool {
	const headerSize, handshakeRecord, lengthAt = 5, 22, 3
	return len(received) > headerSize && received[0] == handshakeRecord &&
		len(received) == headerSize+int(binary.BigEndian.Uint16(received[lengthAt:]))
}
