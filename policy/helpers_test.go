package policy

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings with one class of each idempotency and deduplication scope.
func testSettings(nodes int) Settings {
	return Settings{
		Nodes: nodes, Zone: "a",
		Classes: []Class{
			{Name: "idempotent", LatencyObjective: 250 * ms, Deadline: 600 * ms, Idempotency: Idempotent},
			{Name: "single", LatencyObjective: 250 * ms, Deadline: 600 * ms, LateWeightFraction: 0.2},
			keyedClass("dedup-all", DedupAll),
			keyedClass("dedup-zone", DedupZone),
			keyedClass("dedup-cell", DedupCell),
		},
		Tenants:      []Tenant{{Name: "t", Quota: 1000}, {Name: "u", Quota: 10}},
		Capabilities: Capabilities{Cancel: true, Hedge: true, MaxAttempts: 4},
		Rules: Rules{
			DrainGrace: time.Second, SlowStartShare: 0.2, SlowStartWindow: 10 * time.Second,
			OverloadFactor: 3, OverloadDuration: 2 * time.Second,
		},
	}
}

func keyedClass(name string, scope DedupScope) Class {
	return Class{
		Name: name, LatencyObjective: 250 * ms, Deadline: 600 * ms,
		Idempotency: IdempotencyKeyed, DedupScope: scope, DedupWindow: 300 * ms,
	}
}

// testEndpoints returns n servers. They alternate between two zones, and cycle through three kinds and four cells.
func testEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			Server: fmt.Sprintf("s%02d", i), Zone: []string{"a", "b"}[i%2],
			Kind: fmt.Sprint("k", i%3), Cell: NewCell(int64(i % 4)), Weight: 1,
		})
	}
	return list
}

// startBalancer returns a balancer that has received the endpoint list.
func startBalancer(t *testing.T, settings Settings, list []Endpoint) *Balancer {
	t.Helper()
	b, err := New(settings, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(0, EndpointList{Kind: ListRestored, Endpoints: list})
	return b
}

// actionsOf returns the actions of the given kind.
func actionsOf(acts []Action, kind ActionKind) []Action {
	var out []Action
	for _, a := range acts {
		if a.Kind == kind {
			out = append(out, a)
		}
	}
	return out
}

func testRequest(id, class string) Request {
	return Request{ID: id, Class: class, Tenant: "t", ExpiresIn: 600 * ms}
}

// sentServer returns the server of the only Send action in acts.
func sentServer(t *testing.T, acts []Action) string {
	t.Helper()
	sends := actionsOf(acts, Send)
	if len(sends) != 1 {
		t.Fatalf("want one send, got %+v", acts)
	}
	return sends[0].Server
}

func testOutcome(id string, attempt int, server string, code Code, latency time.Duration) Outcome {
	return Outcome{ID: id, Attempt: attempt, Server: server, Code: code, Latency: latency, Answered: code == OK}
}

// handle passes an event to b and returns a copy of the actions, because the next call of Handle overwrites them.
func handle(b *Balancer, now Time, event Event) []Action {
	return append([]Action(nil), b.Handle(now, event)...)
}

func lateClass(name string, idempotency Idempotency) Class {
	return Class{
		Name: name, LatencyObjective: 200 * ms, Deadline: time.Second, LateWeightFraction: 0.5,
		Idempotency: idempotency,
	}
}

// reconfigurableSettings returns settings of one node in one zone, without hedged requests.
func reconfigurableSettings() Settings {
	return Settings{
		Nodes: 1, Zone: "a",
		Classes: []Class{
			lateClass("read", Idempotent),
			lateClass("pay", NonIdempotent),
		},
		Tenants:      []Tenant{{Name: "t", Quota: 1000}},
		Capabilities: Capabilities{Cancel: true, MaxAttempts: 3},
		Rules:        Rules{DrainGrace: 500 * ms},
	}
}

func twoEndpoints() EndpointList {
	return EndpointList{Endpoints: []Endpoint{{Server: "one", Zone: "a"}, {Server: "two", Zone: "a"}}}
}

func countActions(acts []Action, kind ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == kind {
			n++
		}
	}
	return n
}
