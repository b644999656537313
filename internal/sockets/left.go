package sockets

import "net"

// The states of a connection, as the kernel numbers them, in which the other side has ended its sending or is gone.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
	tcpTimeWait  = 6
)

// PeerClosed tells whether the other side has ended its sending, or has reset the connection, whatever is still to be read
// before that. It does not wait. Where the system does not say, nobody has left.
func PeerClosed(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) { left = ended(fd) })
	return left || err != nil // it is closed on this side
}

// AwaitPeerClose waits until the other side has left, or until the time to read is over: then there is an error. Nobody
// else may be reading. It reads nothing.
func AwaitPeerClose(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(ended)
}

// ended asks the kernel for the state of a connection: bytes that are to be read may hide its end from who reads.
func ended(fd uintptr) bool {
	var info tcpInfo
	if !info.read(fd, stateSize) {
		return false
	}
	switch info[0] {
	case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing, tcpTimeWait:
		return true
	}
	return false
}
