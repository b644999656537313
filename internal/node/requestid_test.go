package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/internal/sockets"
	"cobaltward/internal/testkit"
)

// bookingHead is the head of a request of the class rezervacia. Its parameters are the ID and the length of the body.
const bookingHead = "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: %s\r\nX-Class: rezervacia\r\n" +
	"X-Deadline-Ms: 30000\r\nContent-Length: %d\r\n\r\n"

// sendCopy sends a short request with the given ID over a new connection, and returns the status of the response.
func (n *testNode) sendCopy(id string) int {
	n.t.Helper()
	conn := dialClient(n.t, n.addr)
	_, _ = fmt.Fprintf(conn, bookingHead+"{}", id, 2)
	return responseStatus(n.t, conn)
}

// responseStatus reads a response and returns its status.
func responseStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Errorf("reading the response: %v", err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestID_InUseWhileBodyArrives guards against a bad client that sends the ID of a request whose body is still arriving:
// it must not be served, and the other request must be. The ID of a request that breaks off is free at once.
func TestID_InUseWhileBodyArrives(t *testing.T) {
	for name, test := range map[string]struct {
		size     int
		memoryMB int64
	}{"short": {1 << 10, 64}, "buffered": {100 << 10, 64}, "streamed": {200 << 10, 0}} {
		t.Run(name, func(t *testing.T) {
			node := newTestNode(t, 0)
			node.memoryMB = test.memoryMB
			var executions atomic.Int64
			node.addServers(func(_ http.ResponseWriter, r *http.Request) {
				if n, err := io.Copy(io.Discard, r.Body); err == nil && n == int64(test.size) {
					executions.Add(1)
				}
			})
			node.startWithClient()
			begin := func(id string) net.Conn {
				conn := dialClient(t, node.addr)
				_, _ = fmt.Fprintf(conn, bookingHead+"x", id, test.size)
				testkit.Await(t, "the head to be read", func() bool {
					return node.metrics()["request_ids.in_use"] == 1
				})
				return conn
			}
			conn := begin("p1")
			if status := node.sendCopy("p1"); status != http.StatusConflict {
				t.Errorf("copy of a request whose body is arriving: status %d, want 409", status)
			}
			_, _ = io.WriteString(conn, strings.Repeat("x", test.size-1))
			if status := responseStatus(t, conn); status != http.StatusOK || executions.Load() != 1 {
				t.Errorf("request with a slow body: status %d, %d requests executed; want 200 and 1", status, executions.Load())
			}
			if test.memoryMB == 0 {
				return // a part of a body that breaks off may have reached the server
			}
			_ = begin("p2").Close()
			testkit.Await(t, "the ID of the request that broke off to be free", func() bool {
				return node.sendCopy("p2") == http.StatusOK
			})
		})
	}
}

// TestID_InUseWhileClientReads guards against a bad client that sends the ID of a request whose answer is written, but
// not sent, because its client reads slowly. The request must be in flight until the answer is sent or the client
// disconnects.
func TestID_InUseWhileClientReads(t *testing.T) {
	const long, short = 300 << 10, 60 << 10
	for name, test := range map[string]struct {
		size       int64
		chunked    bool
		disconnect bool
	}{
		"length":      {size: long},
		"chunked":     {size: long, chunked: true},
		"short":       {size: short},
		"disconnects": {size: long, disconnect: true},
	} {
		t.Run(name, func(t *testing.T) {
			node := newTestNode(t, 0)
			var executions atomic.Int64
			node.addServers(func(w http.ResponseWriter, _ *http.Request) {
				executions.Add(1)
				if !test.chunked {
					w.Header().Set("Content-Length", fmt.Sprint(test.size))
				}
				_, _ = io.Copy(w, &patternReader{size: test.size})
			})
			node.startWithClient()
			conn := testkit.DialSlowReader(t, node.addr)
			_, _ = fmt.Fprintf(conn, bookingHead+"{}", "p1", 2)
			testkit.Await(t, "the answer to be written", func() bool { return node.metrics()["success.rezervacia"] == 1 })
			time.Sleep(5 * sockets.SendCheckInterval)
			if inFlight := node.metrics()["inflight"]; inFlight != 1 {
				t.Errorf("%d requests in flight while the client reads, want 1", inFlight)
			}
			if status := node.sendCopy("p1"); status != http.StatusConflict {
				t.Errorf("copy of a request whose answer is being read: status %d, want 409", status)
			}
			if test.disconnect {
				_ = conn.Close()
			} else if status := responseStatus(t, conn); status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
			testkit.Await(t, "the request to end", func() bool { return node.metrics()["inflight"] == 0 })
			if executions.Load() != 1 {
				t.Errorf("%d requests executed, want 1", executions.Load())
			}
		})
	}
}

// TestShutdown_SlowReaderGetsWholeAnswer checks that a shutdown does not cut off an answer that is written and that its
// client has not read, and that it does not wait for the client.
func TestShutdown_SlowReaderGetsWholeAnswer(t *testing.T) {
	const size = 300 << 10
	for name, length := range map[string]string{"length": fmt.Sprint(size), "chunked": ""} {
		t.Run(name, func(t *testing.T) {
			node := newTestNode(t, 0)
			node.addServers(func(w http.ResponseWriter, _ *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				_, _ = io.Copy(w, &patternReader{size: size})
			})
			stop, ended := node.start()
			conn := testkit.DialSlowReader(t, node.addr)
			_, _ = fmt.Fprintf(conn, bookingHead+"{}", "p1", 2)
			testkit.Await(t, "the answer to be written", func() bool { return node.metrics()["success.rezervacia"] == 1 })
			http.DefaultClient.CloseIdleConnections() // used by the metrics method
			stop()
			if err := testkit.Receive(t, "the node's end", ended); err != nil {
				t.Error(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(testkit.MaxWait))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			if err := checkPattern(resp.Body, size); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("status %d, body: %v", resp.StatusCode, err)
			}
		})
	}
}
