// Package sockets looks at TCP connections below net.
package sockets

import (
	"net"
	"syscall"
)

// IsIdle tells whether a connection is open and has brought nothing that is still to be read. It
// doesn't wait for whoever is reading.
func IsIdle(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return quiet && err == nil
}
