package sockets

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPeekedBytes is the maximum number of unread bytes that are examined to determine whether a request or a TLS
	// ClientHello is complete.
	maxPeekedBytes = 4 << 10
	// kernelClockTick is the maximum tick of the clock with which the kernel records the times of a connection.
	kernelClockTick = 10 * time.Millisecond
)

// HasQueuedConn reports whether a connection waits in the accept queue of listener. known is false if the kernel does
// not report this, or listener has no descriptor. HasQueuedConn does not block.
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

// AcceptQueue determines a maximum age of the connections in the accept queue of a listener. It is not safe for
// concurrent use.
type AcceptQueue struct {
	emptyAt time.Time
}

// NewAcceptQueue returns an AcceptQueue for a listener that was just opened.
func NewAcceptQueue() AcceptQueue { return AcceptQueue{emptyAt: time.Now()} }

// EmptyAt returns the last time at which the queue was known to be empty. A connection accepted later cannot have
// arrived before that time.
func (q *AcceptQueue) EmptyAt() time.Time { return q.emptyAt }

// Accept accepts a connection from listener. A long call to listener.Accept counts as a wait on an empty queue,
// unless the kernel had reported a queued connection before the call. In that case, the process may have been paused
// during the call.
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

// recordEstablished records when an accepted connection was established, if the kernel reports the time. Connections
// behind the accepted connection in the queue arrived later. Another process that shares the socket may have taken
// the connection that was seen in the queue. recordEstablished then corrects EmptyAt, because the accepted connection
// may have arrived long after the taken connection.
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

// underlyingTCP returns the TCP connection that conn is or wraps; nil if there is none.
func underlyingTCP(conn net.Conn) *net.TCPConn {
	switch conn := conn.(type) {
	case *net.TCPConn:
		return conn
	case interface{ TCP() *net.TCPConn }:
		return conn.TCP()
	}
	return nil
}

// WaitingSince returns the time since which the client of a connection has waited for the connection to be read.
//
// If no byte has arrived, WaitingSince returns the time at which the connection was established. If isComplete
// reports that the received bytes are complete, WaitingSince returns the arrival time of the last byte. If the bytes
// are incomplete, it returns queuedSince, the earliest time at which the connection can have arrived. A client that
// sends byte by byte then does not look as if it had just arrived. WaitingSince also returns queuedSince if
// queuedSince is later, or if the kernel does not report the times.
func WaitingSince(tcp *net.TCPConn, queuedSince time.Time, isComplete func(received []byte) bool) time.Time {
	age, known := SinceConnect(tcp)
	if !known {
		var buf [maxPeekedBytes]byte
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

// IsClientHello reports whether received is exactly the first record of a TLS handshake. A client waits for the
// server after that record.
func IsClientHello(received []byte) bool {
	const headerSize, handshakeRecord, lengthAt = 5, 22, 3
	return len(received) > headerSize && received[0] == handshakeRecord &&
		len(received) == headerSize+int(binary.BigEndian.Uint16(received[lengthAt:]))
}
