package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DeadlineReader reads a TCP connection and, at a read deadline, still returns the bytes that the kernel has received
// by then. Package net checks the deadline before the socket, so that a process that was paused until the deadline
// would lose bytes that came in time. The number of these bytes is determined once for each deadline, so that a peer
// cannot extend the deadline by sending more. One goroutine may read while others set the deadline.
type DeadlineReader struct {
	tcp      *net.TCPConn
	openedAt time.Time

	mu             sync.Mutex
	deadline       time.Time // zero: none
	checked        bool      // receivedInTime is determined for this deadline
	receivedInTime int       // bytes that had arrived by the deadline and are unread
}

// NewDeadlineReader returns a reader of an open connection. From then on the connection's read deadline must only be
// set by SetReadDeadline of the reader.
func NewDeadlineReader(tcp *net.TCPConn) *DeadlineReader {
	return &DeadlineReader{tcp: tcp, openedAt: time.Now()}
}

// SetReadDeadline sets the deadline of Read; the zero time means none. A time before the reader was created ends a
// Read at once, even if bytes have been received: net/http interrupts its background reads this way.
func (r *DeadlineReader) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	if !r.deadline.Equal(t) {
		r.deadline, r.checked, r.receivedInTime = t, false, 0
	}
	r.mu.Unlock()
	return r.tcp.SetReadDeadline(t)
}

// Read reads from the connection.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	n, err := r.tcp.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.hasReceivedInTime() {
		return r.readReceivedInTime(p, err)
	}
	return n, err
}

// hasReceivedInTime reports whether there are unread bytes that the kernel had received when the read deadline was
// first found to have passed. The reading goroutine calls it after a read that failed at the deadline.
func (r *DeadlineReader) hasReceivedInTime() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadline.Before(r.openedAt) || r.deadline.After(time.Now()) { // no deadline, an interrupt, or a new deadline
		return false
	}
	if !r.checked {
		r.checked, r.receivedInTime = true, Unread(r.tcp)
	}
	return r.receivedInTime > 0
}

// recordRead records that n of the bytes that were received in time were read.
func (r *DeadlineReader) recordRead(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedInTime -= min(n, r.receivedInTime)
}

// readReceivedInTime reads bytes that were received in time. It returns timeoutErr if there are none.
func (r *DeadlineReader) readReceivedInTime(buf []byte, timeoutErr error) (n int, err error) {
	raw, err := r.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	buf = buf[:min(len(buf), r.receivedInTime)]
	r.mu.Unlock()
	var readErr error
	err = raw.Control(func(fd uintptr) { n, _, readErr = syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT) })
	switch {
	case err != nil:
		return 0, err
	case len(buf) == 0 || errors.Is(readErr, syscall.EAGAIN) || errors.Is(readErr, syscall.EINTR):
		return 0, timeoutErr
	case readErr != nil:
		return 0, os.NewSyscallError("recvfrom", readErr)
	case n == 0:
		return 0, io.EOF
	}
	r.recordRead(n)
	return n, nil
}

// Unread returns the number of bytes of a connection that have arrived and are unread; 0 if the kernel does not
// report it.
func Unread(c syscall.Conn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if ioctlErr == nil {
			unread = n
		}
	})
	if err != nil {
		return 0
	}
	return unread
}
