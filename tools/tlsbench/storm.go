package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/tools/internal/benchkit"
)

const (
	stormRole        = "as-storm"       // first argument of the process that makes the handshakes
	stormDialTimeout = 20 * time.Second // connection timeout of each client of the storm
	loadSettleTime   = time.Second      // latencies in this time are ignored, because clients are connecting
)

// stormLog collects the latencies of the background load, separately for requests sent before and during the storm.
type stormLog struct {
	mu                   sync.Mutex
	stormStart, stormEnd time.Duration // counted from the start of the load; 0: not yet reached
	before, during       []time.Duration
	failed               int
}

func (l *stormLog) record(o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !o.ok:
		l.failed++
	case o.sentAt < loadSettleTime:
	case l.stormStart == 0:
		l.before = append(l.before, o.latency)
	case l.stormEnd == 0:
		l.during = append(l.during, o.latency)
	}
}

func (l *stormLog) setTime(field *time.Duration, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*field = at
}

// measureStorm measures how a storm of simultaneous handshakes affects the latency of a background load.
func (b *bench) measureStorm() error {
	subject, err := b.startNode(8, 0)
	if err != nil {
		return err
	}
	defer subject.stop()
	ctx, cancel := context.WithTimeout(context.Background(), b.loadDuration)
	defer cancel()
	var log stormLog
	began := time.Now()
	load := b.startLoad(ctx, subject.addr, 16, 5*time.Millisecond, log.record)
	time.Sleep(b.loadDuration / 2)
	log.setTime(&log.stormStart, time.Since(began))
	served, failed, err := b.startStorm(subject.addr)
	if err != nil {
		return err
	}
	log.setTime(&log.stormEnd, time.Since(began))
	load.Wait()
	status, err := subject.tlsStatus()
	if err != nil {
		return err
	}
	b.printStorm(&log, served, failed)
	fmt.Printf("  the node's own count: %d full, %d resumed, failures %v\n",
		status.Clients.Full.Count, status.Clients.Resumed.Count, status.Clients.Failures)
	return nil
}

// startStorm runs the storm's clients in a separate process, so that their use of the CPU does not delay the requests
// that this process measures. It returns the number of served clients and the number of failed clients.
func (b *bench) startStorm(addr string) (served, failed int, err error) {
	self, err := os.Executable()
	if err != nil {
		return 0, 0, err
	}
	cmd := exec.Command(self, stormRole, addr, strconv.Itoa(b.stormClients), b.path(rootsFile))
	cmd.Env, cmd.Stderr = append(os.Environ(), "GOMAXPROCS=3"), os.Stderr
	raw, err := cmd.Output()
	if err != nil {
		return 0, 0, err
	}
	_, err = fmt.Sscan(string(raw), &served, &failed)
	return served, failed, err
}

func (b *bench) printStorm(log *stormLog, served, failed int) {
	quantile := func(latencies []time.Duration, q float64) time.Duration {
		return benchkit.Quantile(latencies, q).Round(10 * time.Microsecond)
	}
	p99Before, p99During := quantile(log.before, 0.99), quantile(log.during, 0.99)
	fmt.Printf("storm: %d clients at once, %d through, %d not, in %v; "+
		"requests in flight: p50 %v, p99 %v before (%d), p50 %v, p99 %v during (%d), ratio of p99 %.2f; %d not served\n",
		b.stormClients, served, failed, (log.stormEnd - log.stormStart).Round(time.Millisecond),
		quantile(log.before, 0.5), p99Before, len(log.before), quantile(log.during, 0.5), p99During, len(log.during),
		float64(p99During)/float64(max(1, p99Before)), log.failed)
}

// runStormClients is the main function of the storm's process. The clients make their handshakes at once and send one
// request each. runStormClients prints the number of served clients and the number of failed clients.
func runStormClients(addr, count, rootsPath string) error {
	raw, err := os.ReadFile(rootsPath)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(raw)
	clients, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	var served, failed atomic.Int64
	for i := range clients {
		group.Go(func() {
			if err := runStormClient(addr, roots, fmt.Sprint("s", i)); err != nil {
				failed.Add(1)
			} else {
				served.Add(1)
			}
		})
	}
	group.Wait()
	fmt.Println(served.Load(), failed.Load())
	return nil
}

func runStormClient(addr string, roots *x509.CertPool, id string) error {
	dialer := &net.Dialer{Timeout: stormDialTimeout}
	conn, err := tls.DialWithDialer(dialer, "tcp", addr, &tls.Config{RootCAs: roots})
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	status, err := request(conn, bufio.NewReader(conn), id)
	if err == nil && status != http.StatusOK {
		err = errors.New(http.StatusText(status))
	}
	return err
}
