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

// An attempt is cancelled once its client has disconnected.
func testClientDisconnectCancelsAttempt(t *testing.T, b build) {
	received, cancelled := make(chan struct{}), make(chan struct{})
	addr := testkit.HTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		<-r.Context().Done()
		close(cancelled)
	})
	config := testConfig(t, knownList(addr))
	for i := range config.Settings.Classes { // the deadline is far off, so that nothing else ends the attempt
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

// holdServer runs a server that answers the request "slow" once release is closed, and others at once.
func holdServer(t *testing.T) (addr string, received <-chan struct{}, release chan<- struct{}) {
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

// slowResponse is what a client gets for the request "slow"; the zero value is for none.
type slowResponse struct {
	status int
	closes bool // the response announces the close of the connection
}

// sendSlow sends the request "slow" by a client, and returns a channel for its response.
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

// Clients that connect without a request, or keep idle connections, do not keep others from being accepted, and no
// connection with an open request is evicted for them.
func testIdleConnectionsAreEvicted(t *testing.T, b build) {
	addr, received, release := holdServer(t)
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
		if i%2 == 0 { // sends one request, and keeps its connection
			requestOnce(t, node, conn, i)
		}
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(headerTimeout / 2))
	if _, err := idle[0].Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection idle for longest is still open: %v", err)
	}
	close(release)
	releasedAfter := time.Since(sentAt)
	if resp := testkit.Receive(t, "the slow response", slow); resp.status != 200 {
		t.Errorf("the request that was open: %d; its server was released %v after it was sent", resp.status, releasedAfter)
	}
}

// requestOnce has a request served on a connection.
func requestOnce(t *testing.T, node string, conn net.Conn, i int) {
	t.Helper()
	if err := clientRequest(t, node, "GET", "read", fmt.Sprint("once", i), "").Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("request %d: %v, %v", i, resp, err)
	}
	_ = resp.Body.Close()
}

// incompleteRequests are what bad clients send before they stay silent; %d is for an ID.
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

// A client that sends an incomplete request soon gets a response or a close. The timeout for that does not end a
// complete request that waits for its response.
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
		t.Errorf("the good client: %d", resp.status)
	}
	for range incomplete {
		got := testkit.Receive(t, "the end of a bad client's connection", ended)
		if got != "" && !strings.HasPrefix(got, "HTTP/1.1 4") {
			t.Errorf("answered %.80q", got)
		}
	}
}

// A node that shuts down accepts requests for a while, answers those that are open, and exits.
func testGracefulShutdown(t *testing.T, b build) {
	addr, received, release := holdServer(t)
	node, stop := b.start(t, testConfig(t, knownList(addr)))
	client := &http.Client{Transport: &http.Transport{}} // keeps its connections
	defer client.CloseIdleConnections()
	slow := sendSlow(t, client, node)
	testkit.Receive(t, "the slow request", received)
	exited, began := make(chan error, 1), time.Now()
	go func() { exited <- stop() }()
	testkit.Await(t, "a node that isn't ready", func() bool { return isUnready(node) })
	expectServedAndKept(t, client, node)
	testkit.Await(t, "the end of accepting", func() bool {
		conn, err := net.Dial("tcp", node)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	if took := time.Since(began); took < 400*time.Millisecond {
		t.Errorf("accepted for %v only: clients are routed to the node for longer", took)
	}
	select {
	case err := <-exited:
		t.Fatalf("ended with a request open: %v", err)
	default:
	}
	close(release)
	if resp := testkit.Receive(t, "the slow response", slow); resp.status != 200 || !resp.closes {
		t.Errorf("the request that was open: %d, ends its connection: %v", resp.status, resp.closes)
	}
	if err := testkit.Receive(t, "the node's exit", exited); err != nil {
		t.Error(err)
	}
}

// isUnready tells whether a node answers, and says that it is not ready.
func isUnready(node string) bool {
	resp, err := oneShotClient().Get("http://" + node + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusServiceUnavailable
}

// expectServedAndKept checks that a node that shuts down serves a client, and keeps its connection: there may be no
// other node yet.
func expectServedAndKept(t *testing.T, client *http.Client, node string) {
	t.Helper()
	resp, err := client.Do(clientRequest(t, node, "GET", "read", "late", ""))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("a request to a node that shuts down: %d, ends its connection: %v", resp.StatusCode, resp.Close)
	}
}
