package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// shortages are the errors of socket(2) and connect(2) that say that this machine or process lacks something.
var shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
}

// IsResourceExhaustion reports whether a connection was not made for want of something on this side: no server is to blame.
func IsResourceExhaustion(err error) bool {
	errno := syscall.Errno(0)
	return errors.As(err, &errno) && slices.Contains(shortages, errno)
}
