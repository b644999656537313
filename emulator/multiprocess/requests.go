package multiprocess

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readinessInterval = 50 * time.Millisecond
	readinessTimeout  = time.Second
	bookTimeout       = 1500 * time.Millisecond
	searchTimeout     = 3 * time.Second
	lossGrace         = time.Second // time after a request's deadline until the request counts as lost
	maxInFlight       = 4000
	bookingFraction   = 0.4
)

// run sends requests to the ready nodes at the script's rate until the context ends. It starts after all nodes are
// ready.
func (t *traffic) run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { t.checkReadiness(ctx) })
	t.awaitAllReady(ctx)
	random := rand.New(rand.NewPCG(t.harness.script.Seed, 3))
	next := time.Now()
	slots := make(chan struct{}, maxInFlight)
	for n := 0; ctx.Err() == nil; n++ {
		waitUntil(ctx, next)
		next = next.Add(time.Duration(random.ExpFloat64() / t.harness.script.RequestRate * float64(time.Second)))
		id := fmt.Sprintf("r%d-%x", n, random.Uint64())
		isBooking, firstNode := random.Float64() < bookingFraction, random.IntN(1<<20)
		slots <- struct{}{}
		t.inFlight.Go(func() {
			defer func() { <-slots }()
			t.send(id, isBooking, firstNode)
		})
	}
}

func (t *traffic) awaitAllReady(ctx context.Context) {
	for ctx.Err() == nil {
		t.mu.Lock()
		allReady := len(t.readyNodes) == t.harness.script.Nodes
		t.mu.Unlock()
		if allReady {
			return
		}
		waitUntil(ctx, time.Now().Add(pollInterval))
	}
}

// checkReadiness runs the health checks of the emulated load balancer. The balancer sends requests only to nodes
// whose last health check succeeded.
func (t *traffic) checkReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for first := true; ctx.Err() == nil; first = false {
		var ready []string
		for _, name := range t.harness.script.nodeNames() {
			if address := t.nodes[name].currentAddress(); address != "" && isReady(client, address) {
				ready = append(ready, name)
			}
		}
		t.mu.Lock()
		t.readyNodes = ready
		if !first || len(ready) == t.harness.script.Nodes {
			t.minReady = min(t.minReady, len(ready))
		}
		t.mu.Unlock()
		waitUntil(ctx, time.Now().Add(readinessInterval))
	}
}

func isReady(client *http.Client, address string) bool {
	response, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends one request to a ready node. If that node accepts no connection, send tries the next ready node.
func (t *traffic) send(id string, isBooking bool, firstNode int) {
	sentAt := time.Now()
	t.mu.Lock()
	ready := t.readyNodes
	t.counts.sent++
	t.isBooking[id] = isBooking
	t.mu.Unlock()
	status, connected := 0, false
	for i := 0; i < len(ready) && !connected; i++ {
		status, connected = t.sendTo(ready[(firstNode+i)%len(ready)], id, isBooking)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !connected:
		t.counts.unroutable++
	case status == 0:
		t.counts.lost++
	case status == http.StatusOK:
		t.counts.served++
		t.latencies = append(t.latencies, time.Since(sentAt))
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		t.counts.rejected++
	default:
		t.counts.failed++
	}
}

// sendTo sends a request to one node. status is 0 if no complete response arrived. connected is false if the node
// accepted no connection; the request was then not sent.
func (t *traffic) sendTo(name, id string, isBooking bool) (status int, connected bool) {
	method, timeout := http.MethodGet, searchTimeout
	if isBooking {
		method, timeout = http.MethodPost, bookTimeout
	}
	address := t.nodes[name].currentAddress()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+lossGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/rooms", nil)
	if err != nil {
		return 0, address != ""
	}
	request.Header.Set("X-Request-Id", id)
	response, err := t.clients[name].Do(request)
	if err != nil {
		return 0, address != "" && !isDialError(err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if err != nil {
		return 0, address != "" && !isDialError(err)
	}
	return response.StatusCode, address != ""
}

// isDialError reports whether err means that a connection could not be opened.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
