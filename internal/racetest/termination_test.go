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

// deadlines are the longest deadlines, as customers' settings have them, under which nodes are terminated.
var deadlines = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, time.Minute}

// clientsRoutedFor is how long clients are still routed to a node after its SIGTERM.
const clientsRoutedFor = 400 * time.Millisecond

// setDeadlines gives each class the deadline, and the node the daemon's default times of a shutdown.
func setDeadlines(deadline time.Duration) func(c *node.Config) {
	return func(c *node.Config) {
		c.AnnounceFor = nil
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].Deadline, c.Settings.Classes[i].LatencyObjective = deadline, deadline*3/4
		}
	}
}

// killDelay is the shortest time from SIGTERM to SIGKILL.
func killDelay(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, 3*time.Second) + 700*time.Millisecond
}

// awaitTimelyExit waits for the exit of a node that was terminated at a time, which must come before SIGKILL.
func (env *harness) awaitTimelyExit(terminatedAt time.Time, longestDeadline time.Duration) {
	env.t.Helper()
	env.awaitExit()
	if took := time.Since(terminatedAt); took > killDelay(longestDeadline) {
		env.t.Errorf("the node exited after %v; SIGKILL comes after %v", took, killDelay(longestDeadline))
	}
}

// terminationState is a state that a request can be in when the node is terminated.
type terminationState struct {
	server  requestHandler                                  // nil answers
	prepare func(env *harness, c *clientConn, class string) // brings the state about, before SIGTERM
	proceed func(env *harness, c *clientConn, class string) // what the client does after SIGTERM; may be nil
}

var terminationStates = map[string]terminationState{
	"at a server that hangs": {server: hangIf("one"), prepare: sendUntilForwarded},
	"half a head": {
		prepare: func(_ *harness, c *clientConn, class string) { c.send(firstHalf(requestText("one", class, ""))) },
		proceed: func(_ *harness, c *clientConn, class string) {
			request := requestText("one", class, "")
			c.send(request[len(firstHalf(request)):])
		},
	},
	"half a body": {
		prepare: func(_ *harness, c *clientConn, _ string) {
			request := requestText("one", "pay", "12345678")
			c.send(request[:len(request)-4])
		},
		proceed: func(_ *harness, c *clientConn, _ string) { c.send("5678") },
	},
	"a connection that comes after it": {
		prepare: func(*harness, *clientConn, string) {},
		proceed: func(env *harness, c *clientConn, class string) {
			*c = *env.dial()
			c.send(requestText("one", class, ""))
		},
	},
	"a connection kept since before": {
		prepare: func(_ *harness, c *clientConn, _ string) {
			c.send(requestText("warm", "read", ""))
			c.expectStatus(http.StatusOK)
		},
		proceed: func(_ *harness, c *clientConn, class string) { c.send(requestText("one", class, "")) },
	},
}

func firstHalf(s string) string { return s[:len(s)/2] }

// sendUntilForwarded sends requests until one has reached the server, which becomes the tracked one. On a busy host the
// node may not forward a request within its queue time: the node rejects it then, and another is sent.
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

