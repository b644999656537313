package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxConnectedDelay bounds the time from which the kernel has a connection until its dial returns.
	maxConnectedDelay = time.Second
	// maxTimerDelay is by how much a timer is late in a process that runs.
	maxTimerDelay = time.Millisecond
	// minExtension is what a connect gets at least after a timeout that came late.
	minExtension = 20 * time.Millisecond
)

// DialTCP opens a TCP connection as dialer.DialContext does. At a timeout, that of the dialer or the deadline of ctx,
// it looks at the socket once more: package net gives up a connection that was established in time where the process
// was paused until the timeout. The error at a timeout wraps os.ErrDeadlineExceeded or ctx's error.
func DialTCP(ctx context.Context, dialer *net.Dialer, addr string) (*net.TCPConn, error) {
	dialCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	attempt := &connectAttempt{cancel: cancel}
	own := *dialer
	own.Timeout = 0
	own.ControlContext = attempt.wrapControl(dialer)
	own.Control = nil
	if dialer.Timeout > 0 {
		due := time.Now().Add(dialer.Timeout)
		timer := time.AfterFunc(dialer.Timeout, func() { attempt.expire(os.ErrDeadlineExceeded, due) })
		defer timer.Stop()
	}
	stop := context.AfterFunc(ctx, func() { attempt.end(ctx) })
	defer stop()
	conn, err := own.DialContext(dialCtx, "tcp", addr)
	defer attempt.stopBound()
	if cause := context.Cause(dialCtx); err != nil && cause != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: cause}
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("dial %s: got a %T, want a TCP connection", addr, conn), conn.Close())
	}
	return tcp, nil
}

// connectAttempt is a connect in progress. A host name may have several addresses, and so several sockets.
type connectAttempt struct {
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	sockets []syscall.RawConn
	bound   *time.Timer // ends a connect that was given more time; nil: none was
}

type controlFunc = func(ctx context.Context, network, address string, socket syscall.RawConn) error

// wrapControl returns a ControlContext for the dialer that notes its sockets.
func (a *connectAttempt) wrapControl(dialer *net.Dialer) controlFunc {
	return func(ctx context.Context, network, address string, socket syscall.RawConn) error {
		a.mu.Lock()
		a.sockets = append(a.sockets, socket)
		a.mu.Unlock()
		switch {
		case dialer.ControlContext != nil:
			return dialer.ControlContext(ctx, network, address, socket)
		case dialer.Control != nil:
			return dialer.Control(network, address, socket)
		}
		return nil
	}
}

// end ends the attempt with ctx: at its deadline like a timeout, and at once where it was cancelled.
func (a *connectAttempt) end(ctx context.Context) {
	due, hasDeadline := ctx.Deadline()
	if hasDeadline && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.expire(ctx.Err(), due)
		return
	}
	a.cancel(ctx.Err())
}

// expire ends the attempt at a timeout that was due, unless a socket is connected: then the dial returns as soon as it
// runs. For a timeout that comes late, as after a pause of the process, the attempt gets more time once: it may not
// have sent its SYN yet.
func (a *connectAttempt) expire(cause error, due time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := time.Since(due)
	switch {
	case a.bound != nil: // another timeout has extended the attempt
	case slices.ContainsFunc(a.sockets, isConnected):
		a.bound = time.AfterFunc(maxConnectedDelay, func() { a.cancel(cause) })
	case late > maxTimerDelay:
		a.bound = time.AfterFunc(max(late, minExtension), func() { a.expireExtended(cause) })
	default:
		a.cancel(cause)
	}
}

// expireExtended is expire at the end of an extension.
func (a *connectAttempt) expireExtended(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.ContainsFunc(a.sockets, isConnected) {
		a.cancel(cause)
		return
	}
	a.bound = time.AfterFunc(maxConnectedDelay, func() { a.cancel(cause) })
}

// stopBound releases the timer of expire.
func (a *connectAttempt) stopBound() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bound != nil {
		a.bound.Stop()
	}
}

// isConnected reports whether the kernel has established the connection of a socket. It does not block.
func isConnected(socket syscall.RawConn) bool {
	connected := false
	err := socket.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
		n, err := unix.Poll(poll, 0)
		connected = n == 1 && err == nil && poll[0].Revents == unix.POLLOUT
	})
	return connected && err == nil
}
