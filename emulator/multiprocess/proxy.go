package multiprocess

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxProxiedBody      = 64 << 20 // maximum size of a body, in bytes
	maxDelay            = 3 * time.Second
	maxDuplicateDelay   = 3 * time.Second
	duplicateTimeout    = 3 * time.Second
	proxyIdleTimeout    = 2 * time.Second
	maxProxyIdlePerHost = 4
)

var errProcessDown = errors.New("the process is down")

// link is a pair of processes: the sender of requests and their receiver.
type link struct{ from, to string }

// proxy forwards the requests on one link and injects faults. A fault affects a whole message: a request or its
// response.
type proxy struct {
	link    link
	harness *Harness
	address string
	server  *http.Server
	client  *http.Client

	mu     sync.Mutex
	faults map[int]linkFault // active faults, by index
	rand   *rand.Rand
}

// MessageCounts counts the requests on all links and the messages affected by each fault. Bytes is the total size of
// request and response bodies.
type MessageCounts struct {
	Requests, Bytes, LostRequests, LostResponses atomic.Int64
	Delayed, Duplicated, Stalled, Reset          atomic.Int64
}

// String returns all counts except Bytes on one line.
func (c *MessageCounts) String() string {
	return fmt.Sprintf("of %d messages %d lost, %d responses lost, %d delayed, %d duplicated, %d stalled, %d reset",
		c.Requests.Load(), c.LostRequests.Load(), c.LostResponses.Load(), c.Delayed.Load(), c.Duplicated.Load(),
		c.Stalled.Load(), c.Reset.Load())
}

func newProxy(h *Harness, ends link, seed uint64) (*proxy, error) {
	listener, err := net.Listen("tcp", listenAddress)
	if err != nil {
		return nil, fmt.Errorf("open the proxy from %s to %s: %w", ends.from, ends.to, err)
	}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxProxyIdlePerHost, IdleConnTimeout: proxyIdleTimeout, DisableCompression: true,
	}
	p := &proxy{
		link: ends, harness: h, address: listener.Addr().String(), faults: make(map[int]linkFault),
		rand: rand.New(rand.NewPCG(seed, 1)), client: &http.Client{Transport: transport},
	}
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout}
	go func() { _ = p.server.Serve(listener) }() // returns after close
	return p, nil
}

func (p *proxy) close() {
	_ = p.server.Close()
	p.client.CloseIdleConnections()
}

// ServeHTTP forwards one request and its response, subject to the active faults.
func (p *proxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxProxiedBody))
	if err != nil {
		return
	}
	counts := &p.harness.Messages
	counts.Requests.Add(1)
	counts.Bytes.Add(int64(len(body)))
	faults := p.drawMessageFaults()
	switch {
	case faults.reset:
		counts.Reset.Add(1)
		resetConnection(w)
		return
	case faults.loseRequest:
		counts.LostRequests.Add(1)
		<-request.Context().Done() // the sender gets no response and gives up
		return
	case faults.stall:
		counts.Stalled.Add(1)
		<-request.Context().Done()
		return
	}
	if faults.delay > 0 {
		counts.Delayed.Add(1)
		time.Sleep(faults.delay)
	}
	if faults.duplicate {
		counts.Duplicated.Add(1)
		p.harness.tasks.Go(func() { p.sendDuplicate(request, body, faults.duplicateDelay) })
	}
	p.forward(w, request, body)
}

// forward sends a request to the target process and returns the response. It draws the faults of the response after
// the response has arrived.
func (p *proxy) forward(w http.ResponseWriter, request *http.Request, body []byte) {
	response, err := p.send(request.Context(), request, body)
	if err != nil {
		resetConnection(w)
		return
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxProxiedBody))
	_ = response.Body.Close()
	if err != nil {
		resetConnection(w)
		return
	}
	counts := &p.harness.Messages
	counts.Bytes.Add(int64(len(responseBody)))
	faults := p.drawMessageFaults()
	if faults.delay > 0 {
		time.Sleep(faults.delay)
	}
	if faults.loseResponse || faults.stall {
		counts.LostResponses.Add(1)
		<-request.Context().Done()
		return
	}
	for name, values := range response.Header {
		if name != "Connection" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(responseBody) // fails if the sender has given up
}

// sendDuplicate sends a request again after a delay, whatever the outcome of the original. It discards the response.
func (p *proxy) sendDuplicate(request *http.Request, body []byte, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-p.harness.closing:
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), duplicateTimeout)
	defer cancel()
	if response, err := p.send(ctx, request, body); err == nil {
		_ = response.Body.Close()
	}
}

func (p *proxy) send(ctx context.Context, request *http.Request, body []byte) (*http.Response, error) {
	address := p.harness.address(p.link.to)
	if address == "" {
		return nil, fmt.Errorf("send to %s: %w", p.link.to, errProcessDown)
	}
	url := "http://" + address + request.URL.RequestURI()
	forwarded, err := http.NewRequestWithContext(ctx, request.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	forwarded.Header = request.Header.Clone()
	return p.client.Do(forwarded)
}

// resetConnection closes the sender's connection with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
