package racetest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/msgpackrpc"
)

// disconnects holds the functions with which tests disconnect a client, by name.
var disconnects = map[string]func(c *clientConn){
	"FIN":        func(c *clientConn) { c.close() },
	"RST":        func(c *clientConn) { c.reset() },
	"half-close": func(c *clientConn) { _ = c.CloseWrite() },
}

// TestClientGone_WhileRequestIsQueued checks that the node does not forward a queued request whose client has
// disconnected. The request is queued because no server is listed. Some clients send more data after the request. A
// server is listed after the disconnect, and the node must serve a later request.
func TestClientGone_WhileRequestIsQueued(t *testing.T) {
	for behind, pipelined := range map[string]string{
		"nothing":            "",
		"one byte":           "G",
		"a request":          requestText("next", "read", ""),
		"many requests":      strings.Repeat(requestText("next", "read", ""), 40) + "GET /api HT",
		"a POST with a body": requestText("next", "pay", strings.Repeat("x", 3000)),
	} {
		for way, disconnect := range disconnects {
			for _, class := range []string{"read", "pay", "undo"} {
				t.Run(fmt.Sprint(behind, " behind/", way, "/", class), func(t *testing.T) {
					t.Parallel()
					env := newHarness(t, nil).start()
					client := env.dial().send(requestText("gone", class, "sum"))
					env.awaitStatus("the queued request", queuedRequests(1))
					if pipelined != "" {
						client.send(pipelined)
					}
					disconnect(client)
					env.awaitStatus("the disconnect to be noticed", noOpenRequests)
					env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up"))
					env.expectServed("after")
					env.awaitStatus("the end of all requests", noOpenRequests)
					env.expectNotForwarded("gone")
					if way != "half-close" {
						env.expectNotForwarded("next")
					}
				})
			}
		}
	}
}

// TestClientGone_BetweenAttempts checks that the node makes no second attempt for a request whose client has
// disconnected. The only listed server rejects the request. The client disconnects while the request waits for its
// second attempt. Another server is listed after the disconnect.
func TestClientGone_BetweenAttempts(t *testing.T) {
	for way, disconnect := range disconnects {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, nil).start()
			full := env.startServer("full", func(req serverRequest) bool {
				return req.write("HTTP/1.1 503 F\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			})
			env.discovery.publish(listEntry("full", full, "up"))
			client := env.dial().send(requestText("gone", "pay", ""))
			env.awaitStatus("the wait between two attempts", func(s node.Status) bool {
				waits := s.Requests.Queued+s.Requests.Open > 0 && s.Requests.AttemptsInFlight == 0
				return waits && len(env.serversReached("gone")) == 1
			})
			disconnect(client)
			env.awaitStatus("the disconnect to be noticed", noOpenRequests)
			env.discovery.publish(listEntry("good", env.startServer("good", nil), "up"))
			env.expectServed("after")
			env.awaitStatus("the end of all requests", noOpenRequests)
			if servers := env.serversReached("gone"); len(servers) != 1 {
				t.Errorf("the request was forwarded to %v, want only the first server", servers)
			}
		})
	}
}

// TestClientGone_DuringDial checks that the node does not forward a request whose client disconnects during the dial
// to the only server. The dial succeeds after the disconnect. The node must not forward the request even if the
// settings forbid the node to cancel attempts.
func TestClientGone_DuringDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("cancel ", cancel), func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, func(c *node.Config) { c.Settings.Capabilities.Cancel = cancel })
			addr, unblock := env.startBlockedServer("s0")
			env.addEndpoints(endpoint("s0", addr))
			env.start()
			client := env.dial().send(requestText("gone", "pay", ""))
			env.awaitStatus("an attempt in flight", func(s node.Status) bool { return s.Requests.AttemptsInFlight == 1 })
			client.reset()
			env.awaitStatus("the disconnect to be noticed", func(s node.Status) bool { return s.Requests.Open == 0 })
			unblock()
			env.awaitStatus("the end of the attempt", noOpenRequests)
			env.expectServed("after")
			env.expectNotForwarded("gone")
		})
	}
}

