package racetest

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
)

// longestDeadlines are the deadlines that the termination tests set for every class.
var longestDeadlines = []time.Duration{
	100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, time.Minute,
}

// clientsRoutedFor is the time after SIGTERM in which a load balancer may still route clients to the node.
const clientsRoutedFor = 400 * time.Millisecond

// setDeadlines returns a function that sets the deadline of every class. The function also sets AnnounceFor to nil,
// which restores the daemon's default.
func setDeadlines(deadline time.Duration) func(c *node.Config) {
	return func(c *node.Config) {
		c.AnnounceFor = nil
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = deadline, deadline*3/4
		}
	}
}

// killDelay returns the minimum time from SIGTERM to SIGKILL.
func killDelay(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*time.Millisecond
}

// awaitTimelyExit waits until a node that was terminated at terminatedAt exits. It checks that the node exits before
// the earliest SIGKILL.
func (env *harness) awaitTimelyExit(terminatedAt time.Time, longestDeadline time.Duration) {
	env.t.Helper()
	env.awaitExit()
	if took := time.Since(terminatedAt); took > killDelay(longestDeadline) {
		env.t.Errorf("the node exited after %v; SIGKILL comes after %v", took, killDelay(longestDeadline))
	}
}

// terminationState is a possible state of a request when the node is terminated.
type terminationState struct {
	server       requestHandler                                  // nil: the server answers 200
	prepare      func(env *harness, c *clientConn, class string) // brings the request into the state before SIGTERM
	afterSIGTERM func(env *harness, c *clientConn, class string) // actions of the client after SIGTERM; nil: none
}

var terminationStates = map[string]terminationState{
	"at a hanging server": {server: hangIf("one"), prepare: sendUntilForwarded},
	"half a head": {
		prepare: func(_ *harness, c *clientConn, class string) { c.send(firstHalf(requestText("one", class, ""))) },
		afterSIGTERM: func(_ *harness, c *clientConn, class string) {
			request := requestText("one", class, "")
			c.send(request[len(firstHalf(request)):])
		},
	},
	"half a body": {
		prepare: func(_ *harness, c *clientConn, _ string) {
			request := requestText("one", "pay", "12345678")
			c.send(request[:len(request)-4])
		},
		afterSIGTERM: func(_ *harness, c *clientConn, _ string) { c.send("5678") },
	},
	"a connection opened after SIGTERM": {
		prepare: func(*harness, *clientConn, string) {},
		afterSIGTERM: func(env *harness, c *clientConn, class string) {
			*c = *env.dial()
			c.send(requestText("one", class, ""))
		},
	},
	"a connection reused after SIGTERM": {
		prepare: func(_ *harness, c *clientConn, _ string) {
			c.send(requestText("warm", "read", ""))
			c.expectStatus(http.StatusOK)
		},
		afterSIGTERM: func(_ *harness, c *clientConn, class string) { c.send(requestText("one", class, "")) },
	},
}

func firstHalf(s string) string { return s[:len(s)/2] }

// sendUntilForwarded sends requests until one reaches the server, and stores its ID in trackedID. On a busy host the
// node may reject a request after its time in the queue. sendUntilForwarded then sends another request.
func sendUntilForwarded(env *harness, c *clientConn, class string) {
	for i := 0; len(env.serversReached(env.trackedID)) == 0; i++ {
		env.trackedID = fmt.Sprint("one", i)
		c.send(requestText(env.trackedID, class, ""))
		rejected := false
		testkit.Await(env.t, "the request at its server", func() bool {
			rejected = c.responseStarted()
			return rejected || len(env.serversReached(env.trackedID)) > 0
		})
		if rejected && len(env.serversReached(env.trackedID)) == 0 {
			c.expectStatus(http.StatusServiceUnavailable)
		}
	}
}

