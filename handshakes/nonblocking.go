package handshakes

import (
	"errors"
	"io"
	"syscall"
)

// errWouldBlock is returned by a non-blocking read if no data is available. It is temporary, because crypto/tls keeps
// a connection usable only after a temporary error.
var errWouldBlock = wouldBlockError{}

type wouldBlockError struct{}

func (wouldBlockError) Error() string   { return "read would block" }
func (wouldBlockError) Timeout() bool   { return true }
func (wouldBlockError) Temporary() bool { return true }

// readNonBlocking reads data that the system has already received, or returns errWouldBlock.
func (c *Conn) readNonBlocking(p []byte) (n int, err error) {
	raw, err := c.TCP.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, _, readErr = syscall.Recvfrom(int(fd), p, syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, errWouldBlock
	case readErr != nil:
		return 0, readErr // not wrapped, because crypto/tls checks the type of the error
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// writeNonBlocking writes the part of p that fits into the system's send buffer. It drops the rest, but reports all
// of p as written.
func (c *Conn) writeNonBlocking(p []byte) (n int, err error) {
	raw, err := c.TCP.SyscallConn()
	if err != nil {
		return 0, err
	}
	var writeErr error
	err = raw.Control(func(fd uintptr) {
		_, writeErr = syscall.SendmsgN(int(fd), p, nil, nil, syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	})
	if err = errors.Join(err, writeErr); err != nil {
		return 0, err
	}
	return len(p), nil
}

// peerClosed reports whether the peer has closed its side of the connection. It also returns true if the connection
// is broken or closed on this side.
func (c *Conn) peerClosed() bool {
	raw, err := c.TCP.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != nil {
			closed = !errors.Is(err, syscall.EAGAIN)
			return
		}
		closed = n == 0
	})
	return closed || err != nil
}
