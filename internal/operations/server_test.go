package operations

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/testkit"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

type fakeNode struct{ serving, standby atomic.Bool }

func (n *fakeNode) Serving() bool                    { return n.serving.Load() }
func (n *fakeNode) AppendMetrics(page []byte) []byte { return append(page, "inflight=14\n"...) }
func (n *fakeNode) Active() error                    { n.standby.Store(false); return nil }

func (n *fakeNode) Standby() error {
	if n.standby.Swap(true) {
		return errors.New("the process is ending")
	}
	return nil
}

// startServer starts a server for node and returns the server's address. The server is closed when the test ends.
func startServer(t *testing.T, node Node) string {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := Serve(listener, node, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// dial connects to an address. The connection is closed when the test ends.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// exchange sends request, and returns everything that the server sends until it closes the connection.
func exchange(t *testing.T, address, request string) string {
	t.Helper()
	conn := dial(t, address)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, request) // the server may have closed the connection already
	if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	received, err := io.ReadAll(conn)
	if isTimeout(err) {
		t.Fatalf("%q: the server did not close the connection", request)
	}
	return string(received)
}

const statusRequest = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"

// TestServer_Requests checks that valid, unknown and malformed requests get the right responses. The requests are
// sent one after another.
func TestServer_Requests(t *testing.T) {
	node := new(fakeNode)
	address := startServer(t, node)
	for _, test := range []struct{ request, status, contains string }{
		{"GET /status", "503 ", ""},
		{"PUT /standby", "200 ", ""},
		{"PUT /standby", "409 ", "is ending"},
		{"PUT /active", "200 ", ""},
		{"GET /status/metrics", "200 ", "\r\n\r\ninflight=14\n"},
		{"GET /", "404 ", ""},
		{"GET /status/", "404 ", ""},
		{"GET /health/ready", "404 ", ""},
		{"POST /standby", "405 ", "Allow: PUT"},
		{"PUT /status", "405 ", "Allow: GET"},
		{"HEAD /status/metrics", "405 ", "Allow: GET"},
	} {
		answer := exchange(t, address, test.request+" HTTP/1.1\r\nHost: x\r\n\r\n")
		if !strings.HasPrefix(answer, "HTTP/1.1 "+test.status) || !strings.Contains(answer, test.contains) ||
			!strings.Contains(answer, "Connection: close") {
			t.Errorf("%s: unexpected response %q", test.request, answer)
		}
	}
	node.serving.Store(true)
	if answer := exchange(t, address, statusRequest+statusRequest); strings.Count(answer, "HTTP/1.1 200") != 1 {
		t.Errorf("two requests on one connection: got %q, want one response", answer)
	}
	for name, request := range map[string]string{
		"broken":   "GET /status\r\n\r\n",
		"too long": "GET /status HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n",
	} {
		if answer := exchange(t, address, request); !strings.HasPrefix(answer, "HTTP/1.1 4") {
			t.Errorf("%s: got %q, want a status of 400 to 499", name, answer)
		}
	}
}

// TestServer_StalledClients checks that stalled clients do not lock out other clients. The test opens three times as
// many connections as the limit allows, none with a complete request. Complete requests are still answered. The
// server eventually closes all stalled connections.
func TestServer_StalledClients(t *testing.T) {
	node := new(fakeNode)
	node.serving.Store(true)
	address := startServer(t, node)
	var stalled []net.Conn
	for i := range 3 * maxConns {
		conn := dial(t, address)
		if i%2 == 0 {
			_, _ = io.WriteString(conn, "GET /sta") // the server may have closed the connection already
		}
		stalled = append(stalled, conn)
		if i%maxConns == maxConns-1 {
			if answer := exchange(t, address, statusRequest); !strings.HasPrefix(answer, "HTTP/1.1 200") {
				t.Fatalf("after %d stalled connections: %q", i+1, answer)
			}
		}
	}
	for i, conn := range stalled {
		if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(conn); isTimeout(err) {
			t.Fatalf("the server did not close stalled connection %d", i)
		}
	}
}

// TestEvictingListener_KeepsCompleteRequests checks that a new connection replaces the oldest connection whose
// request is incomplete. If all requests are complete, the new connection waits.
func TestEvictingListener_KeepsCompleteRequests(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := newEvictingListener(inner, 2)
	defer func() { _ = listener.Close() }()
	connect := func() net.Conn {
		t.Helper()
		dial(t, inner.Addr().String())
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	first, second := connect(), connect()
	listener.handleStateChange(first, http.StateActive)
	third := connect()
	if _, isOpen := listener.open[first]; !isOpen || len(listener.open) != 2 {
		t.Errorf("%d connections are open, want 2; the one with a complete request is open: %v", len(listener.open), isOpen)
	}
	if _, err := second.Write([]byte("x")); err == nil {
		t.Error("the connection without a complete request was not closed")
	}
	listener.handleStateChange(third, http.StateActive)
	accepted := make(chan net.Conn)
	go func() { // this goroutine ends when the fourth connection is accepted
		client, err := net.Dial("tcp", inner.Addr().String())
		if err == nil {
			defer func() { _ = client.Close() }()
		}
		conn, _ := listener.Accept()
		accepted <- conn
	}()
	testkit.Await(t, "the fourth connection to wait", func() bool {
		select {
		case <-accepted:
			t.Fatal("a fourth connection was accepted while all requests are being answered")
		default:
		}
		listener.mu.Lock()
		defer listener.mu.Unlock()
		return len(listener.open) == 2
	})
	listener.handleStateChange(first, http.StateClosed)
	conn := <-accepted
	if conn == nil {
		t.Fatal("no connection was accepted")
	}
	_ = conn.Close()
}