// TestTermination_AnswersRequestsInFlight checks that the node answers a request in each terminationState when it is
// terminated. The node must exit without an error before the earliest SIGKILL. While clients are still routed to the
// node, it must serve requests that arrive after SIGTERM.
func TestTermination_AnswersRequestsInFlight(t *testing.T) {
	for name, state := range terminationStates {
		for _, longest := range longestDeadlines {
			for _, class := range []string{"read", "pay", "undo"} {
				t.Run(fmt.Sprint(name, "/", longest, "/", class), func(t *testing.T) {
					t.Parallel()
					testTermination(t, state, longest, class)
				})
			}
		}
	}
}

func testTermination(t *testing.T, state terminationState, longestDeadline time.Duration, class string) {
	t.Helper()
	env := newHarness(t, setDeadlines(longestDeadline))
	server := state.server
	if server == nil {
		server = func(req serverRequest) bool { return req.respond("done") }
	}
	env.addEndpoints(endpoint("s0", env.startServer("s0", server)))
	env.start()
	env.trackedID = "one"
	client := env.dial()
	state.prepare(env, client, class)
	env.terminate()
	terminatedAt := time.Now()
	if state.afterSIGTERM != nil {
		testkit.Await(t, "the node to be unready", func() bool { return !env.isReady() })
		state.afterSIGTERM(env, client, class)
	}
	status, _, err := client.readResponse()
	if err != nil {
		t.Errorf("the client got no response: %v", err)
	}
	if state.afterSIGTERM != nil && status != http.StatusOK && time.Since(terminatedAt) < 300*time.Millisecond {
		t.Errorf("status %d while clients are still routed to the node, want 200", status)
	}
	servers := env.serversReached(env.trackedID)
	outcomeKnown := []int{http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}
	if len(servers) > 1 || len(servers) == 1 && class == "pay" && !slices.Contains(outcomeKnown, status) {
		t.Errorf("status %d, forwarded to %v", status, servers)
	}
	env.awaitTimelyExit(terminatedAt, longestDeadline)
}

// TestTermination_ServesReconnectingClients checks that a node that shuts down accepts new connections while clients
// are routed to it. The node must answer the first request on each connection. The clients also send requests on open
// connections.
func TestTermination_ServesReconnectingClients(t *testing.T) {
	for _, longest := range longestDeadlines {
		t.Run(fmt.Sprint(longest), func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, setDeadlines(longest))
			env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
			env.start()
			load := &reconnectingClients{env: env, traffic: make(chan struct{}, 1000)}
			var clients sync.WaitGroup
			for i := range 12 {
				clients.Go(func() { load.runClient(i) })
			}
			for range 200 {
				testkit.Receive(t, "a response", load.traffic)
			}
			terminatedAt := load.terminateNode()
			env.awaitTimelyExit(terminatedAt, longest)
			clients.Wait()
			t.Logf("%d answered; %d lost, %d refused while clients were routed to the node; %d connections closed later",
				load.answered, load.unanswered, load.refusedDials, load.closedLater)
			if load.unanswered > 0 || load.refusedDials > 0 {
				t.Errorf("%d requests lost and %d connections refused while clients were routed to the node",
					load.unanswered, load.refusedDials)
			}
		})
	}
}

// reconnectingClients counts the outcomes of requests before and after the node is terminated.
type reconnectingClients struct {
	env     *harness
	traffic chan struct{} // receives a value for each response, unless the channel is full

	mu           sync.Mutex
	terminatedAt time.Time // zero before the termination
	answered     int       // requests that got a response
	unanswered   int       // first requests on a connection without a response while clients were routed to the node
	refusedDials int       // failed dials after SIGTERM while clients were routed to the node
	closedLater  int       // new connections closed without a response when clients were no longer routed to the node
}

// terminateNode shuts the node down as SIGTERM does, and returns the time of the shutdown.
func (l *reconnectingClients) terminateNode() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminatedAt = time.Now()
	l.env.terminate()
	return l.terminatedAt
}

// phase reports whether the node has been terminated, and whether clients are still routed to it.
func (l *reconnectingClients) phase() (terminated, routed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	terminated = !l.terminatedAt.IsZero()
	return terminated, !terminated || time.Since(l.terminatedAt) < clientsRoutedFor
}

