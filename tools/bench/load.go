package main

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clockTick is the unit of the CPU times in /proc. Linux reports 100 ticks a second on every architecture.
const clockTick = 10 * time.Millisecond

// sample holds the measurements of one subject in one round.
type sample struct {
	p50, p99 time.Duration
	cpu      time.Duration // CPU time of the subject per request
	rate     float64       // requests per second
	failed   int           // requests without status 200 and the complete body
}

// loader sends requests to the subjects. Request IDs are unique within one run of the command.
type loader struct {
	ids atomic.Int64
}

// run sends requests to target for the given length of time with conns clients. Each client sends one request at a
// time over one connection.
func (l *loader) run(target *subject, conns int, length time.Duration) (sample, error) {
	cpuBefore, err := processCPU(target.cmd.Process.Pid)
	if err != nil {
		return sample{}, err
	}
	var (
		wg        sync.WaitGroup
		mu        sync.Mutex
		latencies []time.Duration
		failed    int
		firstErr  error
	)
	began := time.Now()
	for range conns {
		wg.Go(func() {
			clientLatencies, clientFailed, err := l.runClient(target.addr, began.Add(length))
			mu.Lock()
			defer mu.Unlock()
			latencies, failed = append(latencies, clientLatencies...), failed+clientFailed
			if firstErr == nil {
				firstErr = err
			}
		})
	}
	wg.Wait()
	if firstErr != nil {
		return sample{}, firstErr
	}
	cpuAfter, err := processCPU(target.cmd.Process.Pid)
	if err != nil {
		return sample{}, err
	}
	slices.Sort(latencies)
	count := len(latencies)
	return sample{
		p50: latencies[count/2], p99: latencies[count*99/100],
		cpu:  (cpuAfter - cpuBefore) / time.Duration(count),
		rate: float64(count) / time.Since(began).Seconds(), failed: failed,
	}, nil
}

// runClient sends requests over one connection to addr until the given time. It returns the latencies of all requests
// and the number of failed requests.
func (l *loader) runClient(addr string, until time.Time) (latencies []time.Duration, failed int, err error) {
	conn, err := dial(addr)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for time.Now().Before(until) {
		began := time.Now()
		ok, err := exchange(conn, in, l.ids.Add(1))
		if err != nil {
			return nil, 0, err
		}
		if !ok {
			failed++
		}
		latencies = append(latencies, time.Since(began))
	}
	if len(latencies) == 0 {
		return nil, 0, errors.New("no request was answered")
	}
	return latencies, failed, nil
}

// dial connects to a subject, with TLS if the command was started with -tls.
func dial(addr string) (net.Conn, error) {
	if _, roots := certificates(); roots != nil {
		return tls.Dial("tcp", addr, &tls.Config{RootCAs: roots})
	}
	return net.Dial("tcp", addr)
}

const requestFormat = "GET /api?q=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: r%016x\r\n" +
	"X-Class: read\r\nX-Tenant: t\r\nX-Deadline-Ms: 8000\r\n\r\n"

// exchange sends one request and reads its response. ok reports whether the response is the complete response of a
// stub server.
func exchange(conn net.Conn, in *bufio.Reader, id int64) (ok bool, err error) {
	if _, err := fmt.Fprintf(conn, requestFormat, id); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, err
	}
	size, err := io.Copy(io.Discard, resp.Body)
	if err := errors.Join(err, resp.Body.Close()); err != nil {
		return false, err
	}
	return resp.StatusCode == http.StatusOK && size == bodySize, nil
}

// processCPU returns the CPU time that a process has used, user and system together.
func processCPU(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	text := string(raw)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:]) // the command name may contain spaces
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, errors.Join(userErr, systemErr)
}
