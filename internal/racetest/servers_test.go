package racetest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

// removalDuringDial is a change of the endpoint list during a dial to s0.
type removalDuringDial struct {
	entries func(env *harness, addr string) []string // returns the new entries of s0; addr is its current address
	server  string                                   // server that must receive the request
}

var removalsDuringDial = map[string]removalDuringDial{
	"draining": {func(_ *harness, addr string) []string { return []string{listEntry("s0", addr, "draining")} }, "s1"},
	"removed":  {func(*harness, string) []string { return nil }, "s1"},
	"new address": {func(env *harness, _ string) []string {
		return []string{listEntry("s0", env.startServer("elsewhere", nil), "draining")}
	}, "s1"},
	"restarted": {func(_ *harness, addr string) []string {
		return []string{strings.Replace(listEntry("s0", addr, "draining"), `"up_since_ms":0`, `"up_since_ms":99`, 1)}
	}, "s1"},
	"drain withdrawn": {func(_ *harness, addr string) []string { return []string{listEntry("s0", addr, "up")} }, "s0"},
}

// TestServerRemoved_DuringDial checks that the node does not use a new connection to s0 if the list changed during
// the dial. In the new list s0 is draining, removed, at another address, or restarted as another process. The dial
// succeeds after the drain grace, and the node must send the request to s1. If the new list withdraws a drain of s0,
// the node must use the connection.
func TestServerRemoved_DuringDial(t *testing.T) {
	for name, removal := range removalsDuringDial {
		for _, class := range []string{"read", "pay", "undo"} {
			t.Run(fmt.Sprint(name, "/", class), func(t *testing.T) {
				t.Parallel()
				testRemovalDuringDial(t, removal, name == "drain withdrawn", class)
			})
		}
	}
}

// testRemovalDuringDial changes the list during a dial to s0. If drainFirst is set, s0 is listed as draining before
// the change.
func testRemovalDuringDial(t *testing.T, removal removalDuringDial, drainFirst bool, class string) {
	t.Helper()
	const grace = 60 * time.Millisecond
	env := newHarness(t, func(c *node.Config) { c.Settings.Rules.DrainGrace = grace })
	addr, unblock := env.startBlockedServer("s0")
	env.addEndpoints(endpoint("s0", addr))
	env.start()
	client := env.dial().send(requestText("one", class, ""))
	env.awaitStatus("an attempt in flight", func(s node.Status) bool { return s.Requests.AttemptsInFlight == 1 })
	if drainFirst {
		env.discovery.publish(listEntry("s0", addr, "draining"))
		env.awaitStatus("the drain", oneDraining)
	}
	other := listEntry("s1", env.startServer("s1", nil), "up")
	env.discovery.publish(append(removal.entries(env, addr), other)...)
	env.awaitStatus("the new list", func(s node.Status) bool {
		running := 1 + strings.Count(removal.server, "s0")
		return s.Servers["running"] == running && s.EndpointList.LastUpdate.Before(s.At.Add(-grace))
	})
	unblock()
	client.expectStatus(http.StatusOK)
	env.awaitStatus("the end of all requests", noOpenRequests)
	if servers := env.serversReached("one"); !slices.Equal(servers, []string{removal.server}) {
		t.Errorf("the request was forwarded to %v, want only %s", servers, removal.server)
	}
}

// TestServerDrains_BeforeNextAttempt checks that the node does not retry a request at a server that drains. The only
// server is listed as draining while it processes the request, and then answers with an error. The node must send the
// retry to another server, which is added to the list together with the drain.
func TestServerDrains_BeforeNextAttempt(t *testing.T) {
	for _, class := range []string{"read", "undo"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, nil)
			reached, proceed := make(chan string, 4), make(chan bool)
			first := env.startServer("s0", func(req serverRequest) bool {
				reached <- req.id
				<-proceed
				return req.write("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")
			})
			second := env.startServer("s1", nil)
			env.addEndpoints(endpoint("s0", first))
			env.start()
			client := env.dial().send(requestText("one", class, ""))
			testkit.Receive(t, "the first attempt", reached)
			env.discovery.publish(listEntry("s0", first, "draining"), listEntry("s1", second, "up"))
			env.awaitStatus("the drain", oneDraining)
			close(proceed)
			client.expectStatus(http.StatusOK)
			if servers := env.serversReached("one"); !slices.Equal(servers, []string{"s0", "s1"}) {
				t.Errorf("the request was forwarded to %v, want s0 and then s1", servers)
			}
		})
	}
}

