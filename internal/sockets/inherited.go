package sockets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// acceptTimeout is the maximum duration of an accept that blocks in the kernel. Closing the listener would not
// interrupt such an accept.
const acceptTimeout = 100 * time.Millisecond

// InheritedListener returns a listener for an inherited listening TCP socket. number is the decimal number of its
// descriptor. InheritedListener closes that descriptor if it is a listening socket. Closing the listener does not
// close the socket in other processes that share it.
func InheritedListener(number string) (*net.TCPListener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("want a descriptor number, got %q", number)
	}
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, syscall.EBADF):
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	case err != nil || listens == 0:
		return nil, fmt.Errorf("descriptor %d is not a listening socket", fd)
	}
	// O_NONBLOCK is shared by all processes that have the socket. If another process clears O_NONBLOCK, an accept
	// blocks in the kernel. Closing the listener would then wait for the next client. The timeout ends such an
	// accept, and the runtime then polls the socket again.
	timeout := syscall.NsecToTimeval(int64(acceptTimeout))
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	file := os.NewFile(uintptr(fd), "inherited socket")
	defer func() { _ = file.Close() }()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		_ = ln.Close()
		return nil, fmt.Errorf("descriptor %d is a listening socket of %s, not of TCP", fd, ln.Addr().Network())
	}
	return tcp, nil
}
