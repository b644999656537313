package policy

import (
	"fmt"
	"testing"
	"time"
)

// busyBalancer is a node with n servers; the first busy of them are at their thresholds. Its one class is
// restricted to zones where these are named.
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

// runVariants runs a benchmark as the module works, and as it would by a scan of all servers.
func runVariants(b *testing.B, sizes []int, run func(b *testing.B, n int, linear bool)) {
	for _, n := range sizes {
		for _, linear := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/linear=%v", n, linear), func(b *testing.B) { run(b, n, linear) })
		}
	}
}

// BenchmarkOneChange is one server's drain or return in a list of many.
func BenchmarkOneChange(b *testing.B) {
	runVariants(b, []int{20, 100, 1000, 10_000, 100_000}, func(b *testing.B, n int, linear bool) {
		oneChange(b, busyBalancer(b, n, 0), n, linear)
	})
}

func oneChange(b *testing.B, node *Balancer, n int, linear bool) {
	node.linearScan = linear
	m := Endpoint{Server: fmt.Sprintf("s%06d", n/2), Zone: "a", Weight: 1}
	for i := range b.N {
		m.Availability = Availability(i % 2)
		node.Handle(Time(i), EndpointList{Kind: ListUpdate, Endpoints: []Endpoint{m}})
	}
}

// BenchmarkOneChangeBound is the same where a class is restricted to a part of the servers, here all.
func BenchmarkOneChangeBound(b *testing.B) {
	runVariants(b, []int{1000, 10_000}, func(b *testing.B, n int, linear bool) {
		oneChange(b, busyBalancer(b, n, 0, "a"), n, linear)
	})
}

// BenchmarkRequestAmongBusy is a request and its end where all servers are over their thresholds, and
// stay so: nothing is learned.
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
			b.Fatalf("%d queued, %d open", len(node.queued), len(node.requests))
		}
	})
}
