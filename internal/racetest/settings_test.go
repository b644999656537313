package racetest

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cobaltward/internal/node"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
)

// settingsVariants are changes of the test settings. A deployment may use any of the resulting settings.
var settingsVariants = map[string]func(s *policy.Settings){
	"deadlines of 100 ms": func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Deadline, s.Classes[i].LatencyObjective = 100*time.Millisecond, 50*time.Millisecond
		}
	},
	"deadlines of 60 s": func(*policy.Settings) {},
	"one attempt":       func(s *policy.Settings) { s.Capabilities.MaxAttempts = 1 },
	"hedged requests":   func(s *policy.Settings) { s.Capabilities.Hedge = true },
	"no cancellation":   func(s *policy.Settings) { s.Capabilities.Cancel = false },
	"no Retry-After":    func(s *policy.Settings) { s.Capabilities.RetryAfter = false },
	"no zones":          func(s *policy.Settings) { s.Zone = "" },
	"another zone":      func(s *policy.Settings) { s.Zone = "b" },
	"a grace of 20 ms":  func(s *policy.Settings) { s.Rules.DrainGrace = 20 * time.Millisecond },
	"no grace":          func(s *policy.Settings) { s.Rules.DrainGrace = 0 },
	"one tenant":        func(s *policy.Settings) { s.Tenants = []policy.Tenant{{Name: "t", Quota: 1000, Share: 1}} },
	"idle after 1 s":    func(s *policy.Settings) { s.Capabilities.ConnIdleTimeout = time.Second },
	"many nodes":        func(s *policy.Settings) { s.Nodes, s.Node = 300, 17 },
	"keys by zone":      func(s *policy.Settings) { s.Classes[2].DedupScope = policy.DedupZone },
	"keys by cell":      func(s *policy.Settings) { s.Classes[2].DedupScope = policy.DedupCell },
	"a window of 1 ms":  func(s *policy.Settings) { s.Classes[2].DedupWindow = time.Millisecond },
	"no keys":           func(s *policy.Settings) { s.Classes[2].Idempotency = policy.NonIdempotent },
	"idempotency swapped": func(s *policy.Settings) {
		s.Classes[0].Idempotency, s.Classes[1].Idempotency = policy.NonIdempotent, policy.Idempotent
	},
}

// methodOf returns the HTTP method of requests of the given class.
func methodOf(class policy.Class) string {
	if class.Idempotency == policy.Idempotent {
		return "GET"
	}
	return "POST"
}