// TestClientGone_BeforeRequestIsRead checks that the node does not forward a request whose client disconnects before
// the node reads the request. The node reads the request late because it has no free connection slot.
func TestClientGone_BeforeRequestIsRead(t *testing.T) {
	for way, disconnect := range disconnects {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 64 }).start()
			var busy []*clientConn
			for i := range 16 { // with 64 descriptors the node has 16 connection slots
				busy = append(busy, env.dial().send(requestText(fmt.Sprint("busy", i), "read", "")))
			}
			env.awaitStatus("all connection slots to be taken", queuedRequests(16))
			disconnecting := env.dial().send(requestText("gone", "read", ""))
			env.awaitStatus("the connection that waits for a slot", func(s node.Status) bool {
				return s.Connections.Clients == 17
			})
			disconnect(disconnecting)
			env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up"))
			for _, client := range busy {
				client.expectStatus(http.StatusOK)
				client.close()
			}
			env.expectServed("after")
			env.awaitStatus("the end of all requests", func(s node.Status) bool {
				return noOpenRequests(s) && s.Connections.Clients == 0 || way == "half-close" && noOpenRequests(s)
			})
			if way != "RST" { // the node cannot read a request from a connection that was reset
				env.expectNotForwarded("gone")
			}
		})
	}
}

// TestClientGone_WithinBody checks that no server gets a complete request whose client disconnects while sending the
// body or right after it. In some cases the node has buffered a part of the body, and has not yet read the rest from
// the socket.
func TestClientGone_WithinBody(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for name, part := range map[string]int{
		"nothing of it": 0, "half of it": 100 << 10, "all but a byte": 200<<10 - 1, "all of it": 200 << 10,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, func(c *node.Config) { c.MemoryMB = 1 }).start() // with 1 MB the node buffers 64 KiB of a body
			client := env.dial()
			request := requestText("gone", "pay", body)
			sent := request[:len(request)-len(body)+part]
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.WriteString(client, sent)
			}()
			if part > 90<<10 {
				env.awaitStatus("the queued request", queuedRequests(1))
			}
			testkit.Receive(t, "the last byte to be written", written)
			client.close()
			env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up"))
			env.expectServed("after")
			env.awaitStatus("the end of all requests", noOpenRequests)
			env.expectNotForwarded("gone")
		})
	}
}

// TestRPCClientGone_WhileCallsAreQueued checks that the node forwards no call of a MessagePack-RPC client that
// disconnects while its calls are queued. Two calls are queued, and a third call exceeds the maximum number per
// connection. The node therefore stops reading from the connection, but must still notice the disconnect.
func TestRPCClientGone_WhileCallsAreQueued(t *testing.T) {
	env := newHarness(t, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	env.config.Msgpack = node.Msgpack{Listener: ln, MaxCallsPerConn: 2}
	env.start()
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var calls []byte
	for i := range 3 {
		call := msgpackrpc.Call{
			ID: fmt.Sprint("gone", i), Class: "pay", Tenant: "t", Timeout: time.Minute, Target: "/api",
		}
		calls = msgpackrpc.AppendCall(calls, uint32(i), &call)
	}
	if _, err := conn.Write(calls); err != nil {
		t.Fatal(err)
	}
	env.awaitStatus("the queued calls", queuedRequests(2))
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	env.awaitStatus("the disconnect to be noticed", noOpenRequests)
	env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up"))
	env.expectServed("after")
	env.awaitStatus("the end of all requests", noOpenRequests)
	for i := range 3 {
		env.expectNotForwarded(fmt.Sprint("gone", i))
	}
}

// TestClientGone_AsResponseArrives checks that a request runs exactly once if its client disconnects when the server
// responds. No request or connection may stay open.
func TestClientGone_AsResponseArrives(t *testing.T) {
	clients := make(chan *clientConn, 1)
	env := newHarness(t, nil)
	addr := env.startServer("s0", func(req serverRequest) bool {
		if strings.HasPrefix(req.id, "r") {
			(<-clients).reset()
		}
		return req.respond("done")
	})
	env.addEndpoints(endpoint("s0", addr))
	env.start()
	for i := range 200 {
		id := fmt.Sprint("r", i)
		client := env.dial()
		clients <- client
		client.send(requestText(id, []string{"read", "pay", "undo"}[i%3], ""))
		testkit.Await(t, id+" at its server", func() bool { return len(env.serversReached(id)) == 1 })
	}
	env.awaitStatus("the end of all requests", func(s node.Status) bool {
		return noOpenRequests(s) && s.Connections.Clients == 0
	})
	env.expectServed("after")
	for i := range 200 {
		if servers := env.serversReached(fmt.Sprint("r", i)); len(servers) != 1 {
			t.Errorf("request r%d was forwarded to %v, want one attempt", i, servers)
		}
	}
}

// TestClientGone_ThousandQueuedRequests checks that the node forwards no request of 1,000 clients that disconnect
// while their requests are queued. 800 clients disconnect one by one, and 200 at once. The node must serve 50 other
// clients, which stay connected, after a server is listed.
func TestClientGone_ThousandQueuedRequests(t *testing.T) {
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 1024 }).start()
	const staying = 50
	responses := make(chan int, staying)
	for i := range staying {
		go func() { responses <- env.request(fmt.Sprint("stayed", i), "read") }()
	}
	env.awaitStatus("the requests of clients that stay", queuedRequests(staying))
	for n := range 800 {
		env.disconnectQueued(n, staying)
	}
	var burst []*clientConn
	for n := 800; n < 1000; n++ {
		burst = append(burst, env.sendAbandoned(n))
	}
	env.awaitStatus("the last 200 requests to be queued", queuedRequests(staying+200))
	for _, client := range burst {
		client.close()
	}
	env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up")) // while the node handles disconnects
	for range staying {
		if status := testkit.Receive(t, "a response", responses); status != http.StatusOK {
			t.Errorf("status %d for a client that stayed connected, want 200", status)
		}
	}
	env.expectServed("after")
	env.awaitStatus("the end of all requests", noOpenRequests)
	forwarded := env.countForwarded("gone")
	t.Logf("1,000 clients disconnected while their requests were queued; %d were forwarded", forwarded)
	if forwarded > 0 {
		t.Errorf("%d requests of disconnected clients were forwarded", forwarded)
	}
}

