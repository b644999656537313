package testkit

import (
	"net"
	"os"
	"sync"
	"syscall"
)

// AcceptErrors holds the errors of accept4(2) after which the listening socket remains usable. They are errors of the
// process, of the system, or of the connection to be accepted.
var AcceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENONET, syscall.EOPNOTSUPP, syscall.ETIMEDOUT, syscall.EAGAIN,
}

// FailingListener is a listener whose Accept can be made to fail. A later call of Accept returns the connection, as
// the kernel does after a lack of descriptors. Only one goroutine at a time may call Accept.
type FailingListener struct {
	net.Listener

	mu       sync.Mutex
	failures []syscall.Errno
	accepted net.Conn // connection from the inner listener that Accept has not returned yet
}

// FailNext makes Accept fail the given number of additional times when a connection is available.
func (l *FailingListener) FailNext(errno syscall.Errno, times int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range times {
		l.failures = append(l.failures, errno)
	}
}

// Pending returns the number of requested failures that have not occurred yet.
func (l *FailingListener) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.failures)
}

// Accept implements net.Listener.
func (l *FailingListener) Accept() (net.Conn, error) {
	if l.accepted == nil { // without the lock: only the accepting goroutine uses accepted
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.accepted = conn
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.failures) > 0 {
		errno := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	conn := l.accepted
	l.accepted = nil
	return conn, nil
}