// In each state in which a request can be as the node is terminated, it gets exactly one response, before SIGKILL, and
// the node exits by itself without an error. A request not received completely by then may be retried elsewhere.
func TestTermination_AnswersRequestsInFlight(t *testing.T) {
	for name, state := range terminationStates {
		for _, longest := range deadlines {
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
	if state.proceed != nil {
		testkit.Await(t, "the end of readiness", func() bool { return !env.isReady() })
		state.proceed(env, client, class)
	}
	status, _, err := client.readResponse()
	if err != nil {
		t.Errorf("no response: %v", err)
	}
	if state.proceed != nil && status != http.StatusOK && time.Since(terminatedAt) < 300*time.Millisecond {
		t.Errorf("answered %d while clients are still routed to the node", status)
	}
	servers := env.serversReached(env.trackedID)
	outcomeKnown := []int{http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout}
	if len(servers) > 1 || len(servers) == 1 && class == "pay" && !slices.Contains(outcomeKnown, status) {
		t.Errorf("answered %d, went to %v", status, servers)
	}
	env.awaitTimelyExit(terminatedAt, longestDeadline)
}

// Clients return at once, on every connection that stays open and on new ones, for as long as the node accepts them:
// each accepted request has exactly one response, and new connections are accepted for as long as clients are routed
// to the node.
func TestTermination_ServesReturningClients(t *testing.T) {
	for _, longest := range deadlines {
		t.Run(fmt.Sprint(longest), func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, setDeadlines(longest))
			env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
			env.start()
			load := &returningClients{env: env, traffic: make(chan struct{}, 1000)}
			var clients sync.WaitGroup
			for i := range 12 {
				clients.Go(func() { load.runClient(i) })
			}
			for range 200 {
				testkit.Receive(t, "traffic", load.traffic)
			}
			terminatedAt := load.terminateNode()
			env.awaitTimelyExit(terminatedAt, longest)
			clients.Wait()
			t.Logf("%d answered, %d lost and %d rejected while clients were routed here, %d new connections closed after that",
				load.answered, load.lost, load.rejected, load.closed)
			if load.lost > 0 || load.rejected > 0 {
				t.Errorf("%d lost, %d rejected", load.lost, load.rejected)
			}
		})
	}
}

// returningClients counts what becomes of requests around a node's termination.
type returningClients struct {
	env     *harness
	traffic chan struct{} // an element for each response; those beyond its capacity are dropped

	mu           sync.Mutex
	terminatedAt time.Time // zero before
	answered     int
	lost         int // requests first on their connection without a response, while clients were routed to the node
	rejected     int // connections not accepted in that time
	closed       int // new connections closed after that time
}

// terminateNode sends the node the equivalent of SIGTERM.
func (l *returningClients) terminateNode() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminatedAt = time.Now()
	l.env.terminate()
	return l.terminatedAt
}

// phase tells whether the node has been terminated, and whether clients are routed to it.
func (l *returningClients) phase() (terminated, routed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	terminated = !l.terminatedAt.IsZero()
	return terminated, !terminated || time.Since(l.terminatedAt) < clientsRoutedFor
}

// runClient sends requests on one connection after the other until a dial fails. The number of requests on a
// connection differs by client.
func (l *returningClients) runClient(client int) {
	for conns := 0; ; conns++ {
		conn, err := net.Dial("tcp", l.env.addr)
		terminated, routed := l.phase()
		if err != nil {
			if terminated && routed {
				l.mu.Lock()
				l.rejected++
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

// exchange sends a request and counts its outcome. On a reused connection the node's close may cross the request,
// which then is not lost. routed says that clients are still routed to the node.
func (l *returningClients) exchange(c *clientConn, id string, reused, routed bool) bool {
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
		l.lost++
	case !reused:
		l.closed++
	}
	return false
}

// The node has no slot for another connection when it is terminated, and does not get one: a client in the system's
// accept queue that has sent a request is answered, not reset as the listener closes.
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
	for i := range 6 { // the first of them is accepted, and waits for a slot
		queued = append(queued, env.dial().send(requestText(fmt.Sprint("queued", i), "read", "")))
	}
	env.terminate()
	for i, client := range append(queued, busy...) {
		status, _, err := client.readResponse()
		if err != nil {
			t.Errorf("client %d: no response: %v", i, err)
			continue
		}
		notForwarded := i < len(queued) && len(env.serversReached(fmt.Sprint("queued", i))) == 0
		if notForwarded && status < 500 && status != http.StatusTooManyRequests {
			t.Errorf("client %d: answered %d, and went nowhere", i, status)
		}
	}
	env.awaitExit()
}

// SIGTERM comes before the node is ready, and while a SIGHUP is pending: the node exits without an error.
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