// sendAbandoned sends the request gone<n> on a new connection, which the caller closes later. The class of the
// request depends on n.
func (env *harness) sendAbandoned(n int) *clientConn {
	env.t.Helper()
	return env.dial().send(requestText(fmt.Sprint("gone", n), []string{"read", "pay", "undo"}[n%3], ""))
}

// disconnectQueued sends the request gone<n> and disconnects, with an RST if n is odd and with a FIN otherwise. For
// every 40th request, it first waits until more than staying requests are queued.
func (env *harness) disconnectQueued(n, staying int) {
	env.t.Helper()
	client := env.sendAbandoned(n)
	if (n+1)%40 == 0 {
		env.awaitStatus("a queued request", func(s node.Status) bool { return s.Requests.Queued > staying })
	}
	if (n+1)%2 == 0 {
		client.reset()
	} else {
		client.close()
	}
}

// countForwarded returns the number of attempts that servers received for requests whose ID starts with prefix.
func (env *harness) countForwarded(prefix string) (count int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, f := range env.forwarded {
		if strings.HasPrefix(f.id, prefix) {
			count++
		}
	}
	return count
}

// TestRequestHead_OneByteShortOfBuffer checks that the node loses no byte of a request head that arrives in two
// parts. The first part fills all but one byte of net/http's read buffer. The node reads from idle connections to
// notice disconnects, and this read must not consume a byte of the head.
func TestRequestHead_OneByteShortOfBuffer(t *testing.T) {
	env := newHarness(t, nil)
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	const buffer = 4 << 10
	for i, before := range []int{0, 1, 3} { // number of earlier requests on the connection
		client := env.dial()
		for n := range before {
			client.send(requestText(fmt.Sprintf("before-%d-%d", i, n), "read", ""))
			client.expectStatus(http.StatusOK)
		}
		env.awaitStatus("idle connections", func(s node.Status) bool { return s.Connections.Busy == 0 })
		id := fmt.Sprint("one-", i)
		long := strings.Replace(requestText(id, "read", ""), "/api", "/api?"+strings.Repeat("x", buffer+100), 1)
		client.send(long[:buffer-1])
		env.awaitStatus("the first part of the head", func(s node.Status) bool { return s.Connections.Busy == 1 })
		client.send(long[buffer-1:])
		client.expectStatus(http.StatusOK)
		if servers := env.serversReached(id); len(servers) != 1 {
			t.Errorf("request %s was forwarded to %v, want one attempt", id, servers)
		}
		client.close()
	}
}
