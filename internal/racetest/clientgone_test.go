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

// disconnects are the ways in which a client disconnects.
var disconnects = map[string]func(c *clientConn){
	"FIN":        func(c *clientConn) { c.close() },
	"RST":        func(c *clientConn) { c.reset() },
	"half-close": func(c *clientConn) { _ = c.CloseWrite() },
}

// A request is queued, since no server is listed; its client disconnects; a server is listed. The request is not
// forwarded; a later one is.
func TestClientGone_WhileRequestIsQueued(t *testing.T) {
	for behind, pipelined := range map[string]string{
		"nothing":                 "",
		"a byte of the next":      "G",
		"a whole next":            requestText("next", "read", ""),
		"many, and half of one":   strings.Repeat(requestText("next", "read", ""), 40) + "GET /api HT",
		"the body of a next POST": requestText("next", "pay", strings.Repeat("x", 3000)),
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

// The first server rejects the request, and no other is listed: the request waits for its second attempt when its
// client disconnects.
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
			env.discovery.publish(listEntry("well", env.startServer("well", nil), "up"))
			env.expectServed("after")
			env.awaitStatus("the end of all requests", noOpenRequests)
			if servers := env.serversReached("gone"); len(servers) != 1 {
				t.Errorf("it went to %v", servers)
			}
		})
	}
}

// The dial to the only server is in progress when the client disconnects, and then succeeds. Where the settings forbid
// cancellation no attempt is cancelled, but the request is not forwarded either.
func TestClientGone_DuringDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		t.Run(fmt.Sprint("call-offs ", cancel), func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, func(c *node.Config) { c.Settings.Capabilities.Cancel = cancel })
			addr, unblock := env.startBlockedServer("s0")
			env.addEndpoints(endpoint("s0", addr))
			env.start()
			client := env.dial().send(requestText("gone", "pay", ""))
			env.awaitStatus("the attempt", func(s node.Status) bool { return s.Requests.AttemptsInFlight == 1 })
			client.reset()
			env.awaitStatus("the disconnect to be noticed", func(s node.Status) bool { return s.Requests.Open == 0 })
			unblock()
			env.awaitStatus("the end of the attempt", noOpenRequests)
			env.expectServed("after")
			env.expectNotForwarded("gone")
		})
	}
}

// A request stays unread while the node has no slot for its connection. It is not forwarded once it is read, if its
// client has disconnected by then.
func TestClientGone_BeforeRequestIsRead(t *testing.T) {
	for way, disconnect := range disconnects {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, func(c *node.Config) { c.MaxDescriptors = 64 }).start()
			var busy []*clientConn
			for i := range 16 { // all connection slots with so many descriptors
				busy = append(busy, env.dial().send(requestText(fmt.Sprint("busy", i), "read", "")))
			}
			env.awaitStatus("all connection slots to be taken", queuedRequests(16))
			gone := env.dial().send(requestText("gone", "read", ""))
			env.awaitStatus("the connection that waits for a slot", func(s node.Status) bool {
				return s.Connections.Clients == 17
			})
			disconnect(gone)
			env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up"))
			for _, client := range busy {
				client.expectStatus(http.StatusOK)
				client.close()
			}
			env.expectServed("after")
			env.awaitStatus("the end of all requests", func(s node.Status) bool {
				return noOpenRequests(s) && s.Connections.Clients == 0 || way == "half-close" && noOpenRequests(s)
			})
			if way != "RST" { // nothing can be read from a connection that was reset
				env.expectNotForwarded("gone")
			}
		})
	}
}

// A client disconnects within a body. No server gets a complete request, not even where the node has buffered a part of
// the body and the rest has been sent but not read.
func TestClientGone_WithinBody(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for name, part := range map[string]int{
		"nothing of it": 0, "half of it": 100 << 10, "all but a byte": 200<<10 - 1, "all of it": 200 << 10,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, func(c *node.Config) { c.MemoryMB = 1 }).start() // buffers 64 KiB of one body
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

// Over MessagePack-RPC, calls are queued, and one more exceeds the calls allowed on the connection, so that nothing
// more is read from it when the client disconnects.
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

// The client disconnects in the same instant as its response arrives: the forwarded request ran once, and no request or
// connection stays open.
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
			t.Errorf("r%d went to %v", i, servers)
		}
	}
}

// 1,000 clients disconnect while their requests are queued, 800 one by one and 200 at once, while others wait; then a
// server is listed. No request of a disconnected client is forwarded.
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
		burst = append(burst, env.sendGone(n))
	}
	env.awaitStatus("the burst", queuedRequests(staying+200))
	for _, client := range burst {
		client.close()
	}
	env.discovery.publish(listEntry("s0", env.startServer("s0", nil), "up")) // while disconnects are being noticed
	for range staying {
		if status := testkit.Receive(t, "a response", responses); status != http.StatusOK {
			t.Errorf("a client that stayed got %d", status)
		}
	}
	env.expectServed("after")
	env.awaitStatus("the end of all requests", noOpenRequests)
	forwarded := env.countForwarded("gone")
	t.Logf("1,000 clients disconnected while their requests were queued; %d were forwarded", forwarded)
	if forwarded > 0 {
		t.Errorf("%d were forwarded", forwarded)
	}
}

// sendGone sends the request gone<n>, of a class that goes by n.
func (env *harness) sendGone(n int) *clientConn {
	env.t.Helper()
	return env.dial().send(requestText(fmt.Sprint("gone", n), []string{"read", "pay", "undo"}[n%3], ""))
}

// disconnectQueued sends the request gone<n> and disconnects, by FIN and RST in turn. Each 40th waits before until one
// request more than those of the clients that stay is queued.
func (env *harness) disconnectQueued(n, staying int) {
	env.t.Helper()
	client := env.sendGone(n)
	if (n+1)%40 == 0 {
		env.awaitStatus("a queued request", func(s node.Status) bool { return s.Requests.Queued > staying })
	}
	if (n+1)%2 == 0 {
		client.reset()
	} else {
		client.close()
	}
}

// countForwarded counts the requests that reached a server and whose ID has the prefix.
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

// A request head fills all but one byte of net/http's read buffer: the watch for the client's disconnect must not take
// the next byte, and the head is read to its end.
func TestRequestHead_OneByteShortOfBuffer(t *testing.T) {
	env := newHarness(t, nil)
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	const buffer = 4 << 10
	for i, before := range []int{0, 1, 3} { // requests on the connection ahead of it
		client := env.dial()
		for n := range before {
			client.send(requestText(fmt.Sprintf("before-%d-%d", i, n), "read", ""))
			client.expectStatus(http.StatusOK)
		}
		env.awaitStatus("idle connections", func(s node.Status) bool { return s.Connections.Busy == 0 })
		id := fmt.Sprint("one-", i)
		long := strings.Replace(requestText(id, "read", ""), "/api", "/api?"+strings.Repeat("x", buffer+100), 1)
		client.send(long[:buffer-1])
		env.awaitStatus("the first bytes", func(s node.Status) bool { return s.Connections.Busy == 1 })
		client.send(long[buffer-1:])
		client.expectStatus(http.StatusOK)
		if servers := env.serversReached(id); len(servers) != 1 {
			t.Errorf("%s went to %v", id, servers)
		}
		client.close()
	}
}
