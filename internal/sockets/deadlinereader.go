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

// DeadlineReader reads a TCP connection. After a read deadline, it still returns the bytes that the kernel had
// received when a read first failed at the deadline. Package net checks the deadline before the socket, so a process
// that is paused until the deadline would lose these bytes. The number of these bytes is determined once for each
// deadline, so a peer cannot extend the deadline by sending more bytes. One goroutine may read while other goroutines
// set the deadline.
type DeadlineReader struct {
	tcp      *net.TCPConn
	openedAt time.Time

	mu             sync.Mutex
	deadline       time.Time // zero: none
	checked        bool      // whether receivedInTime is set for this deadline
	receivedInTime int       // unread bytes when a read first failed at the deadline
}

// NewDeadlineReader returns a reader of an open connection. After this call, only SetReadDeadline of the reader may
// set the read deadline of the connection.
func NewDeadlineReader(tcp *net.TCPConn) *DeadlineReader {
	return &DeadlineReader{tcp: tcp, openedAt: time.Now()}
}

// SetReadDeadline sets the deadline of Read; the zero time means no deadline. A deadline before the creation of the
// reader ends a Read immediately, even if bytes have been received. net/http interrupts its background reads in this
// way.
func (r *DeadlineReader) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	if !r.deadline.Equal(t) {
		r.deadline, r.checked, r.receivedInTime = t, false, 0
	}
	r.mu.Unlock()
	return r.tcp.SetReadDeadline(t)
}

// Read reads from the connection. After a read deadline, it first returns the bytes counted in receivedInTime, and
// then fails.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	n, err := r.tcp.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.hasReceivedInTime() {
		return r.readReceivedInTime(p, err)
	}
	return n, err
}

// hasReceivedInTime reports whether there are unread bytes that the kernel had received when a read first failed at
// the read deadline. The reading goroutine calls it after each read that failed at the deadline.
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

// recordRead records that n of the bytes counted in receivedInTime were read.
func (r *DeadlineReader) recordRead(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.receivedInTime -= min(n, r.receivedInTime)
}

// readReceivedInTime reads bytes counted in receivedInTime into buf. It returns timeoutErr if there are no such
// bytes.
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

// Unread returns the number of received but unread bytes of a connection. It returns 0 if the kernel does not report
// the number.
func Unread(c syscall.Conn) int { return queueLength(c, unix.SIOCINQ) }

// Unsent returns the number of written bytes of a connection that the kernel has not sent yet, for example because the
// peer does not read. It returns 0 if the kernel does not report the number or the connection is closed.
func Unsent(c syscall.Conn) int { return queueLength(c, unix.SIOCOUTQNSD) }

// queueLength returns the length of a queue of a connection, as reported by the ioctl request, or 0 if the request
// fails.
func queueLength(c syscall.Conn, request uint) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	err = raw.Control(func(fd uintptr) {
		n, ioctlErr := unix.IoctlGetInt(int(fd), request)
		if ioctlErr == nil {
			length = n
		}
	})
	if err != nil {
		return 0
	}
	return length
}
