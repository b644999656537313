package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// exhaustionErrors are the errors of socket(2) and connect(2) for a lack of descriptors, ports or memory on this
// machine.
var exhaustionErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM,
}

// IsResourceExhaustion reports whether a connect failed because this machine lacks resources. Such an error is not a
// fault of the server.
func IsResourceExhaustion(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(exhaustionErrors, errno)
}
