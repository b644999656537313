package sockets

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Numbers of TCP states in the kernel. In these states the peer has closed its side, or the whole connection is
// closed.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
	tcpTimeWait  = 6
)

// PeerClosed reports whether the peer has closed its side of a connection or reset the connection, even if earlier
// bytes are still unread. It does not block. It returns false if the kernel does not report the state.
func PeerClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = isClosedByPeer(fd) })
	return closed || err != nil // Control returns an error if this side has closed the connection
}

// hidingBacklog is the number of unread bytes from which the peer's close may not have arrived, because the kernel's
// receive buffer may be full. The kernel announces a window of 64 KiB at first.
const hidingBacklog = 32 << 10

// MayHideClose reports whether so many bytes are unread that the peer may have closed its side unnoticed. It does not
// block.
func MayHideClose(c *net.TCPConn) bool { return Unread(c) >= hidingBacklog }

// AwaitPeerClose waits until the peer has closed its side of a connection. It reads no bytes. It returns an error if
// the read deadline passes first. No Read may run concurrently.
func AwaitPeerClose(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(isClosedByPeer)
}

// isClosedByPeer reports whether the socket fd is in one of the TCP states listed above, or is a Unix socket whose peer
// has closed its side. A read would not detect that, because unread bytes precede the end of the stream.
func isClosedByPeer(fd uintptr) bool {
	var info tcpInfo
	if !info.read(fd, stateSize) {
		return hangsUp(fd)
	}
	switch info[0] {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing, tcpTimeWait:
		return true
	}
	return false
}

// hangsUp reports whether the peer of the socket fd has closed its side, as reported by poll.
func hangsUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}
