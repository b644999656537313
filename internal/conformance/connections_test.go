package conformance

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// testClientDisconnectCancelsAttempt checks that the node cancels the attempt of a request when the client
// disconnects.
func testClientDisconnectCancelsAttempt(t *testing.T, b build) {
	received, cancelled := make(chan struct{}), make(chan struct{})
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
		close(cancelled)
	})
	config := testConfig(t, knownList(addr))
	for i := range config.Settings.Classes { // a long deadline, so that nothing else ends the attempt
		config.Settings.Classes[i].Deadline = time.Hour
	}
	node, _ := b.start(t, config)
	conn, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	if err := clientRequest(t, node, "POST", "pay", "r1", "sum", "X-Deadline-Ms", "3600000").Write(conn); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "the attempt", received)
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	testkit.Receive(t, "its cancellation", cancelled)
}

// startBlockingServer runs a server that answers the request with the ID "slow" once release is closed. It answers
// other requests at once. The server sends a value to received when it gets the request "slow".
func startBlockingServer(t *testing.T) (addr string, received <-chan struct{}, release chan<- struct{}) {
	t.Helper()
	hold, held := make(chan struct{}), make(chan struct{}, 2)
	addr = testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") == "slow" {
			held <- struct{}{}
			<-hold
		}
	})
	return addr, held, hold
}

// slowResponse is the response to the request "slow", or the zero value if there was no response.
type slowResponse struct {
	status int
	closes bool // true if the response announces the close of the connection
}

// sendSlow sends the request "slow" to node, and returns a channel that receives the response.
func sendSlow(t *testing.T, client *http.Client, node string) <-chan slowResponse {
	t.Helper()
	responses := make(chan slowResponse, 1)
	req := clientRequest(t, node, "GET", "read", "slow", "")
	go func() {
		resp, err := client.Do(req)
		if err != nil {
			responses <- slowResponse{}
			return
		}
		_ = resp.Body.Close()
		responses <- slowResponse{resp.StatusCode, resp.Close}
	}()
	return responses
}

// testIdleConnectionsAreEvicted checks that the node evicts idle connections to accept new connections, but evicts no
// connection with an open request. More clients than the node has slots connect. They send nothing, or keep their
// connections idle after a request.
func testIdleConnectionsAreEvicted(t *testing.T, b build) {
	addr, received, release := startBlockingServer(t)
	config := testConfig(t, knownList(addr))
	config.MaxDescriptors = minDescriptors
	node, _ := b.start(t, config)
	slow := sendSlow(t, oneShotClient(), node)
	sentAt := time.Now()
	testkit.Receive(t, "the slow request", received)
	var idle []net.Conn
	for i := range 3 * maxClients {
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		idle = append(idle, conn)
		if i%2 == 0 { // send one request, then keep the connection idle
			requestOnce(t, node, conn, i)
		}
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(headerTimeout / 2))
	if _, err := idle[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection that was idle for longest was not evicted: %v", err)
	}
	close(release)
	releasedAfter := time.Since(sentAt)
	if resp := testkit.Receive(t, "the slow response", slow); resp.status != 200 {
		t.Errorf("the open request got status %d, want 200; its server responded %v after it was sent",
			resp.status, releasedAfter)
	}
}

// requestOnce sends a request on conn, and checks that the request is served. The ID of the request contains i.
func requestOnce(t *testing.T, node string, conn net.Conn, i int) {
	t.Helper()
	if err := clientRequest(t, node, "GET", "read", fmt.Sprint("once", i), "").Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("request %d: response %v, error %v; want status 200", i, resp, err)
	}
	_ = resp.Body.Close()
}

// incompleteRequests returns the parts of requests that faulty clients send before they stop sending. The caller
// replaces %d with a number for the request ID.
func incompleteRequests() []string {
	const head = "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: r%d\r\nX-Class: pay\r\nX-Tenant: t\r\n" +
		"X-Deadline-Ms: 8000\r\n"
	return []string{
		"",
		"POST /api HT",
		head,
		"GET " + readyPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n",
		head + "Content-Length: 10\r\n\r\nabc",
		head + "Content-Length: 60000000\r\n\r\nabc",
	}
}

// testHeaderTimeoutBoundsRequestsOnly checks that, after a timeout, the node answers an incomplete request or closes
// its connection. The timeout must not apply to a complete request that waits for its response.
func testHeaderTimeoutBoundsRequestsOnly(t *testing.T, b build) {
	addr := testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {
		time.Sleep(headerTimeout + 200*time.Millisecond)
	})
	node, _ := b.start(t, testConfig(t, knownList(addr)))
	ended := make(chan string, 10)
	incomplete := incompleteRequests()
	for i, raw := range incomplete {
		conn, err := net.Dial("tcp", node)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if strings.Contains(raw, "%d") {
			raw = fmt.Sprintf(raw, i)
		}
		_, _ = io.WriteString(conn, raw)
		go func() {
			got, _ := io.ReadAll(conn)
			ended <- string(got)
		}()
	}
	if resp := do(t, clientRequest(t, node, "POST", "pay", "good", "sum")); resp.status != http.StatusOK {
		t.Errorf("the complete request got status %d, want 200", resp.status)
	}
	for range incomplete {
		got := testkit.Receive(t, "the end of an incomplete request's connection", ended)
		if got != "" && !strings.HasPrefix(got, "HTTP/1.1 4") {
			t.Errorf("response %.80q to an incomplete request, want a 4xx status or none", got)
		}
	}
}

// testGracefulShutdown checks that the readiness check of a node that shuts down fails. The node must accept
// connections while clients may still be routed to it, answer open requests, and then exit.
func testGracefulShutdown(t *testing.T, b build) {
	addr, received, release := startBlockingServer(t)
	node, stop := b.start(t, testConfig(t, knownList(addr)))
	client := &http.Client{Transport: &http.Transport{}} // keeps idle connections open
	defer client.CloseIdleConnections()
	slow := sendSlow(t, client, node)
	testkit.Receive(t, "the slow request", received)
	exited, began := make(chan error, 1), time.Now()
	go func() { exited <- stop() }()
	testkit.Await(t, "the node to be unready", func() bool { return isUnready(node) })
	expectServedAndKept(t, client, node)
	testkit.Await(t, "the node to refuse connections", func() bool {
		conn, err := net.Dial("tcp", node)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if took := time.Since(began); took < 400*time.Millisecond {
		t.Errorf("the node accepted connections for only %v, want at least 400 ms", took)
	}
	select {
	case err := <-exited:
		t.Fatalf("the node exited while a request was open: %v", err)
	default:
	}
	close(release)
	if resp := testkit.Receive(t, "the slow response", slow); resp.status != 200 || !resp.closes {
		t.Errorf("the open request: status %d, closes its connection: %v; want 200 and true", resp.status, resp.closes)
	}
	if err := testkit.Receive(t, "the node's exit", exited); err != nil {
		t.Error(err)
	}
}

// isUnready reports whether a node answers the readiness check with 503.
func isUnready(node string) bool {
	resp, err := oneShotClient().Get("http://" + node + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusServiceUnavailable
}

// expectServedAndKept checks that a node that is shutting down serves a request without closing its connection. The
// client may have no other node to connect to yet.
func expectServedAndKept(t *testing.T, client *http.Client, node string) {
	t.Helper()
	resp, err := client.Do(clientRequest(t, node, "GET", "read", "late", ""))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("a request during the shutdown: status %d, closes its connection: %v; want 200 and false",
			resp.StatusCode, resp.Close)
	}
}
