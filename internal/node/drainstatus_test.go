package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// TestDrainStatus_CountsOpenRequestsExactly checks that the status always counts exactly the requests that the server
// still holds. The requests are answered one by one during a drain. The drain must be complete after the last
// request.
func TestDrainStatus_CountsOpenRequestsExactly(t *testing.T) {
	node, server := newGatedNode(t)
	stop, ended := node.start()
	const requests = 12
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var clients sync.WaitGroup
	class := node.settings.Classes[1]
	for i := range requests {
		clients.Go(func() {
			if status, _, err := node.send(client, class, fmt.Sprint("r", i)); err != nil || status != http.StatusOK {
				t.Errorf("request %d: status %d, %v", i, status, err)
			}
		})
	}
	testkit.Await(t, "all requests at the server", func() bool { return server.waitingCount() == requests })
	if code, _ := node.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "1m"}); code != http.StatusAccepted {
		t.Fatal(code)
	}
	for open := requests; open > 0; open-- {
		var status Status
		testkit.Await(t, fmt.Sprintf("%d open requests", open), func() bool {
			status = node.status()
			return status.Requests.Open <= open
		})
		got := status.Requests
		if got.Open != open || got.ByClass[class.Name] != open || got.AttemptsInFlight != open ||
			status.Connections.Busy != open || status.Drain.State.Done() {
			t.Errorf("%d requests at the server; the status has %+v, %+v, %v",
				open, got, status.Connections, status.Drain.State)
		}
		server.releaseOldest()
	}
	testkit.Await(t, "the end of the drain", func() bool { return node.status().Drain.State == drain.Drained })
	clients.Wait()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestDrainCancel_WhileClosing checks that a node serves again at once after a drain is cancelled while a request is
// open. It must serve at the same address, over connections that are still open and over new connections.
func TestDrainCancel_WhileClosing(t *testing.T) {
	node, server := newGatedNode(t)
	stop, ended := node.start()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	send := func(id string) <-chan int {
		answered := make(chan int, 1)
		go func() {
			status, _, _ := node.send(client, node.settings.Classes[0], id) // status 0 after an error
			answered <- status
		}()
		testkit.Await(t, "request "+id+" at the server", func() bool { return server.waitingCount() == 1 })
		return answered
	}
	for round := range 3 {
		open := send(fmt.Sprint("long", round))
		node.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "20s"}) // announced for 150 ms, leaving for 1 s
		testkit.Await(t, "connections to be closed", func() bool {
			return node.status().Drain.State == drain.Closing
		})
		code, status := node.callAdmin(http.MethodDelete, "/drain", DrainRequest{RequestedBy: "x"})
		if code != http.StatusOK || status.Drain.State != drain.Serving {
			t.Fatalf("round %d, cancel: got status %d, %+v", round, code, status.Drain)
		}
		server.releaseOldest()
		if status := <-open; status != http.StatusOK {
			t.Errorf("round %d, the open request: status %d", round, status)
		}
		next := send(fmt.Sprint("new", round))
		server.releaseOldest()
		if status := <-next; status != http.StatusOK {
			t.Errorf("round %d, a new request: status %d", round, status)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestDrainFigures logs durations and latencies; it checks nothing. To run it:
//
//	DRAIN_FIGURES=1 go test -run DrainFigures -v ./internal/node
func TestDrainFigures(t *testing.T) {
	if os.Getenv("DRAIN_FIGURES") == "" {
		t.Skip("DRAIN_FIGURES is not set")
	}
	for _, clients := range []int{10, 100, 200} {
		logDrainDuration(t, clients)
	}
	logWatcherCost(t)
}

// logDrainDuration logs how long a drain under load takes.
func logDrainDuration(t *testing.T, clients int) {
	t.Helper()
	node := newTestNode(t, 4)
	stop, ended := node.start()
	ctx, stopClients := context.WithCancel(t.Context())
	load := node.startClients(ctx, clients)
	time.Sleep(time.Second)
	status := node.status()
	startedAt := time.Now()
	node.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "10s"})
	for status.Drain.State != drain.Drained {
		status = node.status()
		time.Sleep(5 * ms)
	}
	t.Logf("%d clients: drained %v after the order (announced for 150 ms, then leaving for 1 s); "+
		"%d idle connections closed, %d requests arrived during a close",
		clients, time.Since(startedAt).Round(ms), status.Connections.ClosedForDrain, status.Connections.RetriedByClients)
	stopClients()
	load.Wait()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// logWatcherCost logs the latency of requests with watchers of drain events, relative to the latency without
// watchers.
func logWatcherCost(t *testing.T) {
	t.Helper()
	node := newTestNode(t, 4)
	stop, ended := node.start()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(1, 1))
	requests := 0
	p99 := func() time.Duration {
		var latencies []time.Duration
		for range 400 {
			requests++
			sentAt := time.Now()
			_, _, _ = node.send(client, drainSettings().Classes[0], fmt.Sprint("p", requests)) // only the latency is of interest
			latencies = append(latencies, time.Since(sentAt))
			time.Sleep(time.Duration(rng.IntN(2)) * ms)
		}
		slices.Sort(latencies)
		return latencies[len(latencies)*99/100]
	}
	var ratios []float64
	for range 5 {
		without := p99()
		stopWatchers := node.startWatchers(50)
		ratios = append(ratios, float64(p99())/float64(without))
		stopWatchers()
	}
	slices.Sort(ratios)
	t.Logf("p99 with 50 watchers over p99 with none: %.2f", ratios)
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// startWatchers starts clients that watch the events of the admin API until stop is called.
func (n *testNode) startWatchers(watchers int) (stop func()) {
	n.t.Helper()
	ctx, cancel := context.WithCancel(n.t.Context())
	client, base := adminapi.NewClient(n.adminSocket, "", nil)
	for range watchers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/events", nil)
		if err != nil {
			n.t.Fatal(err)
		}
		started := make(chan error, 1)
		go func() { // ends with ctx
			resp, err := client.Do(req)
			started <- err
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			_, _ = io.Copy(io.Discard, resp.Body)
		}()
		if err := <-started; err != nil {
			n.t.Fatal(err)
		}
	}
	return func() {
		cancel()
		client.CloseIdleConnections()
	}
}