// invalidResponse is a case in which a server's response is invalid, incomplete, failed or missing.
type invalidResponse struct {
	handler requestHandler
	pay     int // response status for a non-idempotent request
}

// closeAfter returns a handler that writes text and closes the connection.
func closeAfter(text string) requestHandler {
	return func(req serverRequest) bool {
		req.write(text)
		return false
	}
}

// resetAfter returns a handler that writes text and resets the connection.
func resetAfter(text string) requestHandler {
	return func(req serverRequest) bool {
		req.write(text)
		req.resetOnClose()
		return false
	}
}

// keepOpenAfter returns a handler that writes text and keeps the connection open.
func keepOpenAfter(text string) requestHandler {
	return func(req serverRequest) bool { return req.write(text) }
}

// invalidResponses are the cases of TestInvalidResponses_Outcome. After each response without X-Not-Run, the request
// may have run. The node must neither retry a non-idempotent request nor answer it as rejected. It retries a keyed
// request within the deduplication scope.
var invalidResponses = map[string]invalidResponse{
	"closed before the response": {func(serverRequest) bool { return false }, http.StatusBadGateway},
	"reset before the response": {func(req serverRequest) bool {
		req.resetOnClose()
		return false
	}, http.StatusBadGateway},
	"reset in the head": {resetAfter("HTTP/1.1 200 O"), http.StatusBadGateway},
	"reset in the body": {resetAfter("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"), http.StatusBadGateway},
	"not HTTP":          {closeAfter("hello\r\n\r\n"), http.StatusBadGateway},
	"100 Continue only": {closeAfter("HTTP/1.1 100 Continue\r\n\r\n"), http.StatusBadGateway},
	"503 without X-Not-Run": {
		keepOpenAfter("HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway,
	},
	"503 with X-Not-Run": {
		keepOpenAfter("HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusOK,
	},
	"longer than Content-Length": {
		closeAfter("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ndone and more"), http.StatusBadGateway,
	},
	"head too long": {
		closeAfter("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20<<10)), http.StatusBadGateway,
	},
	"two Content-Length values": {
		closeAfter("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"), http.StatusBadGateway,
	},
	"no Content-Length, reset": {
		resetAfter("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal"), http.StatusBadGateway,
	},
	"incomplete chunk": {
		closeAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"), http.StatusBadGateway,
	},
}

func TestInvalidResponses_Outcome(t *testing.T) {
	for name, invalid := range invalidResponses {
		for class, want := range map[string]int{"read": http.StatusOK, "pay": invalid.pay, "undo": http.StatusOK} {
			t.Run(fmt.Sprint(name, "/", class), func(t *testing.T) {
				t.Parallel()
				env := newHarness(t, nil)
				bad, good := env.startServer("bad", invalid.handler), env.startServer("good", nil)
				env.addEndpoints(endpoint("bad", bad), endpoint("good", good))
				env.start()
				env.dial().send(requestText("one", class, "")).expectStatus(want)
				wantServers := []string{"bad", "good"}
				if want != http.StatusOK {
					wantServers = wantServers[:1]
				}
				if servers := env.serversReached("one"); !slices.Equal(servers, wantServers) {
					t.Errorf("the request was forwarded to %v, want %v", servers, wantServers)
				}
			})
		}
	}
}

// TestIdleConnection_ClosedAsRequestArrives checks that the node does not retry a non-idempotent request if the
// server closes a reused connection instead of responding. The node cannot know whether the request ran.
func TestIdleConnection_ClosedAsRequestArrives(t *testing.T) {
	wantStatus := map[string]int{"read": http.StatusOK, "pay": http.StatusBadGateway, "undo": http.StatusOK}
	for class, want := range wantStatus {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, nil)
			first := env.startServer("s0", func(req serverRequest) bool { return req.earlier == 0 && req.respond("done") })
			env.addEndpoints(endpoint("s0", first))
			env.start()
			env.expectServed("first")
			env.discovery.publish(listEntry("s0", first, "up"), listEntry("s1", env.startServer("s1", nil), "up"))
			env.awaitStatus("both servers", func(s node.Status) bool { return s.Servers["running"] == 2 })
			reused := false
			for i := 0; !reused && i < 50; i++ { // the node opens new connections before it reuses a connection
				id := fmt.Sprint("next", i)
				status := env.request(id, class)
				servers := env.serversReached(id)
				reused = len(servers) > 0 && servers[0] == "s0" && (status != http.StatusOK || len(servers) > 1)
				if !reused {
					continue
				}
				if status != want || class == "pay" && len(servers) != 1 {
					t.Errorf("status %d, forwarded to %v", status, servers)
				}
			}
			if !reused {
				t.Error("no request was sent on a reused connection")
			}
		})
	}
}

