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

// removalDuringDial is a change of the list during a dial to s0.
type removalDuringDial struct {
	entries func(env *harness, addr string) []string // what the list then has for the server at addr
	server  string                                   // the server that must receive the request
}

var removalsDuringDial = map[string]removalDuringDial{
	"drains": {func(_ *harness, addr string) []string { return []string{listEntry("s0", addr, "draining")} }, "s1"},
	"gone":   {func(*harness, string) []string { return nil }, "s1"},
	"moved": {func(env *harness, _ string) []string {
		return []string{listEntry("s0", env.startServer("elsewhere", nil), "draining")}
	}, "s1"},
	"replaced": {func(_ *harness, addr string) []string {
		return []string{strings.Replace(listEntry("s0", addr, "draining"), `"up_since_ms":0`, `"up_since_ms":99`, 1)}
	}, "s1"},
	"withdrawn": {func(_ *harness, addr string) []string { return []string{listEntry("s0", addr, "up")} }, "s0"},
}

// During a dial to a server the list says that the server drains, is gone, is at another address or is another process.
// When the dial succeeds, after the grace, the connection is not used, and the request goes where it may. Where the
// drain was withdrawn the connection is used.
func TestServerRemoved_DuringDial(t *testing.T) {
	for name, removal := range removalsDuringDial {
		for _, class := range []string{"read", "pay", "undo"} {
			t.Run(fmt.Sprint(name, "/", class), func(t *testing.T) {
				t.Parallel()
				testRemovalDuringDial(t, removal, name == "withdrawn", class)
			})
		}
	}
}

// testRemovalDuringDial changes the list during a dial; drainFirst has the server drain before.
func testRemovalDuringDial(t *testing.T, removal removalDuringDial, drainFirst bool, class string) {
	t.Helper()
	const grace = 60 * time.Millisecond
	env := newHarness(t, func(c *node.Config) { c.Settings.Rules.DrainGrace = grace })
	addr, unblock := env.startBlockedServer("s0")
	env.addEndpoints(endpoint("s0", addr))
	env.start()
	client := env.dial().send(requestText("one", class, ""))
	env.awaitStatus("the attempt", func(s node.Status) bool { return s.Requests.AttemptsInFlight == 1 })
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
		t.Errorf("it went to %v, want %s alone", servers, removal.server)
	}
}

// The only server has a request whose retry would go there, and drains before its response fails. The retry goes to
// another server.
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
				t.Errorf("it went to %v", servers)
			}
		})
	}
}

// invalidResponse is a server's reaction that is not a response, or a failed one.
type invalidResponse struct {
	handler requestHandler
	pay     int // status that a non-idempotent request gets
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

// Each request may have run but for the one rejected by X-Not-Run: a non-idempotent one is not retried and not answered
// as rejected, a keyed one is retried within its deduplication scope.
var invalidResponses = map[string]invalidResponse{
	"closed before the answer": {func(serverRequest) bool { return false }, http.StatusBadGateway},
	"reset before the answer": {func(req serverRequest) bool {
		req.resetOnClose()
		return false
	}, http.StatusBadGateway},
	"reset in the head":      {resetAfter("HTTP/1.1 200 O"), http.StatusBadGateway},
	"reset in the body":      {resetAfter("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"), http.StatusBadGateway},
	"not HTTP":               {closeAfter("hello\r\n\r\n"), http.StatusBadGateway},
	"a late 100 and no more": {closeAfter("HTTP/1.1 100 Continue\r\n\r\n"), http.StatusBadGateway},
	"503 without X-Not-Run": {
		keepOpenAfter("HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"), http.StatusBadGateway,
	},
	"503 with X-Not-Run": {
		keepOpenAfter("HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), http.StatusOK,
	},
	"longer than it says": {
		closeAfter("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ndone and more"), http.StatusBadGateway,
	},
	"a head that never ends": {
		closeAfter("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 20<<10)), http.StatusBadGateway,
	},
	"lengths that contradict": {
		closeAfter("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"), http.StatusBadGateway,
	},
	"of no length, and reset": {
		resetAfter("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhal"), http.StatusBadGateway,
	},
	"chunks that break off": {
		closeAfter("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel"), http.StatusBadGateway,
	},
}

func TestInvalidResponses_Outcome(t *testing.T) {
	for name, invalid := range invalidResponses {
		for class, want := range map[string]int{"read": http.StatusOK, "pay": invalid.pay, "undo": http.StatusOK} {
			t.Run(fmt.Sprint(name, "/", class), func(t *testing.T) {
				t.Parallel()
				env := newHarness(t, nil)
				bad, well := env.startServer("bad", invalid.handler), env.startServer("well", nil)
				env.addEndpoints(endpoint("bad", bad), endpoint("well", well))
				env.start()
				env.dial().send(requestText("one", class, "")).expectStatus(want)
				wantServers := []string{"bad", "well"}
				if want != http.StatusOK {
					wantServers = wantServers[:1]
				}
				if servers := env.serversReached("one"); !slices.Equal(servers, wantServers) {
					t.Errorf("it went to %v, want %v", servers, wantServers)
				}
			})
		}
	}
}

// A server closes an idle connection as the next request is written to it: as far as the node can know the request may
// have run, so a non-idempotent one is not retried.
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
			for i := 0; !reused && i < 50; i++ { // the node delays reuse, and makes new connections meanwhile
				id := fmt.Sprint("next", i)
				status := env.request(id, class)
				servers := env.serversReached(id)
				reused = len(servers) > 0 && servers[0] == "s0" && (status != http.StatusOK || len(servers) > 1)
				if !reused {
					continue
				}
				if status != want || class == "pay" && len(servers) != 1 {
					t.Errorf("answered %d, went to %v", status, servers)
				}
			}
			if !reused {
				t.Error("no connection was used again")
			}
		})
	}
}

