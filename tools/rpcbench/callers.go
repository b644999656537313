package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/msgpackrpc"
	"cobaltward/msgpackrpc/client"
)

// callTimeout is the deadline of each call.
const callTimeout = 9 * time.Second

// caller makes one call and returns nil if the call was served. It is safe for concurrent use.
type caller func(id string, body []byte) error

// newHTTPCaller returns a caller that uses at most conns connections, and a function that closes the connections.
func newHTTPCaller(addr string, conns int) (call caller, closeConns func()) {
	httpClient := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns, DisableCompression: true,
	}}
	timeout := strconv.FormatInt(callTimeout.Milliseconds(), 10)
	return func(id string, body []byte) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api", bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header = http.Header{
			"X-Request-Id": {id}, "X-Class": {"pay"}, "X-Tenant": {"t"}, "X-Deadline-Ms": {timeout},
		}
		resp, err := httpClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
		return err
	}, httpClient.CloseIdleConnections
}

// newMsgpackCaller returns a caller that uses conns connections in rotation, and a function that closes the
// connections.
func newMsgpackCaller(addr string, conns int) (call caller, closeConns func()) {
	clients := make([]*client.Client, conns)
	for i := range clients {
		clients[i] = client.New("tcp", addr)
	}
	var next atomic.Uint64
	call = func(id string, body []byte) error {
		rpc := newCall(id, "/api", body)
		reply, err := clients[next.Add(1)%uint64(conns)].Call(context.Background(), rpc)
		if err == nil && reply.Code != "" {
			err = fmt.Errorf("%s %s", reply.Code, reply.Text)
		}
		return err
	}
	return call, func() {
		for _, c := range clients {
			c.Close()
		}
	}
}

func newCall(id, target string, body []byte) msgpackrpc.Call {
	return msgpackrpc.Call{ID: id, Class: "pay", Tenant: "t", Timeout: callTimeout, Target: target, Body: body}
}

// load keeps a constant number of calls in flight and collects their latencies.
type load struct {
	call     caller
	inFlight int
	body     []byte

	mu        sync.Mutex
	latencies []time.Duration
	failed    int
}

// lastID is the number in the ID of the last call. It makes the IDs of calls unique within the process.
var lastID atomic.Uint64

// run makes calls for the given length of time, and returns when the last call has ended. If record is set, it adds
// the latencies of the calls and the number of failures to l.
func (l *load) run(length time.Duration, record bool) {
	end := time.Now().Add(length)
	var callers sync.WaitGroup
	for range l.inFlight {
		callers.Go(func() {
			latencies, failed := l.callUntil(end)
			if !record {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.latencies = append(l.latencies, latencies...)
			l.failed += failed
		})
	}
	callers.Wait()
}

func (l *load) callUntil(end time.Time) (latencies []time.Duration, failed int) {
	for time.Now().Before(end) {
		began := time.Now()
		if l.call(strconv.FormatUint(lastID.Add(1), 36), l.body) != nil {
			failed++
		}
		latencies = append(latencies, time.Since(began))
	}
	return latencies, failed
}

// sample holds the results of one measurement of a node.
type sample struct {
	cpu, allocs float64 // CPU time in µs and allocations, both per call
	rate        float64 // calls per second
	p50, p99    time.Duration
	failed      int
}

// measure loads the node for a quarter of length, to warm up connections and buffers. It then measures the node under
// the same load for the whole length. inFlight is the number of calls in flight, and size the body size of each call.
func measure(node *nodeProcess, call caller, inFlight, size int, length time.Duration) (sample, error) {
	calls := load{call: call, inFlight: inFlight, body: make([]byte, size)}
	calls.run(length/4, false)
	before, err := node.usage()
	if err != nil {
		return sample{}, err
	}
	began := time.Now()
	calls.run(length, true)
	elapsed := time.Since(began)
	after, err := node.usage()
	if err != nil {
		return sample{}, err
	}
	slices.Sort(calls.latencies)
	count := float64(len(calls.latencies))
	return sample{
		cpu:    float64((after.CPU - before.CPU).Microseconds()) / count,
		allocs: float64(after.Allocs-before.Allocs) / count,
		rate:   count / elapsed.Seconds(),
		p50:    calls.latencies[len(calls.latencies)/2],
		p99:    calls.latencies[len(calls.latencies)*99/100],
		failed: calls.failed,
	}, nil
}
