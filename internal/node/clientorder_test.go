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
	// lateBy is by how much a party of these tests is later than a time of the node.
	lateBy = 200 * time.Millisecond
	// shortTimeout is the time for a head, and of idle connections, of serveShortTimeouts.
	shortTimeout = 300 * time.Millisecond
	// smallRequest is a request that serveShortTimeouts answers.
	smallRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
)

// readStatus returns the status of the next answer.
func readStatus(conn net.Conn) (int, error) {
	_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// serveShortTimeouts has net/http serve a listener, with shortTimeout, until the test's end.
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

// TestIdleEnd_RequestAheadOfLastLook has a request come after a read deadline was found to have passed, while the
// reader waits to take its last look, on a new connection and on one that was idle: it is served.
func TestIdleEnd_RequestAheadOfLastLook(t *testing.T) {
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
			listener.mu.Lock() // which the reader takes for its last look
			time.Sleep(shortTimeout + lateBy)
			_, _ = io.WriteString(client, smallRequest)
			time.Sleep(lateBy / 10) // for the bytes to arrive
			listener.mu.Unlock()
			if status, err := readStatus(client); status != http.StatusOK {
				t.Errorf("status %d, %v", status, err)
			}
			if got := listener.unansweredCounts(); got != (unansweredCounts{}) {
				t.Errorf("counted %+v", got)
			}
		})
	}
}

// isConnectionEnd reports whether err is the end of a connection, and no timeout.
func isConnectionEnd(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// TestUnanswered_AnsweredIsNotCounted: readiness checks and malformed requests are answered.
func TestUnanswered_AnsweredIsNotCounted(t *testing.T) {
	w := newTestNode(t, 0)
	w.serveBy(func(http.ResponseWriter, *http.Request) {})
	client := w.startWithClient()
	for _, path := range []string{readyPath, "/api"} {
		before := w.metrics()
		const requests = 3
		for range requests {
			resp, err := client.Get("http://" + w.addr + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		}
		if after := w.metrics(); after["unanswered.timeout"] != before["unanswered.timeout"] {
			t.Errorf("%s: unanswered.timeout %d, then %d after %d answered requests",
				path, before["unanswered.timeout"], after["unanswered.timeout"], requests)
		}
	}
}

// TestUnanswered_CountsConnectionOnce has one connection end within a head, of which net/http reads more than once.
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
		t.Errorf("%+v, want one timeout", got)
	}
}
