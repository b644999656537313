package sockets

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
)

// Inherited is the listening TCP socket that a descriptor of this process, given in decimal, stands for. The
// descriptor itself is closed; closing the listener leaves the socket open in the hands of others.
func Inherited(number string) (*net.TCPListener, error) {
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
