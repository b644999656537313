package sockets

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// Offsets and sizes, in bytes, in struct tcp_info of the kernel. Kernels only append to that struct.
const (
	stateSize           = 1
	lastDataRecvOffset  = 52 // milliseconds since data was last received
	lastDataRecvSize    = 4
	lastAckRecvOffset   = 56 // milliseconds since an acknowledgement was last received
	lastAckRecvSize     = 4
	bytesAckedOffset    = 120 // bytes that the peer has acknowledged
	bytesReceivedOffset = 128
	bytesReceivedSize   = 8
	tcpInfoSize         = bytesReceivedOffset + bytesReceivedSize
)

// tcpInfo is the beginning of a struct tcp_info.
type tcpInfo [tcpInfoSize]byte

// read reads the first size bytes of the struct from the kernel. It returns false if the struct of the kernel is
// shorter.
func (i *tcpInfo) read(fd uintptr, size uint32) bool {
	got := size
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(i)), uintptr(unsafe.Pointer(&got)), 0)
	return errno == 0 && got >= size
}

// SinceLastReceived returns the time since the kernel received the newest bytes of a connection, read or unread. It
// returns false if no bytes were received, or the kernel does not report the time. The resolution is a tick of the
// kernel's clock, at most 10 ms.
func SinceLastReceived(c *net.TCPConn) (time.Duration, bool) {
	info, known := readTCPInfo(c)
	if !known || !info.hasReceived() {
		return 0, false
	}
	return info.millisecondsAt(lastDataRecvOffset, lastDataRecvSize), true
}

// SinceConnect returns the time since an accepted connection was established. It returns false if the client has sent
// any bytes, or the kernel does not report the time. The resolution is the same as that of SinceLastReceived.
func SinceConnect(c *net.TCPConn) (time.Duration, bool) {
	info, known := readTCPInfo(c)
	if !known || info.hasReceived() {
		return 0, false
	}
	return info.millisecondsAt(lastAckRecvOffset, lastAckRecvSize), true
}

// acknowledgedBytes returns the number of bytes of a connection that the peer has acknowledged. It returns false if the
// kernel does not report the number.
func acknowledgedBytes(c *net.TCPConn) (uint64, bool) {
	info, known := readTCPInfo(c)
	return binary.NativeEndian.Uint64(info[bytesAckedOffset:]), known
}

// readTCPInfo reads the beginning of the tcp_info of a connection.
func readTCPInfo(c *net.TCPConn) (info tcpInfo, known bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return info, false
	}
	err = raw.Control(func(fd uintptr) { known = info.read(fd, tcpInfoSize) })
	return info, known && err == nil
}

// hasReceived reports whether any bytes were received.
func (i *tcpInfo) hasReceived() bool { return binary.NativeEndian.Uint64(i[bytesReceivedOffset:]) > 0 }

// millisecondsAt returns the duration that the size bytes at offset hold in milliseconds.
func (i *tcpInfo) millisecondsAt(offset, size int) time.Duration {
	return time.Duration(binary.NativeEndian.Uint32(i[offset:offset+size])) * time.Millisecond
}
