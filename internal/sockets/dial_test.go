package sockets

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialHelperEnv is the environment variable that makes the test binary run as a helper process. The helper dials
	// the address in the variable instead of running tests.
	dialHelperEnv = "SOCKETS_DIAL_HELPER"
	// dialHelperTimeout is the timeout of the dial in the helper process.
	dialHelperTimeout = 1200 * time.Millisecond
	// synRetransmission is the time after which the kernel has sent a second SYN: 1 s, with some slack.
	synRetransmission = 1100 * time.Millisecond
)

func TestMain(m *testing.M) {
	if addr := os.Getenv(dialHelperEnv); addr != "" {
		os.Exit(runDialHelper(addr))
	}
	os.Exit(m.Run())
}

// runDialHelper prints that the helper starts, dials addr, and prints the result.
func runDialHelper(addr string) (status int) {
	fmt.Println("dialing")
	conn, err := DialTCP(context.Background(), &net.Dialer{Timeout: dialHelperTimeout}, addr)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	_ = conn.Close()
	fmt.Println("connected")
	return 0
}

// fullListener listens with a full accept queue. The kernel drops further SYNs until accept is called.
func fullListener(t *testing.T) (addr string, accept func()) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	loopback := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(unix.Bind(fd, loopback), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
	queued := 0
	for {
		conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = conn.Close() })
		queued++
	}
	return addr, func() {
		for range queued {
			accepted, _, err := unix.Accept(fd)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = unix.Close(accepted) })
		}
	}
}

// TestDialTCP_PausedUntilTimeout checks that a dial succeeds if its connection is established before the timeout,
// although the process is paused. The pause begins before the connection is established and ends after the timeout of
// the dial.
func TestDialTCP_PausedUntilTimeout(t *testing.T) {
	addr, accept := fullListener(t)
	helper := exec.Command(os.Args[0])
	helper.Env = append(os.Environ(), dialHelperEnv+"="+addr)
	output, err := helper.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := helper.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = helper.Process.Kill() }()
	lines := bufio.NewScanner(output)
	lines.Scan()
	time.Sleep(100 * time.Millisecond) // by now the SYN of the helper has been sent and dropped
	if err := helper.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	accept()
	time.Sleep(synRetransmission + dialHelperTimeout)
	if err := helper.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	lines.Scan()
	if err := helper.Wait(); err != nil {
		t.Errorf("dial helper failed: %v: %s", err, lines.Text())
	}
}

// TestDialTCP_Timeout checks that a dial that cannot connect fails at the timeout of the dialer, at the deadline of
// the context, and when the context is cancelled.
func TestDialTCP_Timeout(t *testing.T) {
	addr, _ := fullListener(t)
	const timeout = 150 * time.Millisecond
	deadline, cancelDeadline := context.WithTimeout(t.Context(), timeout)
	defer cancelDeadline()
	cancelled, cancel := context.WithCancel(t.Context())
	time.AfterFunc(timeout, cancel)
	for _, test := range []struct {
		name   string
		ctx    context.Context
		dialer net.Dialer
		want   error
	}{
		{"dialer", t.Context(), net.Dialer{Timeout: timeout}, os.ErrDeadlineExceeded},
		{"context", deadline, net.Dialer{}, context.DeadlineExceeded},
		{"cancel", cancelled, net.Dialer{}, context.Canceled},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := DialTCP(test.ctx, &test.dialer, addr)
			if !errors.Is(err, test.want) {
				t.Errorf("connection %v, error %v; want error %v", conn, err, test.want)
			}
		})
	}
}

// TestDialTCP_Refused checks that an address without a listener fails with the error of package net.
func TestDialTCP_Refused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	_, err = DialTCP(t.Context(), &net.Dialer{Timeout: time.Second}, ln.Addr().String())
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want connection refused", err)
	}
}

// TestConnectAttempt_LateTimeout checks that a timeout that fires late extends an attempt that has not begun to
// connect, but only once. A punctual timeout ends the attempt.
func TestConnectAttempt_LateTimeout(t *testing.T) {
	for _, late := range []time.Duration{0, 5 * time.Millisecond} {
		ctx, cancel := context.WithCancelCause(t.Context())
		attempt := &connectAttempt{cancel: cancel}
		attempt.expire(os.ErrDeadlineExceeded, time.Now().Add(-late))
		if ended := ctx.Err() != nil; ended != (late == 0) {
			t.Errorf("timeout late by %v: attempt ended %v", late, ended)
		}
		attempt.expire(context.DeadlineExceeded, time.Now()) // the deadline of the context passes at the same time
		select {
		case <-ctx.Done():
		case <-time.After(time.Minute):
			t.Errorf("timeout late by %v: attempt did not end", late)
		}
	}
}
