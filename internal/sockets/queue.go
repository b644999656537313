package sockets

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasQueuedConn reports whether a connection waits in a listener's accept queue. It does not block. If the kernel does
// not tell, or the listener has no descriptor, it returns false.
func HasQueuedConn(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	queued := false
	err = raw.Control(func(fd uintptr) {
		ready := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(ready, 0)
		queued = pollErr == nil && n == 1 && ready[0].Revents&unix.POLLIN != 0
	})
	return err == nil && queued
}
