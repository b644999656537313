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

// acceptTimeout limits an accept that blocks in the kernel, which a close would not interrupt.
const acceptTimeout = 100 * time.Millisecond

// InheritedListener returns a listener for a listening TCP socket that this process has inherited as the descriptor
// with the given decimal number. It closes that descriptor. Closing the listener does not close the socket in other
// processes that share it.
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
	// O_NONBLOCK is shared by all processes that have the socket. If another process clears it, an accept blocks in
	// the kernel, and closing the listener would wait for the next client. The timeout ends such an accept; after it,
	// the runtime polls the socket again.
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
