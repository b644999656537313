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

// All connection slots are taken and each connection has a request: the next connection is accepted when one ends, and
// none that has a request, or an unread one on its way, is closed for another.
func TestConnectionLimit_FreesSlotsForNewClients(t *testing.T) {
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 64 })
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	load := &crowd{env: env}
	var clients sync.WaitGroup
	for i := range 48 { // three times the number of slots
		clients.Go(func() { load.runClient(i) })
	}
	clients.Wait()
	t.Logf("%d served, %d sent again", load.served, load.resent)
	if load.served != 48*25 {
		t.Errorf("%d served", load.served)
	}
}

// crowd counts the requests of more clients than the node has connection slots.
type crowd struct {
	env *harness

	mu             sync.Mutex
	served, resent int
}

// runClient sends 25 requests on a connection. Where the node's close of an idle connection crosses a request, it is
// sent again on a new one.
func (l *crowd) runClient(i int) {
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
			l.env.t.Errorf("answered %d", status)
			return
		default:
			if servers := l.env.serversReached(id); len(servers) > 0 {
				l.env.t.Errorf("lost after it went to %v (new connection: %v)", servers, isNew)
				return
			}
			l.count(&l.resent)
			client = nil
		}
	}
}

func (l *crowd) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// badClients are what clients do that send without reading, send nonsense, or send nothing.
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

// Some clients send much at once and close, stay silent, send half a head or nonsense, or never read: well-behaved ones
// are served beside them, and no request of a bad client stays open.
func TestWellBehavedClients_ServedBesideBadOnes(t *testing.T) {
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 128 })
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	for i := range 240 {
		badClients[i%len(badClients)](env.dial(), i)
		if i%6 == 5 {
			env.expectServed(fmt.Sprint("well", i))
		}
	}
	env.awaitStatus("the end of all requests", noOpenRequests)
	env.mu.Lock()
	defer env.mu.Unlock()
	seen := make(map[string]int)
	for _, f := range env.forwarded {
		if seen[f.id]++; seen[f.id] > 1 {
			t.Errorf("%s ran twice", f.id)
		}
	}
}

// A client pipelines a second request, so that net/http has read it before serving it. The node is terminated, or frees
// connection slots for others, while either request is at its server: the connection has a request in it, and is not
// closed as idle. Or the second request is not forwarded, where the response to the first closes the connection.
func TestPipelinedRequest_KeepsConnectionOpen(t *testing.T) {
	for _, how := range []string{"the node ends", "room is made"} {
		for _, at := range []string{"one", "two"} {
			t.Run(fmt.Sprint(how, "/", at), func(t *testing.T) {
				t.Parallel()
				testPipelinedRequest(t, how == "the node ends", at)
			})
		}
	}
}

// testPipelinedRequest terminates the node, or crowds it, while the request blockedID is at its server.
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
		testkit.Await(t, "the end of readiness", func() bool { return !env.isReady() })
	} else {
		for range 40 { // more than there are slots
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
		return // the response to the first has announced the close of the connection
	}
	if err != nil || status != http.StatusOK || body != "done two" {
		t.Errorf("answered %d %q, %v; it went to %v", status, body, err, servers)
	}
}
