package sockets

import (
	"net"
	"syscall"
)

// Peek returns the bytes of a connection that have arrived and are unread, up to the length of buf, in buf. It neither
// blocks nor consumes them.
func Peek(c *net.TCPConn, buf []byte) []byte {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		received, _, recvErr := syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if recvErr == nil {
			n = received
		}
	})
	if err != nil {
		return nil
	}
	return buf[:n]
}
