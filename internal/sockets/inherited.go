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

// acceptFor bounds a wait for clients that can't be broken off.
const acceptFor = 100 * time.Millisecond

// InheritedListener is the listening TCP socket that a descriptor of this process, given in decimal, stands for. The
// descriptor itself is closed; closing the listener leaves the socket open in the hands of others.
func InheritedListener(number string) (*net.TCPListener, error) {
	fd, err := strconv.Atoi(number)
	if err != nil || fd < 0 {
		return nil, fmt.Errorf("want the number of a descriptor, got %q", number)
	}
	listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
	switch {
	case errors.Is(err, syscall.EBADF):
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	case err != nil || listens == 0:
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	// Whether accepting waits is a flag of the socket, which all who hold it share: another process may set it at any
	// time, and then a close of ours would wait for the next client. A time-out ends such a wait, and the runtime's
	// own goes on.
	wait := syscall.NsecToTimeval(int64(acceptFor))
	if err := syscall.SetsockoptTimeval(fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &wait); err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	file := os.NewFile(uintptr(fd), "inherited socket")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d is a listening socket of %s, not of TCP", fd, ln.Addr().Network())
	}
	return tcp, nil
}
