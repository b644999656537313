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

// settingsVariants are settings as other customers have them.
var settingsVariants = map[string]func(s *policy.Settings){
	"deadlines of 100 ms": func(s *policy.Settings) {
		for i := range s.Classes {
			s.Classes[i].Deadline, s.Classes[i].LatencyObjective = 100*time.Millisecond, 50*time.Millisecond
		}
	},
	"deadlines of 60 s": func(*policy.Settings) {},
	"one attempt":       func(s *policy.Settings) { s.Capabilities.MaxAttempts = 1 },
	"second copies":     func(s *policy.Settings) { s.Capabilities.Hedge = true },
	"no call-offs":      func(s *policy.Settings) { s.Capabilities.Cancel = false },
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
	"all effects the other": func(s *policy.Settings) {
		s.Classes[0].Idempotency, s.Classes[1].Idempotency = policy.NonIdempotent, policy.Idempotent
	},
}

// methodOf is the method that requests of a class use.
func methodOf(class policy.Class) string {
	if class.Idempotency == policy.Idempotent {
		return "GET"
	}
	return "POST"
}

// Under each variant of the settings, a request whose first server serves it, rejects it, or breaks off, has the
// outcome that its idempotency and the number of attempts allow.
func TestSettingsVariants_Outcome(t *testing.T) {
	firstServers := map[string]requestHandler{
		"well":        nil,
		"turned away": keepOpenAfter("HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"broken off":  func(serverRequest) bool { return false },
	}
	for name, change := range settingsVariants {
		for first, handler := range firstServers {
			t.Run(fmt.Sprint(name, "/", first), func(t *testing.T) {
				t.Parallel()
				for i := range 3 {
					testSettingsVariant(t, change, i, first, handler)
				}
			})
		}
	}
}

// testSettingsVariant sends one request of the class at an index; first names the reaction of its first server.
func testSettingsVariant(
	t *testing.T, change func(s *policy.Settings), classIndex int, first string, handler requestHandler,
) {
	t.Helper()
	env := newHarness(t, func(c *node.Config) {
		change(&c.Settings)
		c.Settings.Classes = slices.Clone(c.Settings.Classes)
	})
	addr, other := env.startServer("s0", handler), endpoint("s1", env.startServer("s1", nil))
	other.Cell = 2
	env.addEndpoints(endpoint("s0", addr), other)
	if first != "well" { // s0 is alone at first, so that it gets the first attempt
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
	env.checkVariantOutcome(first, class, status)
	env.shutdown()
}

// checkVariantOutcome checks the status of the request and the servers that it reached.
func (env *harness) checkVariantOutcome(first string, class policy.Class, status int) {
	env.t.Helper()
	servers := env.serversReached("one")
	nonIdempotent := class.Idempotency == policy.NonIdempotent
	rejected := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	switch {
	case len(servers) > max(1, env.config.Settings.Capabilities.MaxAttempts):
		env.t.Errorf("%s: went to %v", class.Name, servers)
	case first == "well" && (status != http.StatusOK || len(servers) != 1):
		env.t.Errorf("%s: answered %d, went to %v", class.Name, status, servers)
	case first == "broken off" && nonIdempotent &&
		(len(servers) != 1 || status < 500 || status == http.StatusServiceUnavailable):
		env.t.Errorf("%s: answered %d, went to %v", class.Name, status, servers)
	case first == "turned away" && status != http.StatusOK && !rejected:
		env.t.Errorf("%s never ran, and is answered %d, went to %v", class.Name, status, servers)
	}
}

// reloadCase is a change of settings while a request is at a server that will break off.
type reloadCase struct {
	before, after func(s *policy.Settings)
	status        int
	servers       []string // those that the request must reach
}

// withIdempotency returns a change of the class "pay".
func withIdempotency(idempotency policy.Idempotency) func(s *policy.Settings) {
	return func(s *policy.Settings) { s.Classes[1].Idempotency = idempotency }
}

// dropClass removes the class "pay".
func dropClass(s *policy.Settings) { s.Classes = s.Classes[:1] }

var reloadCases = map[string]reloadCase{
	"unsafe, then safe": {
		withIdempotency(policy.NonIdempotent), withIdempotency(policy.Idempotent),
		http.StatusBadGateway,
		[]string{"s0"},
	},
	"unsafe, then keyed": {
		withIdempotency(policy.NonIdempotent), withIdempotency(policy.IdempotencyKeyed),
		http.StatusBadGateway,
		[]string{"s0"},
	},
	"safe, then unsafe": {
		withIdempotency(policy.Idempotent), withIdempotency(policy.NonIdempotent),
		http.StatusOK,
		[]string{"s0", "s1"},
	},
	"dropped": {
		withIdempotency(policy.NonIdempotent), dropClass,
		http.StatusBadGateway,
		[]string{"s0"},
	},
	"safe, then dropped": {
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

// SIGHUP changes the settings of a class while a request of it is open: the request ends under the settings that it was
// accepted under.
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
				t.Errorf("it went to %v, want %v", servers, change.servers)
			}
		})
	}
}

// SIGHUP makes a class idempotent while the body of a request of it is arriving: the request, which its client sent as
// non-idempotent, is not forwarded as one that may be retried.
func TestReload_WithinBody(t *testing.T) {
	env := newHarness(t, nil)
	env.addEndpoints(endpoint("s0", env.startServer("s0", nil)))
	env.start()
	request := requestText("one", "pay", "12345678")
	client := env.dial().send(request[:len(request)-4])
	env.awaitStatus("the client", func(s node.Status) bool { return s.Connections.Busy == 1 })
	next := env.config
	next.Settings.Classes = slices.Clone(next.Settings.Classes)
	next.Settings.Classes[1].Idempotency = policy.Idempotent
	env.reload(next)
	client.send(request[len(request)-4:])
	status, _, err := client.readResponse()
	servers := env.serversReached("one")
	switch { // the status depends on whether the node had read the head before the reload
	case err != nil:
		t.Error(err)
	case status == http.StatusServiceUnavailable || status == http.StatusMethodNotAllowed:
		if len(servers) > 0 {
			t.Errorf("answered %d, and went to %v", status, servers)
		}
	default:
		t.Errorf("answered %d, went to %v", status, servers)
	}
}

// A reload that is rejected changes nothing: neither the settings nor the address of discovery.
func TestReload_AppliedCompletelyOrNotAtAll(t *testing.T) {
	for name, spoil := range map[string]func(c *node.Config){
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
			spoil(&invalid)
			env.reload(invalid)
			env.expectServed("one") // a GET, as the old settings have it
			env.discovery.publish(listEntry("s0", first, "up"), listEntry("s1", second, "up"))
			env.awaitStatus("a change from the old address", func(s node.Status) bool { return s.Servers["running"] == 2 })
			if n := len(other.calls); n > 0 {
				t.Errorf("%d calls at the new address", n)
			}
			valid := env.config
			valid.Discovery, valid.Settings.Classes = invalid.Discovery, slices.Clone(invalid.Settings.Classes)
			if len(valid.Settings.Classes) == 0 {
				valid.Settings.Classes = env.config.Settings.Classes
			}
			env.reload(valid) // without the fault it is applied
			testkit.Receive(t, "a call at the new address", other.calls)
		})
	}
}
