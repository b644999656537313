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

// maxAnswerDelay is how long after the client's deadline a response may arrive; a later one counts as lost.
const maxAnswerDelay = 500 * time.Millisecond

// TestBusyConnections_DelayNoAnswer occupies the node's connections with requests that wait for a hung server. A
// client with a short deadline that connects then must still get a final response within maxAnswerDelay.
func TestBusyConnections_DelayNoAnswer(t *testing.T) { testBusyConnections(t, 1) }

// TestBusyConnections_LongDeadlinesDelayNoAnswer is TestBusyConnections_DelayNoAnswer with long deadlines for all
// classes.
func TestBusyConnections_LongDeadlinesDelayNoAnswer(t *testing.T) { testBusyConnections(t, 8) }

// testBusyConnections multiplies the deadlines of all classes by scale.
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
	time.Sleep(50 * time.Millisecond) // no metric shows when the other connections have been accepted
	for i := range 3 {
		expectAnswer(t, addr, fmt.Sprint("short", i), 100*time.Millisecond)
	}
}

// TestWaitForSlot_TimeoutBeforeWait guards against a lost wakeup: on a busy host the timer of a wait may fire before
// the wait has begun, and the wait must still end.
func TestWaitForSlot_TimeoutBeforeWait(t *testing.T) {
	const rounds = 400_000 // enough that the timer fires first in some of them
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

// TestPartialHeads_DelayNoAnswer occupies the node's connections with clients that stop within a head. A client that
// connects then must get its final response in time.
func TestPartialHeads_DelayNoAnswer(t *testing.T) {
	testPartialRequests(t, "GET /api HT")
}

// TestPartialBodies_DelayNoAnswer is TestPartialHeads_DelayNoAnswer with clients that stop within a short or a long
// body, or within the body of a request that is rejected because of its head.
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

// testPartialRequests has clients send only a part of a request, and requires that other clients are answered.
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

// expectAnswer sends a request on a new connection, and requires any response within its deadline plus maxAnswerDelay.
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
