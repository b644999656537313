package sockets

import (
	"encoding/binary"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// Offsets and sizes, in bytes, in the kernel's struct tcp_info, which grows at its end only.
const (
	stateSize            = 1
	lastDataRecvOffset   = 52 // milliseconds since data was last received
	lastDataRecvSize     = 4
	lastAckRecvOffset    = 56 // milliseconds since an acknowledgement was last received
	lastAckRecvSize      = 4
	bytesReceivedOffset  = 128
	bytesReceivedSize    = 8
	lastReceivedInfoSize = bytesReceivedOffset + bytesReceivedSize
)

// tcpInfo is the first part of a struct tcp_info.
type tcpInfo [lastReceivedInfoSize]byte

// read gets the first size bytes from the kernel; false if it has fewer.
func (i *tcpInfo) read(fd uintptr, size uint32) bool {
	got := size
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(i)), uintptr(unsafe.Pointer(&got)), 0)
	return errno == 0 && got >= size
}

// SinceLastReceived returns the time since the kernel received the newest bytes of a connection, read or not; false
// if it has received none, or does not tell. The resolution is a tick of the kernel's clock, 10 ms at most.
func SinceLastReceived(c *net.TCPConn) (time.Duration, bool) {
	info, known := readLastReceived(c)
	if !known || !info.hasReceived() {
		return 0, false
	}
	return info.milliseconds(lastDataRecvOffset, lastDataRecvSize), true
}

// SinceConnect returns the time since an accepted connection was established; false if its client has sent anything
// since, or the kernel does not tell. The resolution is that of SinceLastReceived.
func SinceConnect(c *net.TCPConn) (time.Duration, bool) {
	info, known := readLastReceived(c)
	if !known || info.hasReceived() {
		return 0, false
	}
	return info.milliseconds(lastAckRecvOffset, lastAckRecvSize), true
}

// readLastReceived gets what the kernel has noted of received segments.
func readLastReceived(c *net.TCPConn) (info tcpInfo, known bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return info, false
	}
	err = raw.Control(func(fd uintptr) { known = info.read(fd, lastReceivedInfoSize) })
	return info, known && err == nil
}

// hasReceived reports whether data has been received.
func (i *tcpInfo) hasReceived() bool { return binary.NativeEndian.Uint64(i[bytesReceivedOffset:]) > 0 }

// milliseconds returns a time of size bytes at an offset.
func (i *tcpInfo) milliseconds(offset, size int) time.Duration {
	return time.Duration(binary.NativeEndian.Uint32(i[offset:offset+size])) * time.Millisecond
}
