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

// DeadlineReader reads a TCP connection, and serves at a read deadline what the kernel has received by then: package
// net looks at the deadline before the socket, so that a process that was paused until the deadline loses bytes that
// came in time. What comes after that last look is not read, so that a peer cannot extend a deadline by sending on. One
// goroutine may read while others set the deadline.
type DeadlineReader struct {
	tcp      *net.TCPConn
	openedAt time.Time

	mu       sync.Mutex
	deadline time.Time // zero: none
	passed   bool      // the last look at this deadline was taken
	received int       // bytes that it found, and that are not read yet
}

// NewDeadlineReader returns a reader of a connection that was opened before. The connection's read deadline must be set
// by the reader's SetReadDeadline alone.
func NewDeadlineReader(tcp *net.TCPConn) *DeadlineReader {
	return &DeadlineReader{tcp: tcp, openedAt: time.Now()}
}

// SetReadDeadline sets the deadline of Read; the zero time is none. A time before the connection was opened ends a Read
// at once, without a last look, as net/http ends its reads in the background.
func (r *DeadlineReader) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	if !r.deadline.Equal(t) {
		r.deadline, r.passed, r.received = t, false, 0
	}
	r.mu.Unlock()
	return r.tcp.SetReadDeadline(t)
}

// Read reads from the connection.
func (r *DeadlineReader) Read(p []byte) (int, error) {
	n, err := r.tcp.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.lastLook() {
		return r.readReceived(p, err)
	}
	return n, err
}

// lastLook reports whether bytes are left to be read that the kernel had received when the read deadline was found to
// have passed. It is called by the reading goroutine, after a read that failed at the deadline.
func (r *DeadlineReader) lastLook() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deadline.Before(r.openedAt) || r.deadline.After(time.Now()) { // the first is none, too; the second was set since
		return false
	}
	if !r.passed {
		r.passed, r.received = true, Unread(r.tcp)
	}
	return r.received > 0
}

// recordRead says that n of the bytes of the last look were read.
func (r *DeadlineReader) recordRead(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received -= min(n, r.received)
}

// readReceived reads what the last look found; it returns timeoutErr if there is nothing.
func (r *DeadlineReader) readReceived(buf []byte, timeoutErr error) (n int, err error) {
	raw, err := r.tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	buf = buf[:min(len(buf), r.received)]
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

// Unread returns the number of bytes of a connection that have arrived and are unread; 0 if the kernel does not tell.
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