// lateResponder answers each request, and writes a second response to the previous one 4 to 10 ms after the first
// where the next request arrives in that time.
type lateResponder struct {
	mu         sync.Mutex
	last       serverRequest
	answeredAt time.Time
	crossed    int // second responses written
}

func (l *lateResponder) handle(req serverRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if strings.HasPrefix(req.id, "next") && l.last.Conn != nil {
		if gap := time.Since(l.answeredAt); gap > 4*time.Millisecond && gap < 10*time.Millisecond {
			l.crossed++
			l.last.respond("second")
		}
		l.last = serverRequest{}
		return req.respond("done " + req.id)
	}
	ok := req.respond("done " + req.id)
	l.last, l.answeredAt = req, time.Now()
	return ok
}

// count is the number of second responses written.
func (l *lateResponder) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crossed
}

// A second response comes some milliseconds after the first, while the next request is at the server already. It is not
// taken for the response to the next, which was sent on another connection.
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
				t.Fatalf("%s: answered %d %q, %v", id, status, body, err)
			}
			time.Sleep(4 * time.Millisecond) // brings the case about; the server tells whether it was one
		}
	}
	t.Logf("%d second responses 4 to 10 ms late, with the next request at the server", server.count())
	if server.count() == 0 {
		t.Error("the case never came about")
	}
}

// A response arrives in the same instant as the node's timeout for it ends. Each request has one response, and
// non-idempotent ones ran at most once.
func TestResponse_ArrivesWithTimeout(t *testing.T) {
	env := newHarness(t, func(c *node.Config) {
		for i := range c.Settings.Classes {
			class := &c.Settings.Classes[i]
			class.Deadline, class.LatencyObjective = 100*time.Millisecond, 90*time.Millisecond
		}
		c.Settings.Capabilities.MaxAttempts = 1
	})
	addr := env.startServer("s0", func(req serverRequest) bool {
		time.Sleep(time.Duration(76+len(req.id)%8) * time.Millisecond) // about when the attempt times out
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
	t.Logf("answers by status: %v", counts)
}

// requestAtTimeout sends a request of 100 ms, of a class and with an ID length that go by i, and checks its outcome.
func (env *harness) requestAtTimeout(i int) (status int) {
	env.t.Helper()
	id := fmt.Sprint("r", i, strings.Repeat("x", i%8))
	class := []string{"read", "pay", "undo"}[i%3]
	client := env.dial()
	defer client.close()
	status, body, err := client.send(requestText(id, class, "", "X-Deadline-Ms: 100")).readResponse()
	if err != nil || status == http.StatusOK && body != "done "+id {
		env.t.Errorf("%s: %d %q, %v", id, status, body, err)
	}
	servers := env.serversReached(id)
	mayHaveRun := class == "pay" && len(servers) == 1
	rejected := status != http.StatusOK && status < 500 || status == http.StatusServiceUnavailable
	if len(servers) > 1 || mayHaveRun && rejected {
		env.t.Errorf("%s: %d, went to %v", id, status, servers)
	}
	return status
}

// dedupCase is one combination of a deduplication scope, the place of the second server and a window.
type dedupCase struct {
	scope   policy.DedupScope
	place   func(m *router.Endpoint)
	inScope bool // the second server drops retries of what the first ran
	window  time.Duration
}

// windowOver tells whether the window ends before the first server breaks off.
func (c dedupCase) windowOver() bool { return c.window < time.Second }

// A keyed request that may have run is retried only where the retry is deduplicated, and only within the window: both
// go by the settings.
func TestKeyedRetries_StayInDedupScope(t *testing.T) {
	places := map[string]func(m *router.Endpoint){
		"of its cell":    func(*router.Endpoint) {},
		"of its zone":    func(m *router.Endpoint) { m.Cell = 2 },
		"somewhere else": func(m *router.Endpoint) { m.Cell, m.Zone = 3, "b" },
	}
	scopes := map[string]struct {
		scope  policy.DedupScope
		places []string
	}{
		"all":  {policy.DedupAll, []string{"of its cell", "of its zone", "somewhere else"}},
		"zone": {policy.DedupZone, []string{"of its cell", "of its zone"}},
		"cell": {policy.DedupCell, []string{"of its cell"}},
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
			time.Sleep(2 * dedup.window) // the window starts before this
		}
		return false
	}))
	well := endpoint("well", env.startServer("well", nil))
	dedup.place(&well)
	env.addEndpoints(bad, well)
	env.start()
	status, _, err := env.dial().send(requestText("one", "undo", "")).readResponse()
	if err != nil {
		t.Fatal(err)
	}
	servers := env.serversReached("one")
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case dedup.inScope && !dedup.windowOver():
		if status != http.StatusOK || !slices.Equal(servers, []string{"bad", "well"}) {
			t.Errorf("answered %d, went to %v", status, servers)
		}
	case !slices.Equal(servers, []string{"bad"}):
		t.Errorf("answered %d, went to %v", status, servers)
	case status == http.StatusOK, dedup.scope != policy.DedupAll && rejected:
		t.Errorf("answered %d: it may have run, and a client's retry may reach another group", status)
	}
}
