// Package benchkit has functions that the benchmark commands under tools share. They exit on errors, run parts of
// stub servers, start and end processes, and compute CPU times and quantiles.
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

// ExitOnError does nothing if err is nil. Otherwise it prints err after the command's name and exits with status 1.
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

// FreeAddress returns an address of 127.0.0.1 whose port was free a moment ago. It is for processes that can't
// listen on port 0 and announce the port that the system chose.
func FreeAddress() (string, error) {
	ln, err := ListenLoopback()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// AcceptLoop calls handle for each accepted connection in a separate goroutine, until ln is closed. handle must close
// the connection that it gets.
func AcceptLoop(ln net.Listener, handle func(net.Conn)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go handle(conn)
	}
}

// EchoConn echoes all data until the peer closes the connection, and then closes conn.
func EchoConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, _ = io.Copy(struct{ io.Writer }{conn}, conn) // hides ReadFrom, which would splice TCP connections
}

// WaitReady polls url at the given interval until the response status is 200. After the timeout it returns an error
// that wraps the last error.
func WaitReady(client *http.Client, url string, interval, timeout time.Duration) error {
	began := time.Now()
	for {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
		if time.Since(began) > timeout {
			return fmt.Errorf("not ready within %v: %w", timeout, err)
		}
		time.Sleep(interval)
	}
}

// StartAnnounced starts a process and returns the addresses that the process logs on standard error as address=ADDR.
// It returns once the process has logged the wanted number of addresses, and discards all later output.
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
		return nil, fmt.Errorf("process logged %d addresses before its output ended, want %d", len(addrs), wanted)
	}
	go func() { _, _ = io.Copy(io.Discard, logs) }() // returns when the process ends
	return addrs, nil
}

// exitGrace is the maximum time that a process may take to shut down after SIGTERM, for example to complete a
// profile.
const exitGrace = 200 * time.Millisecond

// Terminate sends SIGTERM to a process, and SIGKILL if the process is still running after exitGrace. It waits for the
// exit.
func Terminate(cmd *exec.Cmd) {
	_ = cmd.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(exitGrace, func() { _ = cmd.Process.Kill() })
	defer kill.Stop()
	_ = cmd.Wait()
}

// StartCPUProfile writes a CPU profile of this process to the file at path until stop is called.
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

// Quantile returns the q-quantile of values, for q from 0 to 1, or 0 if values is empty. It does not change values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