// TestSettingsVariants_Outcome checks that the outcome of a request fits its idempotency and the maximum number of
// attempts, with each variant of the settings. The first server serves the request, rejects it, or closes the
// connection without a response.
func TestSettingsVariants_Outcome(t *testing.T) {
	firstServers := map[string]requestHandler{
		"served":   nil,
		"rejected": keepOpenAfter("HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"closed":   func(serverRequest) bool { return false },
	}
	for name, change := range settingsVariants {
		for firstReaction, handler := range firstServers {
			t.Run(fmt.Sprint(name, "/", firstReaction), func(t *testing.T) {
				t.Parallel()
				for i := range 3 {
					testSettingsVariant(t, change, i, firstReaction, handler)
				}
			})
		}
	}
}

// testSettingsVariant sends one request of the class at classIndex, with settings modified by change. firstReaction
// names the reaction of the first server, and handler implements the reaction.
func testSettingsVariant(
	t *testing.T, change func(s *policy.Settings), classIndex int, firstReaction string, handler requestHandler,
) {
	t.Helper()
	env := newHarness(t, func(c *node.Config) {
		change(&c.Settings)
		c.Settings.Classes = slices.Clone(c.Settings.Classes)
	})
	addr, other := env.startServer("s0", handler), endpoint("s1", env.startServer("s1", nil))
	other.Cell = policy.NewCell(2)
	env.addEndpoints(endpoint("s0", addr), other)
	if firstReaction != "served" { // list only s0, which then gets the first attempt
		env.config.InitialList.Endpoints = env.config.InitialList.Endpoints[:1]
		env.discovery.publish(listEntry("s0", addr, "up"))
	}
	class := env.config.Settings.Classes[classIndex]
	env.start()
	const format = "%s /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: one\r\nX-Class: %s\r\nX-Tenant: t\r\n" +
		"X-Deadline-Ms: %d\r\nContent-Length: 0\r\nIdempotency-Key: k\r\n\r\n"
	deadlineMs := min(class.Deadline, time.Second).Milliseconds()
	client := env.dial().send(fmt.Sprintf(format, methodOf(class), class.Name, deadlineMs))
	status, _, err := client.readResponse()
	if err != nil {
		t.Fatal(err)
	}
	env.checkVariantOutcome(firstReaction, class, status)
	env.shutdown()
}

// checkVariantOutcome checks the response status of a request of the given class and the servers that it reached.
// firstReaction names the reaction of the first server.
func (env *harness) checkVariantOutcome(firstReaction string, class policy.Class, status int) {
	env.t.Helper()
	servers := env.serversReached("one")
	nonIdempotent := class.Idempotency == policy.NonIdempotent
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case len(servers) > max(1, env.config.Settings.Capabilities.MaxAttempts):
		env.t.Errorf("class %s: more attempts than allowed, at %v", class.Name, servers)
	case firstReaction == "served" && (status != http.StatusOK || len(servers) != 1):
		env.t.Errorf("class %s: status %d, forwarded to %v; want 200 after one attempt", class.Name, status, servers)
	case firstReaction == "closed" && nonIdempotent &&
		(len(servers) != 1 || status < 500 || status == http.StatusServiceUnavailable):
		env.t.Errorf("class %s: status %d, forwarded to %v; want a failure after one attempt", class.Name, status, servers)
	case firstReaction == "rejected" && status != http.StatusOK && !rejected:
		env.t.Errorf("class %s: did not run, but got status %d, forwarded to %v", class.Name, status, servers)
	}
}

// reloadCase is a change of settings while a request is at a server. The server then closes the connection without a
// response.
type reloadCase struct {
	before, after func(s *policy.Settings)
	status        int      // expected status of the response
	servers       []string // servers that must receive the request, in order
}

// withIdempotency returns a function that sets the idempotency of the class "pay".
func withIdempotency(idempotency policy.Idempotency) func(s *policy.Settings) {
	return func(s *policy.Settings) { s.Classes[1].Idempotency = idempotency }
}

// dropClass removes the class "pay" and all later classes.
func dropClass(s *policy.Settings) { s.Classes = s.Classes[:1] }

var reloadCases = map[string]reloadCase{
	"non-idempotent to idempotent": {
		withIdempotency(policy.NonIdempotent), withIdempotency(policy.Idempotent),
		http.StatusBadGateway,
		[]string{"s0"},
	},
	"non-idempotent to keyed": {
		withIdempotency(policy.NonIdempotent), withIdempotency(policy.IdempotencyKeyed),
		http.StatusBadGateway,
		[]string{"s0"},
	},
	"idempotent to non-idempotent": {
		withIdempotency(policy.Idempotent), withIdempotency(policy.NonIdempotent),
		http.StatusOK,
		[]string{"s0", "s1"},
	},
	"non-idempotent, then removed": {
		withIdempotency(policy.NonIdempotent), dropClass,
		http.StatusBadGateway,
		[]string{"s0"},
	},
	"idempotent, then removed": {
		withIdempotency(policy.Idempotent), dropClass,
		http.StatusOK,
		[]string{"s0", "s1"},
	},
	"a shorter deadline": {
		withIdempotency(policy.Idempotent), func(s *policy.Settings) {
			s.Classes[1].Deadline, s.Classes[1].LatencyObjective = time.Millisecond, time.Millisecond
		},
		http.StatusOK,
		[]string{"s0", "s1"},
	},
	"fewer attempts": {
		withIdempotency(policy.Idempotent), func(s *policy.Settings) { s.Capabilities.MaxAttempts = 1 },
		http.StatusOK,
		[]string{"s0", "s1"},
	},
}

