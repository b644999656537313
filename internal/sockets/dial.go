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
	// maxDialReturnDelay is the maximum time from the establishment of a connection in the kernel until its dial
	// returns.
	maxDialReturnDelay = time.Second
	// maxTimerDelay is the maximum delay of a timer in a process that was not paused.
	maxTimerDelay = time.Millisecond
	// minExtension is the minimum additional time for a connect whose timeout fired late.
	minExtension = 20 * time.Millisecond
)

// DialTCP opens a TCP connection as dialer.DialContext does. The timeout is the timeout of dialer or the deadline of
// ctx, whichever is earlier. At the timeout, DialTCP checks the socket once more. If the process was paused until the
// timeout, package net would discard a connection that was established before the timeout. The error at a timeout
// wraps os.ErrDeadlineExceeded or the error of ctx.
func DialTCP(ctx context.Context, dialer *net.Dialer, addr string) (*net.TCPConn, error) {
	dialCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	attempt := &connectAttempt{cancel: cancel}
	ownDialer := *dialer
	ownDialer.Timeout = 0
	ownDialer.ControlContext = attempt.recordSockets(dialer)
	ownDialer.Control = nil
	if dialer.Timeout > 0 {
		due := time.Now().Add(dialer.Timeout)
		timer := time.AfterFunc(dialer.Timeout, func() { attempt.expire(os.ErrDeadlineExceeded, due) })
		defer timer.Stop()
	}
	stop := context.AfterFunc(ctx, func() { attempt.endWithContext(ctx) })
	defer stop()
	conn, err := ownDialer.DialContext(dialCtx, "tcp", addr)
	defer attempt.stopExtension()
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

// connectAttempt is a connect in progress. It has several sockets if the host name has several addresses.
type connectAttempt struct {
	cancel context.CancelCauseFunc

	mu        sync.Mutex
	sockets   []syscall.RawConn
	extension *time.Timer // timer that ends an extended connect; nil: not extended
}

type controlFunc = func(ctx context.Context, network, address string, socket syscall.RawConn) error

// recordSockets returns a ControlContext function that records the sockets of the attempt. The function then calls
// ControlContext or Control of dialer, if set.
func (a *connectAttempt) recordSockets(dialer *net.Dialer) controlFunc {
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

// endWithContext ends the attempt when ctx ends. At the deadline of ctx it calls expire. If ctx was cancelled, it
// ends the attempt immediately.
func (a *connectAttempt) endWithContext(ctx context.Context) {
	due, hasDeadline := ctx.Deadline()
	if hasDeadline && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.expire(ctx.Err(), due)
		return
	}
	a.cancel(ctx.Err())
}

// expire handles a timeout that was due at the time due. If a socket is connected, expire gives the dial
// maxDialReturnDelay to return. After a pause of the process, the timeout fires late and the attempt may not have
// sent its SYN yet. In that case, expire extends the attempt once. In all other cases, expire ends the attempt.
func (a *connectAttempt) expire(cause error, due time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	late := time.Since(due)
	switch {
	case a.extension != nil: // another timeout has already extended the attempt
	case slices.ContainsFunc(a.sockets, isConnected):
		a.extension = time.AfterFunc(maxDialReturnDelay, func() { a.cancel(cause) })
	case late > maxTimerDelay:
		a.extension = time.AfterFunc(max(late, minExtension), func() { a.expireExtended(cause) })
	default:
		a.cancel(cause)
	}
}

// expireExtended handles the end of an extension. It ends the attempt, unless a socket is connected. In that case,
// the dial gets maxDialReturnDelay to return.
func (a *connectAttempt) expireExtended(cause error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.ContainsFunc(a.sockets, isConnected) {
		a.cancel(cause)
		return
	}
	a.extension = time.AfterFunc(maxDialReturnDelay, func() { a.cancel(cause) })
}

// stopExtension stops the timer of an extension, if any.
func (a *connectAttempt) stopExtension() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.extension != nil {
		a.extension.Stop()
	}
}

// isConnected reports whether the kernel has established the connection of socket. It does not block.
func isConnected(socket syscall.RawConn) bool {
	connected := false
	err := socket.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
		n, err := unix.Poll(poll, 0)
		connected = n == 1 && err == nil && poll[0].Revents == unix.POLLOUT
	})
	return connected && err == nil
}
