package sockets

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Limits of the backoff after a failed accept.
const (
	minAcceptBackoff = time.Millisecond
	maxAcceptBackoff = 20 * time.Millisecond
)

// acceptLogInterval is the minimum time without a failed accept before another failure is logged.
const acceptLogInterval = 10 * time.Second

// PersistentListener is a listener whose Accept fails only after Close or at its deadline. The server of net/http
// retries only some errors of accept(2) and ends at the others. Many of those are temporary too: a lack of memory, or
// a network error of the connection to be accepted.
type PersistentListener struct {
	net.Listener
	log *slog.Logger

	closeOnce sync.Once
	closed    chan struct{}
	closeErr  error

	lastFailure time.Time // used only by Accept
}

// NewPersistentListener returns a listener that retries after errors of inner. If log is not nil, an error is logged
// unless another error occurred in the ten seconds before. Accept must not be called concurrently.
func NewPersistentListener(inner net.Listener, log *slog.Logger) *PersistentListener {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &PersistentListener{Listener: inner, log: log, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *PersistentListener) Accept() (net.Conn, error) {
	backoff := minAcceptBackoff
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case l.isClosed() || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
		l.logFailure(err)
		select {
		case <-time.After(backoff):
		case <-l.closed:
			return nil, net.ErrClosed
		}
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// Close implements net.Listener. Later calls return the result of the first call.
func (l *PersistentListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.closeErr = l.Listener.Close()
	})
	return l.closeErr
}

// SetDeadline sets the deadline of Accept. It returns errors.ErrUnsupported if the inner listener has no deadlines.
func (l *PersistentListener) SetDeadline(t time.Time) error {
	inner, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetDeadline(t)
}

// SyscallConn implements syscall.Conn. It returns errors.ErrUnsupported if the inner listener does not implement it.
func (l *PersistentListener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return inner.SyscallConn()
}

func (l *PersistentListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// logFailure logs an error, unless the previous error was less than acceptLogInterval ago.
func (l *PersistentListener) logFailure(err error) {
	now := time.Now()
	if l.lastFailure.IsZero() || now.Sub(l.lastFailure) > acceptLogInterval {
		l.log.Warn("accept failed, retrying", "address", l.Addr(), "err", err)
	}
	l.lastFailure = now
}
