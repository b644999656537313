package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cobaltward/policy"
)

// clientCounts counts the requests that the clients of a testNode have sent.
type clientCounts struct {
	inFlight atomic.Int64

	// Number of requests by outcome.
	served     atomic.Int64 // status 200
	rejected   atomic.Int64 // status 429 or 503
	conflicts  atomic.Int64 // status 409
	failed     atomic.Int64 // other status codes
	unanswered atomic.Int64

	retriedAfterClose atomic.Int64
}

// startClients starts clients that send requests until ctx ends. The clients reuse idle connections, and open new
// connections while all connections are in use.
func (n *testNode) startClients(ctx context.Context, clients int) *sync.WaitGroup {
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	for i := range clients {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(i)))
			for k := 0; ctx.Err() == nil; k++ {
				class := drainSettings().Classes[rng.IntN(3)]
				n.request(client, class, fmt.Sprintf("c%d-%d", i, k))
				time.Sleep(time.Duration(rng.IntN(40)) * ms)
			}
		})
	}
	go func() { // ends with the clients
		<-ctx.Done()
		all.Wait()
		client.CloseIdleConnections()
	}()
	return &all
}

// request sends a request and records the outcome. If a reused connection was closed, it retries the request once.
func (n *testNode) request(client *http.Client, class policy.Class, id string) {
	n.locked(func(now time.Duration) { n.checker.RequestReceived(now, "n", id, class.Name, now+class.Deadline) })
	status, reused, err := n.send(client, class, id)
	if err != nil && reused && !errors.Is(err, context.DeadlineExceeded) {
		// The node closed the connection while the request was in transit, so the client retries the request. If the
		// node had accepted the request, it answers the retry with a conflict. The first response was then lost.
		n.retriedAfterClose.Add(1)
		if status, _, err = n.send(client, class, id); status == http.StatusConflict {
			n.locked(func(now time.Duration) {
				n.t.Errorf("%v: %s was accepted, and its connection closed without a response", now, id)
			})
		}
	}
	if err != nil {
		n.recordUnanswered(id, reused, err)
		return
	}
	n.locked(func(now time.Duration) { n.checker.ResponseReceived(now, "n", id, 0, isRejection(status)) })
	switch {
	case status == http.StatusOK:
		n.served.Add(1)
	case isRejection(status):
		n.rejected.Add(1)
	case status == http.StatusConflict:
		n.conflicts.Add(1)
	default:
		n.failed.Add(1)
	}
}

func isRejection(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// recordUnanswered records a request without a response. It checks that the node had not accepted the request.
func (n *testNode) recordUnanswered(id string, reused bool, err error) {
	n.unanswered.Add(1)
	n.locked(func(now time.Duration) {
		if n.executed[id] && (reused || !errors.Is(err, syscall.ECONNREFUSED)) {
			n.t.Errorf("%v: %s was executed, but got no response: %v", now, id, err)
		}
		n.checker.ClientLeft("n", id, 0)
	})
}

// send sends a request. reused reports whether the connection had carried an earlier request.
func (n *testNode) send(
	client *http.Client, class policy.Class, id string,
) (status int, reused bool, err error) {
	method := http.MethodPost
	if class.Idempotency == policy.Idempotent {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), class.Deadline+500*ms)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(conn httptrace.GotConnInfo) { reused = conn.Reused },
	})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.addr+"/api", http.NoBody)
	if err != nil {
		return 0, false, err
	}
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", class.Name)
	req.Header.Set("X-Tenant", "t")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(class.Deadline.Milliseconds(), 10))
	if class.Idempotency == policy.IdempotencyKeyed {
		req.Header.Set("Idempotency-Key", "k-"+id)
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	resp, err := client.Do(req)
	if err != nil {
		return 0, reused, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, reused, err
}
