package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/testkit"
)

// maxAnswerDelay is the maximum delay of a response after the client's deadline. A later response counts as lost.
const maxAnswerDelay = 500 * time.Millisecond

// TestBusyConnections_DelayNoAnswer checks that a client with a short deadline gets a final response at most
// maxAnswerDelay after the deadline. All connections of the node are occupied by requests that wait for a hung
// server.
func TestBusyConnections_DelayNoAnswer(t *testing.T) { testBusyConnections(t, 1) }

// TestBusyConnections_LongDeadlinesDelayNoAnswer is like TestBusyConnections_DelayNoAnswer, with long deadlines for
// all classes.
func TestBusyConnections_LongDeadlinesDelayNoAnswer(t *testing.T) { testBusyConnections(t, 8) }

// testBusyConnections runs the test with the deadlines of all classes multiplied by scale.
func testBusyConnections(t *testing.T, scale time.Duration) {
	t.Helper()
	server, addr := runWithHoldingServerScaled(t, minDescriptors, scale, func(l net.Listener) net.Listener { return l })
	defer close(server.release)
	for i := range minDescriptors { // more than the node accepts
		conn := dialClient(t, addr)
		_, _ = io.WriteString(conn, nonIdempotentRequest(fmt.Sprint("busy", i), scale*1200*time.Millisecond))
	}
	testkit.Await(t, "the first busy request at the server", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.received) > 0
	})
	time.Sleep(50 * time.Millisecond) // no metric shows when the other connections are accepted
	for i := range 3 {
		expectAnswer(t, addr, fmt.Sprint("short", i), 100*time.Millisecond)
	}
}

// TestWaitForSlot_TimeoutBeforeWait checks that a wait ends even if its timer fires before the wait has begun, as on
// a busy host. The wakeup must not be lost.
func TestWaitForSlot_TimeoutBeforeWait(t *testing.T) {
	const rounds = 400_000 // enough rounds for the timer to fire first in some of them
	listener := newTestListener(t, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		listener.mu.Lock()
		defer listener.mu.Unlock()
		for range rounds {
			listener.waitForSlotLocked(0)
		}
	}()
	testkit.Receive(t, "the end of the waits", ended)
}

// TestPartialHeads_DelayNoAnswer checks that a new client gets its final response at most maxAnswerDelay after its
// deadline. All connections of the node are occupied by clients that have sent only a part of a head.
func TestPartialHeads_DelayNoAnswer(t *testing.T) {
	testPartialRequests(t, "GET /api HT")
}

// TestPartialBodies_DelayNoAnswer is like TestPartialHeads_DelayNoAnswer, for clients that have sent only a part of a
// body. The body is short, long, or part of a request that is rejected because of its head.
func TestPartialBodies_DelayNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"short": nonIdempotentRequest("half", time.Minute), "long": nonIdempotentRequest("half", time.Minute),
		"rejected": "POST /x HTTP/1.1\r\nHost: x\r\nX-Class: none\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			length := "Length: 9"
			if name == "long" {
				length = "Length: 60000"
			}
			testPartialRequests(t, strings.Replace(head, "Length: 0", length, 1)+"half")
		})
	}
}

// testPartialRequests checks that clients are answered while other clients have sent only part of a request.
func testPartialRequests(t *testing.T, part string) {
	t.Helper()
	server, addr := runWithHoldingServer(t, minDescriptors, func(l net.Listener) net.Listener { return l })
	close(server.release)
	for range 2 * minDescriptors {
		_, _ = io.WriteString(dialClient(t, addr), part) // the node may have closed the connection already
	}
	for i := range 5 {
		expectAnswer(t, addr, fmt.Sprint("well", i), 300*time.Millisecond)
	}
}

// expectAnswer sends a request on a new connection. It requires any response within deadline plus maxAnswerDelay.
func expectAnswer(t *testing.T, addr, id string, deadline time.Duration) {
	t.Helper()
	conn := dialClient(t, addr)
	sent := time.Now()
	_, _ = io.WriteString(conn, nonIdempotentRequest(id, deadline))
	_ = conn.SetReadDeadline(sent.Add(deadline + maxAnswerDelay))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response %v after the request was sent: %v", time.Since(sent), err)
	}
	_ = response.Body.Close()
}
