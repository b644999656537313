package policy

import (
	"fmt"
	"testing"
	"time"
)

// busyBalancer returns a balancer with n servers. The first busy servers are above their thresholds. Its only class
// is restricted to zones, if any are given.
func busyBalancer(b testing.TB, n, busy int, zones ...string) *Balancer {
	b.Helper()
	settings := reconfigurableSettings()
	settings.Tenants, settings.Classes = nil, settings.Classes[:1]
	settings.Classes[0].Zones = zones
	settings.Classes[0].Deadline = time.Hour
	node, err := New(settings, 0, 1)
	if err != nil {
		b.Fatal(err)
	}
	all := make([]Endpoint, n)
	for i := range all {
		all[i] = Endpoint{Server: fmt.Sprintf("s%06d", i), Zone: "a", Weight: 1}
	}
	node.Handle(0, EndpointList{Endpoints: all})
	for i := 0; i < busy; i++ {
		s := node.order[i]
		s.inFlight = int(node.effectiveThreshold(s)) + 1
	}
	return node
}

// runVariants runs a benchmark for each number of servers, with the index and with a scan of all servers.
func runVariants(b *testing.B, sizes []int, run func(b *testing.B, n int, linear bool)) {
	for _, n := range sizes {
		for _, linear := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/linear=%v", n, linear), func(b *testing.B) { run(b, n, linear) })
		}
	}
}

// BenchmarkOneChange measures an update in which one server of many drains or returns to service.
func BenchmarkOneChange(b *testing.B) {
	runVariants(b, []int{20, 100, 1000, 10_000, 100_000}, func(b *testing.B, n int, linear bool) {
		applyOneChange(b, busyBalancer(b, n, 0), n, linear)
	})
}

// applyOneChange alternately drains one server and returns it to service.
func applyOneChange(b *testing.B, node *Balancer, n int, linear bool) {
	node.linearScan = linear
	endpoint := Endpoint{Server: fmt.Sprintf("s%06d", n/2), Zone: "a", Weight: 1}
	for i := range b.N {
		endpoint.Availability = Availability(i % 2)
		node.Handle(Time(i), EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{endpoint}})
	}
}

// BenchmarkOneChangeBound is like BenchmarkOneChange, with a class that is restricted to a zone. The zone contains
// all servers.
func BenchmarkOneChangeBound(b *testing.B) {
	runVariants(b, []int{1000, 10_000}, func(b *testing.B, n int, linear bool) {
		applyOneChange(b, busyBalancer(b, n, 0, "a"), n, linear)
	})
}

// BenchmarkRequestAmongBusy measures a request and its outcome while all servers are above their thresholds. The
// outcome is Cancelled, so the balancer learns nothing and the servers stay above their thresholds.
func BenchmarkRequestAmongBusy(b *testing.B) {
	runVariants(b, []int{20, 1000, 10_000}, func(b *testing.B, n int, linear bool) {
		node := busyBalancer(b, n, n)
		node.linearScan = linear
		now := Time(0)
		for i := range b.N {
			now += time.Microsecond
			id := fmt.Sprint(i)
			for _, a := range node.Handle(now, Request{ID: id, Class: "read", Tenant: "t", ExpiresIn: time.Hour}) {
				if a.Kind == Send {
					node.Handle(now, Outcome{ID: id, Server: a.Server, Code: Cancelled, Latency: 50 * ms, Answered: true})
					break
				}
			}
		}
		if len(node.queued) > 0 || len(node.requests) > 0 {
			b.Fatalf("%d requests queued and %d unfinished, want none", len(node.queued), len(node.requests))
		}
	})
}
