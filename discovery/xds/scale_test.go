package xds

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// packedAssignment returns an encoded assignment of n endpoints. port is added to the port of all endpoints if all is
// set, otherwise to the port of the first endpoint only. Different values of port give different versions of the
// assignment.
func packedAssignment(b testing.TB, name string, n, port int, all bool) *anypb.Any {
	b.Helper()
	var addrs []string
	for i := range n {
		p := 1000
		if all || i == 0 {
			p += port
		}
		addrs = append(addrs, fmt.Sprintf("10.%d.%d.%d:%d", i>>16&255, i>>8&255, i&255, p))
	}
	raw, err := proto.Marshal(assignment(name, addrs...))
	if err != nil {
		b.Fatal(err)
	}
	return &anypb.Any{TypeUrl: resource.AssignmentURL, Value: raw}
}

// BenchmarkUpdate measures the time from the bytes of a response to the router's update. One endpoint changes. The n
// endpoints are in a single cluster, or in clusters of 100 endpoints each.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		for _, each := range []int{n, 100} {
			b.Run(fmt.Sprintf("endpoints=%d/cluster=%d", n, each), func(b *testing.B) { benchmarkUpdate(b, n, each) })
		}
	}
}

func benchmarkUpdate(b *testing.B, n, each int) {
	machine, snapshot := ads.New(ads.Delta), newSnapshot()
	machine.Connected()
	clusters, first := initialResponses(b, n, each)
	machine.HandleResponse(time.Unix(1, 0), clusters)
	apply := func(message *xdspb.DeltaDiscoveryResponse) int {
		response, ok := decodeDelta(message)
		if !ok || response.Err != nil {
			b.Fatal(response.Err)
		}
		machine.HandleResponse(time.Unix(1, 0), response)
		return len(snapshot.apply(machine.Applied()))
	}
	if got := apply(first); got != n {
		b.Fatalf("%d servers, want %d", got, n)
	}
	var versions [2]*xdspb.DeltaDiscoveryResponse
	for v := range versions {
		body := packedAssignment(b, "c0", each, 1+v, false)
		versions[v] = &xdspb.DeltaDiscoveryResponse{
			TypeUrl:   resource.AssignmentURL,
			Resources: []*xdspb.Resource{{Name: "c0", Resource: body}},
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if got := apply(versions[i%2]); got < 1 || got > 2 && i > 0 {
			b.Fatalf("%d servers changed, want 1 or 2", got)
		}
	}
}

// initialResponses returns the response with the clusters and the response with n endpoints. Each cluster has the
// given number of endpoints.
func initialResponses(b *testing.B, n, each int) (ads.Response, *xdspb.DeltaDiscoveryResponse) {
	b.Helper()
	clusters := ads.Response{Type: ads.Clusters}
	endpoints := &xdspb.DeltaDiscoveryResponse{TypeUrl: resource.AssignmentURL}
	for i := range n / each {
		name := fmt.Sprint("c", i)
		cluster := &resource.Cluster{Name: name, EDS: true, ServiceName: name}
		clusters.Resources = append(clusters.Resources, ads.Resource{Name: name, Value: cluster})
		body := packedAssignment(b, name, each, 0, false)
		if n != each { // several clusters, which must not share addresses
			body = packedAssignmentAt(b, name, each, i)
		}
		endpoints.Resources = append(endpoints.Resources, &xdspb.Resource{Name: name, Resource: body})
	}
	return clusters, endpoints
}

// packedAssignmentAt returns the encoded assignment of n endpoints for cluster i; no two clusters share an address.
func packedAssignmentAt(b testing.TB, name string, n, i int) *anypb.Any {
	b.Helper()
	var addrs []string
	for j := range n {
		k := i*n + j
		addrs = append(addrs, fmt.Sprintf("10.%d.%d.%d:1000", k>>16&255, k>>8&255, k&255))
	}
	raw, err := proto.Marshal(assignment(name, addrs...))
	if err != nil {
		b.Fatal(err)
	}
	return &anypb.Any{TypeUrl: resource.AssignmentURL, Value: raw}
}

// TestSource_LatencyDuringFlood compares the latency of requests with and without a flood of updates, measured
// alternately. The test is a measurement and runs only if the environment variable FLOOD is set.
func TestSource_LatencyDuringFlood(t *testing.T) {
	if os.Getenv("FLOOD") == "" {
		t.Skip("this test is a measurement: set FLOOD to run it")
	}
	controlPlane, app := startControlPlane(t), newAppServers(t, 4)
	// The endpoints of the flood are draining. Requests therefore go only to the real servers.
	flood := func(i int) {
		var addrs []string
		for j := range 1000 {
			addrs = append(addrs, fmt.Sprintf("10.9.%d.%d:%d", j>>8, j&255, 1000+i%2))
		}
		a := assignment("flood", addrs...)
		for _, e := range a.Endpoints[0].LbEndpoints {
			e.HealthStatus = xdspb.HealthStatus_DRAINING
		}
		controlPlane.Set(a)
	}
	controlPlane.Set(cluster("rooms"), cluster("flood"), assignment("rooms", app.addrs...))
	flood(0)
	source, err := New(Config{Servers: []Server{{Addr: controlPlane.Addr}}, Node: &xdspb.Node{Id: "flood"}, Delta: true})
	if err != nil {
		t.Fatal(err)
	}
	r, err := router.New(router.Config{Settings: policy.Settings{
		Nodes: 1,
		Zone:  "a",
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.Idempotent},
		},
		Capabilities: policy.Capabilities{MaxAttempts: 3},
		Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
	}},
		router.WithEndpointSource(source), router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	testkit.Await(
		t,
		"the servers",
		func() bool { return r.Stats().EndpointsByAvailability[policy.Running] == len(app.addrs) },
	)
	var ratios []float64
	for range 5 {
		baseline := latencyP99(t, r, nil)
		flooded := latencyP99(t, r, flood)
		ratios = append(ratios, float64(flooded)/float64(baseline))
		t.Logf("p99 latency: %v without updates, %v with updates", baseline, flooded)
	}
	slices.Sort(ratios)
	t.Logf("ratios of the p99 latencies: %.2f", ratios)
	if ratios[2] > 1.2 {
		t.Errorf("the median ratio of the p99 latencies is %.2f, want at most 1.2", ratios[2])
	}
}

// latencyP99 returns the 99th percentile of the latency of requests sent during two seconds. If flood is not nil, it
// is called twenty times a second, which updates 20,000 endpoints a second.
func latencyP99(t *testing.T, r *router.Router, flood func(version int)) time.Duration {
	t.Helper()
	var latencies []time.Duration
	next, version := time.Now(), 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		if flood != nil && !time.Now().Before(next) {
			version++
			flood(version)
			next = next.Add(50 * time.Millisecond)
		}
		began := time.Now()
		request := router.Request{ID: fmt.Sprint(began.UnixNano()), Class: "read", Tenant: "t", Target: "/"}
		if _, err := r.Do(t.Context(), request); err != nil {
			t.Fatal(err)
		}
		latencies = append(latencies, time.Since(began))
		time.Sleep(500 * time.Microsecond)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}
