package sockets

import (
	"net"
	"syscall"
)

// Peek copies the unread bytes of a connection into buf, as many as fit. It returns the filled part of buf. It
// neither blocks nor consumes the bytes.
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
