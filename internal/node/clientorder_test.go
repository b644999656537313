package node

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

const (
	// timeoutMargin is the time that the tests add to a timeout of the node to act safely after its end.
	timeoutMargin = 200 * time.Millisecond
	// shortTimeout is the head timeout and the idle timeout in serveShortTimeouts.
	shortTimeout = 300 * time.Millisecond
	// smallRequest is a complete request without a body.
	smallRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

// readStatus reads a response and returns its status.
func readStatus(conn net.Conn) (int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// serveShortTimeouts serves a listener with net/http until the test ends. The head and idle timeouts are
// shortTimeout.
func serveShortTimeouts(t *testing.T) *clientListener {
	t.Helper()
	listener := newTestListener(t, 4)
	listener.headTimeout, listener.idleTimeout = shortTimeout, shortTimeout
	server := &http.Server{
		ConnContext: withClientConn,
		ConnState:   func(conn net.Conn, state http.ConnState) { conn.(*clientConn).onStateChange(state) },
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		_ = testkit.Receive(t, "the server's end", ended)
	})
	return listener
}

// TestIdleEnd_RequestBeforeFinalRead checks that a request is served if it arrives just after the read deadline of an
// idle connection. The reader then waits for the mutex to read one final time. The connection is new or has carried a
// request.
func TestIdleEnd_RequestBeforeFinalRead(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(fmt.Sprintf("kept %v", kept), func(t *testing.T) {
			listener := serveShortTimeouts(t)
			client := dialClient(t, listener.Addr().String())
			if kept {
				_, _ = io.WriteString(client, smallRequest)
				if status, err := readStatus(client); status != http.StatusOK {
					t.Fatal(status, err)
				}
			}
			testkit.Await(t, "the idle connection", func() bool {
				open, busy := listener.connCounts()
				return open == 1 && busy == 0
			})
			listener.mu.Lock() // the final read waits for the mutex
			time.Sleep(shortTimeout + timeoutMargin)
			_, _ = io.WriteString(client, smallRequest)
			time.Sleep(timeoutMargin / 10) // lets the bytes arrive
			listener.mu.Unlock()
			if status, err := readStatus(client); status != http.StatusOK {
				t.Errorf("status %d, %v", status, err)
			}
			if got := listener.unansweredCounts(); got != (unansweredCounts{}) {
				t.Errorf("unanswered counts %+v", got)
			}
		})
	}
}

// isConnectionEnd reports whether err is the end of a connection and not a timeout.
func isConnectionEnd(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// TestUnanswered_AnsweredIsNotCounted checks that readiness checks and malformed requests are not counted as
// unanswered. The node answers both itself.
func TestUnanswered_AnsweredIsNotCounted(t *testing.T) {
	node := newTestNode(t, 0)
	node.addServers(func(http.ResponseWriter, *http.Request) {})
	client := node.startWithClient()
	for _, path := range []string{readyPath, "/api"} {
		before := node.metrics()
		const requests = 3
		for range requests {
			resp, err := client.Get("http://" + node.addr + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
		if after := node.metrics(); after["unanswered.timeout"] != before["unanswered.timeout"] {
			t.Errorf("%s: unanswered.timeout %d, then %d after %d answered requests",
				path, before["unanswered.timeout"], after["unanswered.timeout"], requests)
		}
	}
}

// TestUnanswered_CountsConnectionOnce checks that a connection that times out within a head is counted once, although
// net/http reads from the connection more than once.
func TestUnanswered_CountsConnectionOnce(t *testing.T) {
	listener := serveShortTimeouts(t)
	client := dialClient(t, listener.Addr().String())
	_, _ = io.WriteString(client, strings.TrimSuffix(smallRequest, "\r\n\r\n"))
	if status, err := readStatus(client); status != 0 || !isConnectionEnd(err) {
		t.Fatalf("status %d, %v, want an end of the connection", status, err)
	}
	testkit.Await(t, "the connection's end", func() bool {
		open, _ := listener.connCounts()
		return open == 0
	})
	if got := listener.unansweredCounts(); got != (unansweredCounts{timeouts: 1}) {
		t.Errorf("unanswered counts %+v, want one timeout", got)
	}
}