// runClient sends requests on one connection after another until a dial fails. The number of requests per connection
// depends on client.
func (l *reconnectingClients) runClient(client int) {
	for conns := 0; ; conns++ {
		conn, err := net.Dial("tcp", l.env.addr)
		terminated, routed := l.phase()
		if err != nil {
			if terminated && routed {
				l.mu.Lock()
				l.refusedDials++
				l.mu.Unlock()
			}
			return
		}
		c := newClientConn(l.env.t, conn)
		for n := 0; n < 1+client%4; n++ {
			if !l.exchange(c, fmt.Sprintf("c%d-%d-%d", client, conns, n), n > 0, routed) {
				break
			}
			select {
			case l.traffic <- struct{}{}:
			default:
			}
		}
		c.close()
	}
}

// exchange sends a request, counts its outcome, and returns false if the connection was closed. If reused is set, the
// request is not the first on the connection. The node may close a reused connection while the request is in transit,
// so exchange does not count a request without a response as lost. If routed is set, clients are still routed to the
// node.
func (l *reconnectingClients) exchange(c *clientConn, id string, reused, routed bool) bool {
	if _, err := io.WriteString(c, requestText(id, "pay", "")); err != nil {
		return false
	}
	_, _, err := c.readResponse()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.answered++
		return true
	case !reused && routed:
		l.unanswered++
	case !reused:
		l.closedLater++
	}
	return false
}

// TestTermination_AnswersQueuedConnections checks that the node, when terminated, answers clients that wait in the
// kernel's accept queue. All connection slots are taken, and the waiting clients have sent a request. Closing the
// listener before accepting these connections would reset them.
func TestTermination_AnswersQueuedConnections(t *testing.T) {
	env := newHarness(t, func(c *node.Config) { c.MaxDescriptors, c.AnnounceFor = 64, nil })
	addr := env.startServer("s0", hangIf("busy"))
	env.addEndpoints(endpoint("s0", addr), endpoint("s1", addr))
	env.start()
	var busy, queued []*clientConn
	for i := range 16 {
		busy = append(busy, env.dial().send(requestText(fmt.Sprint("busy", i), "pay", "")))
	}
	env.awaitStatus("no free connection slot", func(s node.Status) bool {
		return s.Requests.Open == 16 && s.Connections.Clients == 16
	})
	for i := range 6 { // the node accepts the first connection, which then waits for a slot
		queued = append(queued, env.dial().send(requestText(fmt.Sprint("queued", i), "read", "")))
	}
	env.terminate()
	for i, client := range append(queued, busy...) {
		status, _, err := client.readResponse()
		if err != nil {
			t.Errorf("client %d got no response: %v", i, err)
			continue
		}
		notForwarded := i < len(queued) && len(env.serversReached(fmt.Sprint("queued", i))) == 0
		if notForwarded && status < 500 && status != http.StatusTooManyRequests {
			t.Errorf("client %d: status %d for a request that was not forwarded", i, status)
		}
	}
	env.awaitExit()
}

// TestTermination_DuringStartAndReload checks that the node exits without an error if SIGTERM comes before the node
// is ready. It tests with and without a pending SIGHUP.
func TestTermination_DuringStartAndReload(t *testing.T) {
	for _, reload := range []bool{false, true} {
		t.Run(fmt.Sprint("reload ", reload), func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			config := node.Config{
				Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 256, MemoryMB: 64, Settings: settings(),
				InitialList: registry.List{Revision: 1, Full: true},
			}
			setDeadlines(100 * time.Millisecond)(&config)
			ctx, cancel := context.WithCancel(context.Background())
			reloads := make(chan node.Config, 1)
			if reload {
				next := config
				next.Settings.Capabilities.Hedge = true
				reloads <- next
			}
			cancel()
			exited := make(chan error, 1)
			go func() { exited <- node.Run(ctx, config, ln, reloads, slog.New(slog.DiscardHandler)) }()
			if err := testkit.Receive(t, "the node's exit", exited); err != nil {
				t.Error(err)
			}
		})
	}
}
