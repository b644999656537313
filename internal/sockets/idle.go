// Package sockets provides functions for TCP that package net lacks: the kernel's state of connections, inherited
// listening sockets, and listeners that continue after errors.
package sockets

import (
	"errors"
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has no unread bytes. It does not block. It may be called while
// another goroutine reads.
func IsIdle(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN)
	})
	return idle && err == nil
}