// lateResponder answers each request. A request whose ID starts with "next" may arrive 4 to 10 ms after the previous
// response. lateResponder then first writes a second response to the previous request.
type lateResponder struct {
	mu              sync.Mutex
	last            serverRequest
	answeredAt      time.Time
	secondResponses int // number of second responses written
}

func (l *lateResponder) handle(req serverRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.HasPrefix(req.id, "next") && l.last.Conn != nil {
		if gap := time.Since(l.answeredAt); gap > 4*time.Millisecond && gap < 10*time.Millisecond {
			l.secondResponses++
			l.last.respond("second")
		}
		l.last = serverRequest{}
		return req.respond("done " + req.id)
	}
	ok := req.respond("done " + req.id)
	l.last, l.answeredAt = req, time.Now()
	return ok
}

// count returns the number of second responses written.
func (l *lateResponder) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.secondResponses
}

// TestSecondResponse_MillisecondsLate checks that the node does not take a late second response for the response to
// the next request. The server writes the second response some milliseconds after the first, when it has already
// received the next request. The node must have sent the next request on another connection.
func TestSecondResponse_MillisecondsLate(t *testing.T) {
	server := new(lateResponder)
	env := newHarness(t, nil)
	env.addEndpoints(endpoint("s0", env.startServer("s0", server.handle)))
	env.start()
	client := env.dial()
	for i := 0; server.count() < 20 && i < 2000; i++ {
		for _, id := range []string{fmt.Sprint("first", i), fmt.Sprint("next", i)} {
			status, body, err := client.send(requestText(id, "pay", "")).readResponse()
			if err != nil || status != http.StatusOK || body != "done "+id {
				t.Fatalf("request %s: status %d, body %q, error %v", id, status, body, err)
			}
			time.Sleep(4 * time.Millisecond) // the next request then usually arrives 4 to 10 ms after the response
		}
	}
	t.Logf("%d second responses were written 4 to 10 ms after the first", server.count())
	if server.count() == 0 {
		t.Error("no second response was written, so nothing was tested")
	}
}

// TestResponse_ArrivesWithTimeout checks that the client gets a valid response if the server responds at about the
// timeout of the attempt. A request must reach a server at most once.
func TestResponse_ArrivesWithTimeout(t *testing.T) {
	env := newHarness(t, func(c *node.Config) {
		for i := range c.Settings.Classes {
			class := &c.Settings.Classes[i]
			class.Deadline, class.LatencyObjective = 100*time.Millisecond, 90*time.Millisecond
		}
		c.Settings.Capabilities.MaxAttempts = 1
	})
	addr := env.startServer("s0", func(req serverRequest) bool {
		time.Sleep(time.Duration(76+len(req.id)%8) * time.Millisecond) // close to the attempt's timeout
		return req.respond("done " + req.id)
	})
	env.addEndpoints(endpoint("s0", addr))
	env.start()
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	for i := range 120 {
		clients.Go(func() {
			status := env.requestAtTimeout(i)
			mu.Lock()
			counts[status]++
			mu.Unlock()
		})
		time.Sleep(2 * time.Millisecond)
	}
	clients.Wait()
	env.awaitStatus("the end of all requests", noOpenRequests)
	t.Logf("number of responses by status: %v", counts)
}