// TestReload_WhileRequestsAreOpen checks that a reload by SIGHUP does not affect open requests of a changed class.
// The settings that were in effect when the node accepted a request must apply until the request ends.
func TestReload_WhileRequestsAreOpen(t *testing.T) {
	for name, change := range reloadCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			reached, proceed := make(chan string, 4), make(chan bool)
			env := newHarness(t, func(config *node.Config) { change.before(&config.Settings) })
			first := env.startServer("s0", func(req serverRequest) bool {
				reached <- req.id
				<-proceed
				return false
			})
			env.addEndpoints(endpoint("s0", first), endpoint("s1", env.startServer("s1", nil)))
			env.start()
			client := env.dial().send(methodOf(env.config.Settings.Classes[1]) + " /api HTTP/1.1\r\nHost: x\r\n" +
				"X-Request-Id: one\r\nX-Class: pay\r\nX-Tenant: t\r\nX-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n")
			testkit.Receive(t, "the first attempt", reached)
			next := env.config
			next.Settings.Classes = slices.Clone(next.Settings.Classes)
			change.after(&next.Settings)
			env.reload(next)
			close(proceed)
			client.expectStatus(change.status)
			if servers := env.serversReached("one"); !slices.Equal(servers, change.servers) {
				t.Errorf("the request was forwarded to %v, want %v", servers, change.servers)
			}
		})
	}
}

// TestReload_WithinBody checks that the node does not forward a request whose class SIGHUP makes idempotent while the
// body is arriving. The client sent the request as non-idempotent, so the node must not forward it as idempotent.
func TestReload_WithinBody(t *testing.T) {
	env := newHarness(t, nil)
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	request := requestText("one", "pay", "12345678")
	client := env.dial().send(request[:len(request)-4])
	env.awaitStatus("the incomplete request", func(s node.Status) bool { return s.Connections.Busy == 1 })
	next := env.config
	next.Settings.Classes = slices.Clone(next.Settings.Classes)
	next.Settings.Classes[1].Idempotency = policy.Idempotent
	env.reload(next)
	client.send(request[len(request)-4:])
	status, _, err := client.readResponse()
	servers := env.serversReached("one")
	switch { // the status depends on whether the node read the head before the reload
	case err != nil:
		t.Error(err)
	case status == http.StatusServiceUnavailable || status == http.StatusMethodNotAllowed:
		if len(servers) > 0 {
			t.Errorf("status %d, but forwarded to %v", status, servers)
		}
	default:
		t.Errorf("status %d, forwarded to %v; want 503 or 405", status, servers)
	}
}

// TestReload_AppliedCompletelyOrNotAtAll checks that a rejected reload changes neither the settings nor the address
// of discovery. The node must apply the same reload without the invalid setting.
func TestReload_AppliedCompletelyOrNotAtAll(t *testing.T) {
	for name, invalidate := range map[string]func(c *node.Config){
		"another mode":      func(c *node.Config) { c.Settings.Subscribe = true },
		"no classes":        func(c *node.Config) { c.Settings.Classes = nil },
		"a share above one": func(c *node.Config) { c.Settings.Rules.SlowStartShare = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newHarness(t, nil)
			first, second := env.startServer("s0", nil), env.startServer("s1", nil)
			env.addEndpoints(endpoint("s0", first))
			env.start()
			other := newDiscoveryStub(t)
			other.publish(listEntry("s1", second, "up"))
			invalid := env.config
			invalid.Discovery = other.addr
			invalid.Settings.Classes = slices.Clone(invalid.Settings.Classes)
			invalid.Settings.Classes[0].Idempotency = policy.NonIdempotent
			invalidate(&invalid)
			env.reload(invalid)
			env.expectServed("one") // a GET, which only the old settings accept for this class
			env.discovery.publish(listEntry("s0", first, "up"), listEntry("s1", second, "up"))
			env.awaitStatus("a change from the old address", func(s node.Status) bool { return s.Servers["running"] == 2 })
			if n := len(other.calls); n > 0 {
				t.Errorf("%d calls to discovery at the address of the rejected configuration", n)
			}
			valid := env.config
			valid.Discovery, valid.Settings.Classes = invalid.Discovery, slices.Clone(invalid.Settings.Classes)
			if len(valid.Settings.Classes) == 0 {
				valid.Settings.Classes = env.config.Settings.Classes
			}
			env.reload(valid) // the same changes without the invalid setting
			testkit.Receive(t, "a call at the new address", other.calls)
		})
	}
}
