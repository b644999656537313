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
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info tcpInfo
	known := false
	err = raw.Control(func(fd uintptr) { known = info.read(fd, lastReceivedInfoSize) })
	if err != nil || !known || binary.NativeEndian.Uint64(info[bytesReceivedOffset:]) == 0 {
		return 0, false
	}
	ms := binary.NativeEndian.Uint32(info[lastDataRecvOffset : lastDataRecvOffset+lastDataRecvSize])
	return time.Duration(ms) * time.Millisecond, true
}
