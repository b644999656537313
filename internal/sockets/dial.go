package sockets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxConnectedDelay bounds the time from which the kernel has a connection until its dial returns.
const maxConnectedDelay = time.Second

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
		timer := time.AfterFunc(dialer.Timeout, func() { attempt.expire(os.ErrDeadlineExceeded) })
		defer timer.Stop()
	}
	stop := context.AfterFunc(ctx, func() { attempt.end(ctx.Err()) })
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
	bound   *time.Timer // nil: no timeout has found the socket connected
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
func (a *connectAttempt) end(cause error) {
	if errors.Is(cause, context.DeadlineExceeded) {
		a.expire(cause)
		return
	}
	a.cancel(cause)
}

// expire ends the attempt at a timeout, unless a socket is connected: then the dial returns as soon as it runs.
func (a *connectAttempt) expire(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, socket := range a.sockets {
		if isConnected(socket) {
			if a.bound == nil {
				a.bound = time.AfterFunc(maxConnectedDelay, func() { a.cancel(cause) })
			}
			return
		}
	}
	a.cancel(cause)
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