// requestAtTimeout sends a request with a deadline of 100 ms, checks its outcome, and returns the response status.
// The class and the length of the ID depend on i. The length of the ID sets the delay of the server.
func (env *harness) requestAtTimeout(i int) (status int) {
	env.t.Helper()
	id := fmt.Sprint("r", i, strings.Repeat("x", i%8))
	class := []string{"read", "pay", "undo"}[i%3]
	client := env.dial()
	defer client.close()
	status, body, err := client.send(requestText(id, class, "", "X-Deadline-Ms: 100")).readResponse()
	if err != nil || status == http.StatusOK && body != "done "+id {
		env.t.Errorf("request %s: status %d, body %q, error %v", id, status, body, err)
	}
	servers := env.serversReached(id)
	mayHaveRun := class == "pay" && len(servers) == 1
	rejected := status != http.StatusOK && status < 500 || status == http.StatusServiceUnavailable
	if len(servers) > 1 || mayHaveRun && rejected {
		env.t.Errorf("request %s: status %d, forwarded to %v", id, status, servers)
	}
	return status
}

// dedupCase combines a deduplication scope, a deduplication window and the location of the second server.
type dedupCase struct {
	scope    policy.DedupScope
	relocate func(m *router.Endpoint)
	inScope  bool // true if the second server is in the deduplication scope of the first server
	window   time.Duration
}

// windowOver reports whether the window ends before the first server closes the connection.
func (c dedupCase) windowOver() bool { return c.window < time.Second }

// TestKeyedRetries_StayInDedupScope checks that a keyed request that may have run is retried only within its
// deduplication scope and window. Outside the scope or after the window, a server would run the request a second
// time.
func TestKeyedRetries_StayInDedupScope(t *testing.T) {
	places := map[string]func(m *router.Endpoint){
		"same cell":  func(*router.Endpoint) {},
		"same zone":  func(m *router.Endpoint) { m.Cell = policy.NewCell(2) },
		"other zone": func(m *router.Endpoint) { m.Cell, m.Zone = policy.NewCell(3), "b" },
	}
	scopes := map[string]struct {
		scope  policy.DedupScope
		places []string
	}{
		"all":  {policy.DedupAll, []string{"same cell", "same zone", "other zone"}},
		"zone": {policy.DedupZone, []string{"same cell", "same zone"}},
		"cell": {policy.DedupCell, []string{"same cell"}},
	}
	for scopeName, scope := range scopes {
		for placeName, place := range places {
			for _, window := range []time.Duration{30 * time.Second, 40 * time.Millisecond} {
				t.Run(fmt.Sprint(scopeName, "/", placeName, "/", window), func(t *testing.T) {
					t.Parallel()
					testKeyedRetry(t, dedupCase{scope.scope, place, slices.Contains(scope.places, placeName), window})
				})
			}
		}
	}
}

func testKeyedRetry(t *testing.T, dedup dedupCase) {
	t.Helper()
	env := newHarness(t, func(config *node.Config) {
		config.Settings.Classes[2].DedupScope, config.Settings.Classes[2].DedupWindow = dedup.scope, dedup.window
	})
	bad := endpoint("bad", env.startServer("bad", func(serverRequest) bool {
		if dedup.windowOver() {
			time.Sleep(2 * dedup.window) // the window started before the request arrived
		}
		return false
	}))
	good := endpoint("good", env.startServer("good", nil))
	dedup.relocate(&good)
	env.addEndpoints(bad, good)
	env.start()
	status, _, err := env.dial().send(requestText("one", "undo", "")).readResponse()
	if err != nil {
		t.Fatal(err)
	}
	servers := env.serversReached("one")
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case dedup.inScope && !dedup.windowOver():
		if status != http.StatusOK || !slices.Equal(servers, []string{"bad", "good"}) {
			t.Errorf("status %d, forwarded to %v; want 200 after a retry", status, servers)
		}
	case !slices.Equal(servers, []string{"bad"}):
		t.Errorf("status %d, forwarded to %v; want no retry", status, servers)
	case status == http.StatusOK, dedup.scope != policy.DedupAll && rejected:
		t.Errorf("status %d, but the request may have run, and the client's retry may not be deduplicated", status)
	}
}
