// Package benchkit has what the benchmark commands under tools share: how they end, stub servers, processes that
// announce their addresses, CPU time and quantiles.
package benchkit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime/pprof"
	"slices"
	"strings"
	"syscall"
	"time"
)

// ExitOnError prints an error behind the command's name and ends the process with status 1. It returns where the
// error is nil.
func ExitOnError(command string, err error) {
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command, err)
	os.Exit(1)
}

// ListenLoopback listens on a TCP port of 127.0.0.1 that the system chooses.
func ListenLoopback() (net.Listener, error) {
	return net.Listen("tcp", "127.0.0.1:0")
}

// FreeAddress returns an address of 127.0.0.1 whose port was free a moment ago, for a process that can't announce
// the port it was given.
func FreeAddress() (string, error) {
	ln, err := ListenLoopback()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// AcceptLoop handles each accepted connection in a goroutine of its own, until the listener is closed. The handler
// closes its connection.
func AcceptLoop(ln net.Listener, handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go handle(conn)
	}
}

// EchoConn echoes all data until the peer closes the connection, and then closes it.
func EchoConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, _ = io.Copy(struct{ io.Writer }{conn}, conn) // without ReadFrom, which would splice on TCP
}

// WaitReady polls the URL at the interval until it answers 200. It fails with the last error once the timeout has
// passed.
func WaitReady(client *http.Client, url string, interval, timeout time.Duration) error {
	began := time.Now()
	for {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		if time.Since(began) > timeout {
			return fmt.Errorf("no readiness within %v: %w", timeout, err)
		}
		time.Sleep(interval)
	}
}

// StartAnnounced starts a process and returns the addresses that it logs on standard error as address=, once there
// are as many as wanted. Everything logged later is discarded.
func StartAnnounced(cmd *exec.Cmd, wanted int) ([]string, error) {
	logs, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(logs)
	var addrs []string
	for len(addrs) < wanted && lines.Scan() {
		if _, after, ok := strings.Cut(lines.Text(), "address="); ok {
			addr, _, _ := strings.Cut(after, " ")
			addrs = append(addrs, addr)
		}
	}
	if len(addrs) < wanted {
		Terminate(cmd)
		return nil, fmt.Errorf("process announced %d addresses, want %d", len(addrs), wanted)
	}
	go func() { _, _ = io.Copy(io.Discard, logs) }() // ends with the process
	return addrs, nil
}

// exitGrace is how long a process may take to shut down by itself, for example to write a profile.
const exitGrace = 200 * time.Millisecond

// Terminate ends a process by SIGTERM, or by SIGKILL after a grace period, and waits for its end.
func Terminate(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(exitGrace, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait()
}

// StartCPUProfile writes a CPU profile of this process to a file until the returned function is called.
func StartCPUProfile(path string) (stop func() error, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return file.Close()
	}, nil
}

// CPUTime returns the CPU time that this process has used, user and system together.
func CPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Quantile returns the value below which the given part of all values lies, and 0 without values. It leaves the
// slice as it is.
func Quantile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}
