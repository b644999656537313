package racetest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
)

// TestConnectionLimit_FreesSlotsForNewClients checks that the node serves three times as many clients as it has
// connection slots. The node must accept a waiting connection when another connection becomes idle or ends. It must
// not close a connection after it has forwarded a request from that connection.
func TestConnectionLimit_FreesSlotsForNewClients(t *testing.T) {
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 64 })
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	load := &excessClients{env: env}
	var clients sync.WaitGroup
	for i := range 48 { // three times the number of slots
		clients.Go(func() { load.runClient(i) })
	}
	clients.Wait()
	t.Logf("%d requests served, %d sent again on a new connection", load.served, load.resent)
	if load.served != 48*25 {
		t.Errorf("%d requests served, want 48*25", load.served)
	}
}

// excessClients counts the outcomes of the requests of more clients than the node has connection slots.
type excessClients struct {
	env *harness

	mu             sync.Mutex
	served, resent int
}

// runClient sends 25 requests of client i, one after the other, on one connection. If the node closes the idle
// connection while a request is in transit, the client sends the request again on a new connection.
func (l *excessClients) runClient(i int) {
	var client *clientConn
	for n := 0; n < 25; {
		if client == nil {
			client = l.env.dial()
		}
		isNew := client.reader.Buffered() == 0 && n == 0
		id := fmt.Sprintf("c%d-%d", i, n)
		status, _, err := client.roundTrip(requestText(id, "pay", ""))
		switch {
		case err == nil && status == http.StatusOK:
			l.count(&l.served)
			n++
		case err == nil:
			l.env.t.Errorf("response status %d, want 200", status)
			return
		default:
			if servers := l.env.serversReached(id); len(servers) > 0 {
				l.env.t.Errorf("the response was lost after an attempt at %v (new connection: %v)", servers, isNew)
				return
			}
			l.count(&l.resent)
			client = nil
		}
	}
}

func (l *excessClients) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// badClients are the actions of misbehaving clients. The clients send without reading responses, send invalid data,
// or send nothing.
var badClients = []func(c *clientConn, i int){
	func(c *clientConn, i int) {
		_, _ = io.WriteString(c, strings.Repeat(requestText(fmt.Sprint("much", i), "read", ""), 200))
		c.reset()
	},
	func(c *clientConn, _ int) {
		_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: h\r\n")
		c.close()
	},
	func(c *clientConn, _ int) {
		_, _ = io.WriteString(c, strings.Repeat("\x00\xff", 4096))
		c.close()
	},
	func(c *clientConn, _ int) {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 40))
		c.reset()
	},
	func(c *clientConn, i int) {
		_ = c.SetReadBuffer(1)
		_, _ = io.WriteString(c, requestText(fmt.Sprint("mute", i), "read", ""))
	},
	func(*clientConn, int) {},
}

// TestWellBehavedClients_ServedBesideBadOnes checks that the node serves well-behaved clients beside the misbehaving
// clients in badClients. The node must forward each request at most once, and no request may stay open.
func TestWellBehavedClients_ServedBesideBadOnes(t *testing.T) {
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 128 })
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	for i := range 240 {
		badClients[i%len(badClients)](env.dial(), i)
		if i%6 == 5 {
			env.expectServed(fmt.Sprint("good", i))
		}
	}
	env.awaitStatus("the end of all requests", noOpenRequests)
	env.mu.Lock()
	defer env.mu.Unlock()
	seen := make(map[string]int)
	for _, f := range env.forwarded {
		if seen[f.id]++; seen[f.id] > 1 {
			t.Errorf("request %s was forwarded more than once", f.id)
		}
	}
}

// TestPipelinedRequest_KeepsConnectionOpen checks that the node does not close a connection as idle while the
// connection has a pipelined request. net/http buffers the second request before the node serves it. While one of the
// two requests is at the server, the node is terminated or must free connection slots. If the response to the first
// request announces a close, the node must not forward the second request.
func TestPipelinedRequest_KeepsConnectionOpen(t *testing.T) {
	for _, how := range []string{"termination", "eviction"} {
		for _, at := range []string{"one", "two"} {
			t.Run(fmt.Sprint(how, "/", at), func(t *testing.T) {
				t.Parallel()
				testPipelinedRequest(t, how == "termination", at)
			})
		}
	}
}

// testPipelinedRequest terminates the node if terminate is set, and otherwise opens more connections than the node
// has slots. The request with the ID blockedID is then at the server.
func testPipelinedRequest(t *testing.T, terminate bool, blockedID string) {
	t.Helper()
	reached, proceed := make(chan string, 2), make(chan bool)
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 64 })
	env.addEndpoints(endpoint("s0", env.startServer("s0", func(req serverRequest) bool {
		if req.id == blockedID {
			reached <- req.id
			<-proceed
		}
		return req.respond("done " + req.id)
	})))
	env.start()
	client := env.dial().send(requestText("one", "read", "") + requestText("two", "pay", ""))
	if blockedID == "two" {
		client.expectStatus(http.StatusOK)
	}
	testkit.Receive(t, "the request at its server", reached)
	if terminate {
		env.terminate()
		testkit.Await(t, "the node to be unready", func() bool { return !env.isReady() })
	} else {
		for range 40 { // more connections than the node has slots
			env.dial()
		}
		env.awaitStatus("no free connection slot", func(s node.Status) bool { return s.Connections.Clients >= 16 })
		testkit.Await(t, "another client to be accepted", env.isReady)
	}
	close(proceed)
	if blockedID == "one" {
		client.expectStatus(http.StatusOK)
	}
	status, body, err := client.readResponse()
	servers := env.serversReached("two")
	if blockedID == "one" && terminate && err != nil && len(servers) == 0 {
		return // the response to the first request announced the close of the connection
	}
	if err != nil || status != http.StatusOK || body != "done two" {
		t.Errorf("second request: status %d, body %q, error %v, forwarded to %v", status, body, err, servers)
	}
}
