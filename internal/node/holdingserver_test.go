package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// holdingServer is an app server that records the X-Deadline-Ms header of each request. It answers once release is
// closed.
type holdingServer struct {
	mu       sync.Mutex
	received map[string]receivedRequest
	release  chan struct{} // closed by the test to release the answers
}

type receivedRequest struct {
	at       time.Time
	deadline time.Duration
}

func (s *holdingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	s.mu.Lock()
	s.received[r.Header.Get("X-Request-Id")] = receivedRequest{at, time.Duration(ms) * time.Millisecond}
	s.mu.Unlock()
	select {
	case <-s.release:
	case <-r.Context().Done():
	}
}

func (s *holdingServer) request(id string) (request receivedRequest, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request, ok = s.received[id]
	return request, ok
}

// runWithHoldingServer runs a node with one holdingServer, and returns the server and the node's address. wrap may
// wrap the listener for clients.
func runWithHoldingServer(t *testing.T, sockets int, wrap func(net.Listener) net.Listener) (*holdingServer, string) {
	t.Helper()
	return runWithHoldingServerScaled(t, sockets, 1, wrap)
}

// runWithHoldingServerScaled is like runWithHoldingServer, with all deadlines multiplied by scale.
func runWithHoldingServerScaled(
	t *testing.T, sockets int, scale time.Duration, wrap func(net.Listener) net.Listener,
) (*holdingServer, string) {
	t.Helper()
	server := &holdingServer{received: make(map[string]receivedRequest), release: make(chan struct{})}
	config := Config{Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: sockets, Settings: drainSettings()}
	for i := range config.Settings.Classes { // attempts may last until the deadline
		config.Settings.Classes[i].Deadline *= scale
		config.Settings.Classes[i].LatencyObjective = config.Settings.Classes[i].Deadline
	}
	config.InitialList.Revision, config.InitialList.Full = 1, true
	config.InitialList.Endpoints = []router.Endpoint{
		{ID: "s", Addr: testkit.HTTPServer(t, server.ServeHTTP), Zone: "a", Kind: "k", Weight: 1},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config, wrap(listener), nil, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		stop()
		if err := testkit.Receive(t, "the node's end", ended); err != nil {
			t.Error(err)
		}
	})
	return server, listener.Addr().String()
}

// nonIdempotentRequest returns a request that must not be retried. Its only attempt may take all the time left.
func nonIdempotentRequest(id string, deadline time.Duration) string {
	const form = "POST /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: rezervacia\r\n" +
		"X-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n"
	return fmt.Sprintf(form, id, deadline.Milliseconds())
}

// dialClient connects to addr. The end of the test closes the connection.
func dialClient(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
