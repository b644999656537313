package xds

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/standin"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"go.uber.org/goleak"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/structpb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func cluster(name string) *xdspb.Cluster {
	return &xdspb.Cluster{Name: name, ClusterDiscoveryType: &xdspb.Cluster_Type{Type: xdspb.Cluster_EDS}}
}

func lbEndpoint(addr string) *xdspb.LbEndpoint {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		panic(err)
	}
	var n uint32
	if _, err := fmt.Sscan(port, &n); err != nil {
		panic(err)
	}
	return &xdspb.LbEndpoint{
		HostIdentifier: &xdspb.LbEndpoint_Endpoint{Endpoint: &xdspb.Endpoint{Address: &xdspb.Address{
			Address: &xdspb.Address_SocketAddress{SocketAddress: &xdspb.SocketAddress{
				Address:       host,
				PortSpecifier: &xdspb.SocketAddress_PortValue{PortValue: n},
			}},
		}}},
	}
}

func assignment(name string, addrs ...string) *xdspb.ClusterLoadAssignment {
	l := &xdspb.LocalityLbEndpoints{Locality: &xdspb.Locality{Zone: "a"}}
	for _, a := range addrs {
		l.LbEndpoints = append(l.LbEndpoints, lbEndpoint(a))
	}
	return &xdspb.ClusterLoadAssignment{ClusterName: name, Endpoints: []*xdspb.LocalityLbEndpoints{l}}
}

func startControlPlane(t testing.TB) *standin.ControlPlane {
	t.Helper()
	p, err := standin.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return p
}

// publishedList records the list that a source has published, as a router does.
type publishedList struct {
	mu        sync.Mutex
	endpoints map[string]router.Endpoint
	updates   int
}

func (l *publishedList) publish(c router.EndpointUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updates++
	if c.Kind == policy.ListReplace {
		clear(l.endpoints)
	}
	for _, m := range c.Endpoints {
		if m.Availability == policy.Removed {
			delete(l.endpoints, m.ID)
		} else {
			l.endpoints[m.ID] = m
		}
	}
}

// running returns the addresses of the running servers.
func (l *publishedList) running() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	for id, m := range l.endpoints {
		if m.Availability == policy.Running {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return strings.Join(all, " ")
}

func (l *publishedList) await(t testing.TB, want string) {
	t.Helper()
	testkit.Await(t, "the servers "+want, func() bool { return l.running() == want })
}

// runSource runs a source until the test ends. It returns the source and its published list.
func runSource(t testing.TB, c Config) (*Source, *publishedList) {
	t.Helper()
	if c.backoffBase == 0 {
		c.backoffBase, c.backoffMax = 10*time.Millisecond, 50*time.Millisecond
	}
	c.Node = &xdspb.Node{Id: "test", Cluster: "tests"}
	s, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	l := &publishedList{endpoints: make(map[string]router.Endpoint)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx, l.publish); close(ended) }()
	t.Cleanup(func() { cancel(); testkit.Receive(t, "the end of the source", ended) })
	return s, l
}

// forEachVariant runs a test in both variants of the protocol.
func forEachVariant(t *testing.T, f func(t *testing.T, delta bool)) {
	for _, delta := range []bool{false, true} {
		t.Run(map[bool]string{false: "sotw", true: "delta"}[delta], func(t *testing.T) { f(t, delta) })
	}
}

func TestSource_PublishesChanges(t *testing.T) {
	forEachVariant(t, func(t *testing.T, delta bool) {
		controlPlane := startControlPlane(t)
		controlPlane.Set(cluster("rooms"), assignment("rooms", "10.0.0.1:1", "10.0.0.2:1"))
		source, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, Delta: delta})
		published.await(t, "10.0.0.1:1 10.0.0.2:1")
		controlPlane.Set(assignment("rooms", "10.0.0.2:1", "10.0.0.3:1"))
		published.await(t, "10.0.0.2:1 10.0.0.3:1")
		controlPlane.Set(cluster("more"), assignment("more", "10.0.0.3:1", "10.0.0.4:1"))
		published.await(t, "10.0.0.2:1 10.0.0.3:1 10.0.0.4:1")
		published.mu.Lock()
		if m := published.endpoints["10.0.0.3:1"]; !slices.Equal(m.Pools, []string{"more", "rooms"}) || m.Zone != "a" {
			t.Errorf("unexpected pools or zone of a server in two clusters: %+v", m)
		}
		published.mu.Unlock()
		controlPlane.Remove(resource.ClusterURL, "rooms")
		published.await(t, "10.0.0.3:1 10.0.0.4:1")
		st := source.Status()
		if !st.Connected || !st.Complete || st.Server != controlPlane.Addr || len(st.Endpoints) != 2 ||
			controlPlane.Acks.Load() == 0 ||
			len(controlPlane.Nacks()) != 0 {
			t.Errorf(
				"%v, complete %v, %d responses acknowledged, NACKs %v",
				st,
				st.Complete,
				controlPlane.Acks.Load(),
				controlPlane.Nacks(),
			)
		}
		controlPlane.Set(assignment("more"))
		published.await(t, "") // an empty list may be a drain, so it is applied
	})
}

// TestSource_HealthAndPriorityDecideAvailability checks that draining, unhealthy and low-priority endpoints get no
// new work. An endpoint that any cluster drains must be draining.
func TestSource_HealthAndPriorityDecideAvailability(t *testing.T) {
	controlPlane := startControlPlane(t)
	rooms := assignment("rooms", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1")
	for i, h := range []xdspb.HealthStatus{
		xdspb.HealthStatus_HEALTHY, xdspb.HealthStatus_HEALTHY, xdspb.HealthStatus_HEALTHY,
		xdspb.HealthStatus_HEALTHY, xdspb.HealthStatus_DRAINING,
	} {
		rooms.Endpoints[0].LbEndpoints[i].HealthStatus = h
	}
	fallback := &xdspb.LocalityLbEndpoints{Priority: 1, LbEndpoints: []*xdspb.LbEndpoint{lbEndpoint("10.0.1.1:1")}}
	rooms.Endpoints = append(rooms.Endpoints, fallback)
	controlPlane.Set(cluster("rooms"), rooms)
	_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}})
	published.await(t, "10.0.0.1:1 10.0.0.2:1 10.0.0.3:1 10.0.0.4:1")
	for _, e := range rooms.Endpoints[0].LbEndpoints[1:] {
		e.HealthStatus = xdspb.HealthStatus_TIMEOUT
	}
	controlPlane.Set(rooms)
	published.await(t, "10.0.0.1:1 10.0.1.1:1")
	// Another cluster drains the remaining endpoint. A drain by any cluster takes effect.
	drained := assignment("other", "10.0.0.1:1")
	drained.Endpoints[0].LbEndpoints[0].HealthStatus = xdspb.HealthStatus_DRAINING
	controlPlane.Set(cluster("other"), drained)
	published.await(t, "10.0.1.1:1")
}

// TestSource_InvalidEndpointRejectsAssignment checks that one invalid endpoint among many rejects the whole
// assignment. The NACK must name the endpoint and the field. The old assignment must stay in effect, and the stream
// must continue.
func TestSource_InvalidEndpointRejectsAssignment(t *testing.T) {
	forEachVariant(t, func(t *testing.T, delta bool) {
		controlPlane := startControlPlane(t)
		controlPlane.Set(cluster("rooms"), assignment("rooms", "10.0.0.1:1"))
		source, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, Delta: delta})
		published.await(t, "10.0.0.1:1")
		var addrs []string
		for i := range 500 {
			addrs = append(addrs, fmt.Sprintf("10.1.%d.%d:1", i/200, i%200))
		}
		bad := assignment("rooms", addrs...)
		bad.Endpoints[0].LbEndpoints[311] = lbEndpoint("10.1.9.9:0")
		controlPlane.Set(bad)
		const want = `assignment "rooms": endpoints[0].lb_endpoints[311].endpoint.address.socket_address.port_value: ` +
			`want 1 to 65535, got 0`
		if !controlPlane.Await(
			testkit.MaxWait,
			func(controlPlane *standin.ControlPlane) bool { return slices.Contains(controlPlane.Nacks(), want) },
		) {
			t.Errorf("NACKs %q, want one for the invalid port", controlPlane.Nacks())
		}
		if published.running() != "10.0.0.1:1" || source.Status().Types[1].Rejected["rooms"] != want {
			t.Errorf("running servers %q, status %+v", published.running(), source.Status().Types[1])
		}
		controlPlane.Set(assignment("rooms", "10.0.0.2:1"))
		published.await(t, "10.0.0.2:1")
		if controlPlane.Streams.Load() != 1 {
			t.Errorf("%d streams, want 1", controlPlane.Streams.Load())
		}
	})
}

// TestSource_KeepsLastListWithoutControlPlane checks that the last list stays in effect while the control plane is
// unavailable. After the control plane is back, its changes must be published.
func TestSource_KeepsLastListWithoutControlPlane(t *testing.T) {
	forEachVariant(t, func(t *testing.T, delta bool) {
		controlPlane, err := standin.Start("")
		if err != nil {
			t.Fatal(err)
		}
		controlPlane.Set(cluster("rooms"), assignment("rooms", "10.0.0.1:1", "10.0.0.2:1"))
		source, published := runSource(
			t,
			Config{Servers: []Server{{Addr: controlPlane.Addr}}, Delta: delta, responseTimeout: 50 * time.Millisecond},
		)
		published.await(t, "10.0.0.1:1 10.0.0.2:1")
		controlPlane.RejectStreams(codes.ResourceExhausted)
		testkit.Await(t, "several connection attempts", func() bool { return controlPlane.Streams.Load() > 3 })
		controlPlane.RejectStreams(codes.OK)
		testkit.Await(t, "the stream", func() bool { return source.Status().Connected })
		controlPlane.Stop() // also closes its connections
		testkit.Await(t, "the end of the stream", func() bool { return !source.Status().Connected })
		if got := published.running(); got != "10.0.0.1:1 10.0.0.2:1" || source.Status().LastError == nil {
			t.Errorf("without a control plane: running servers %q, last error %v", got, source.Status().LastError)
		}
		next, err := standin.Start(controlPlane.Addr)
		if err != nil {
			t.Skipf("the port is in use by now: %v", err)
		}
		defer next.Stop()
		next.SetMuted(true) // accepts streams and sends no responses
		testkit.Await(t, "connection attempts to the muted control plane", func() bool { return next.Streams.Load() >= 2 })
		if got := published.running(); got != "10.0.0.1:1 10.0.0.2:1" {
			t.Errorf("with a muted control plane: running servers %q", got)
		}
		next.Set(cluster("rooms"), assignment("rooms", "10.0.0.2:1"))
		next.SetMuted(false)
		published.await(t, "10.0.0.2:1")
	})
}

// TestSource_FailoverAndFailback checks that the second control plane is used while the first is unavailable. After
// the first is available again, it must be used.
func TestSource_FailoverAndFailback(t *testing.T) {
	first, second := startControlPlane(t), startControlPlane(t)
	first.RejectStreams(codes.Unavailable)
	first.Set(cluster("rooms"), assignment("rooms", "10.0.0.1:1"))
	second.Set(cluster("rooms"), assignment("rooms", "10.0.0.2:1"))
	source, published := runSource(
		t,
		Config{Servers: []Server{{Addr: first.Addr}, {Addr: second.Addr}}, failbackInterval: 100 * time.Millisecond},
	)
	published.await(t, "10.0.0.2:1")
	testkit.Await(t, "another attempt at the first control plane", func() bool { return first.Streams.Load() > 1 })
	published.await(t, "10.0.0.2:1")
	first.RejectStreams(codes.OK)
	published.await(t, "10.0.0.1:1")
	if st := source.Status(); st.Server != first.Addr {
		t.Errorf("the control plane in use is %s, want the first", st.Server)
	}
}

// TestSource_NoFailbackToSilentServer checks that a working stream is kept if a preferred control plane accepts
// connections but sends nothing. If the source left the stream, neither control plane would deliver drains.
func TestSource_NoFailbackToSilentServer(t *testing.T) {
	silent := testkit.RawServer(t, func(_ net.Conn, in *bufio.Reader) { _, _ = io.Copy(io.Discard, in) })
	second := startControlPlane(t)
	second.Set(cluster("rooms"), assignment("rooms", "10.0.0.2:1"))
	_, published := runSource(t, Config{
		Servers:         []Server{{Addr: silent}, {Addr: second.Addr}},
		responseTimeout: 300 * time.Millisecond, failbackInterval: 20 * time.Millisecond,
	})
	published.await(t, "10.0.0.2:1")
	time.Sleep(500 * time.Millisecond) // many times the failback interval
	if n := second.Streams.Load(); n != 1 {
		t.Errorf("%d streams to the working control plane, want 1", n)
	}
}

// TestBackoff_SpreadsReconnections checks that 200 clients that lose a control plane at the same moment reconnect at
// different moments. No client may retry in a busy loop.
func TestBackoff_SpreadsReconnections(t *testing.T) {
	const clients, buckets = 200, 10
	for failures, pause := range map[int]time.Duration{
		1: defaultBackoffBase, 4: 8 * defaultBackoffBase, 50: defaultBackoffMax,
	} {
		var histogram [buckets]int
		for i := range clients {
			d := backoff(defaultBackoffBase, defaultBackoffMax, failures, float64(i)/clients)
			if d < pause/2 || d > pause*3/2 {
				t.Fatalf("after %d failures, the pause is %v, want around %v", failures, d, pause)
			}
			histogram[min(buckets-1, int(float64(d-pause/2)/float64(pause)*buckets))]++
		}
		for i, n := range histogram {
			if n > clients/buckets+2 {
				t.Errorf("after %d failures, %d of %d clients reconnect in bucket %d: %v", failures, n, clients, i, histogram)
			}
		}
	}
}

// TestSource_ServersKeepTheirIDs checks that a server keeps its id when its address moves to another cluster and
// zone. The start time must distinguish a new process at the address. A different order of the endpoints must not
// count as a change.
func TestSource_ServersKeepTheirIDs(t *testing.T) {
	controlPlane := startControlPlane(t)
	controlPlane.Set(
		cluster("rooms"),
		cluster("more"),
		assignment("rooms", "10.0.0.1:1", "[fd00::1]:1"),
		assignment("more"),
	)
	_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}, Delta: true})
	published.await(t, "10.0.0.1:1 [fd00::1]:1")
	published.mu.Lock()
	changes := published.updates
	published.mu.Unlock()
	controlPlane.Set(assignment("rooms", "[fd00::1]:1", "10.0.0.1:1"))
	if !controlPlane.Await(
		testkit.MaxWait,
		func(controlPlane *standin.ControlPlane) bool { return controlPlane.Acks.Load() >= 3 },
	) {
		t.Fatal("the reordered assignment was not acknowledged")
	}
	published.mu.Lock()
	if published.updates != changes {
		t.Error("an update was published although only the order of the endpoints changed")
	}
	published.mu.Unlock()
	moved := assignment("more", "10.0.0.1:1")
	moved.Endpoints[0].Locality.Zone = "b"
	own, err := structpb.NewStruct(map[string]any{"started_ms": 1700000000000})
	if err != nil {
		t.Fatal(err)
	}
	moved.Endpoints[0].LbEndpoints[0].Metadata = &xdspb.Metadata{
		FilterMetadata: map[string]*structpb.Struct{resource.MetadataNamespace: own},
	}
	controlPlane.Set(assignment("rooms", "[fd00::1]:1"), moved)
	testkit.Await(t, "the move of the server", func() bool {
		published.mu.Lock()
		defer published.mu.Unlock()
		m := published.endpoints["10.0.0.1:1"]
		return m.Zone == "b" && slices.Equal(m.Pools, []string{"more"}) && m.Started.Equal(time.UnixMilli(1700000000000))
	})
}

// TestSource_FirstListReplacesInitial checks that the initial list of a router is used until the control plane has
// sent a list. The list of the control plane must replace the initial list.
func TestSource_FirstListReplacesInitial(t *testing.T) {
	controlPlane := startControlPlane(t)
	controlPlane.SetMuted(true)
	controlPlane.Set(cluster("rooms"), assignment("rooms", "10.0.0.1:1", "10.0.0.2:1"))
	source, err := New(Config{Servers: []Server{{Addr: controlPlane.Addr}}, Node: &xdspb.Node{Id: "first"}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := router.New(router.Config{
		Endpoints: []router.Endpoint{{ID: "old", Addr: "10.0.0.9:1", Weight: 1}},
		Settings:  policy.Settings{Nodes: 1, Classes: []policy.Class{{Name: "read", Deadline: time.Second}}},
	},
		router.WithEndpointSource(source), router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	testkit.Await(t, "the stream", func() bool { return source.Status().Connected })
	if n := r.Stats().EndpointsByAvailability[policy.Running]; n != 1 {
		t.Errorf("%d servers before the first list of the control plane, want the initial one", n)
	}
	controlPlane.SetMuted(false)
	testkit.Await(t, "the list of the control plane", func() bool { return r.Stats().EndpointsByPool["rooms"] == 2 })
	if n := r.Stats().EndpointsByAvailability[policy.Running]; n != 2 {
		t.Errorf("%d servers, want only the two of the control plane", n)
	}
}

// appServers are HTTP servers on loopback that record the time of their last request.
type appServers struct {
	addrs []string
	mu    sync.Mutex
	last  map[string]time.Time // time of the last request, by address
}

func newAppServers(t testing.TB, n int) *appServers {
	s := &appServers{last: make(map[string]time.Time)}
	for range n {
		var addr string
		addr = testkit.HTTPServer(t, func(http.ResponseWriter, *http.Request) {
			s.mu.Lock()
			s.last[addr] = time.Now()
			s.mu.Unlock()
		})
		s.addrs = append(s.addrs, addr)
	}
	return s
}

// TestRemovalsUnderLoad checks that a server that is removed from the list under load gets no new requests after the
// drain grace. The environment variable REMOVALS sets the number of removals, which is small by default. docs/xds.md
// has results for larger numbers.
func TestRemovalsUnderLoad(t *testing.T) {
	n := 30
	if more, err := strconv.Atoi(os.Getenv("REMOVALS")); err == nil && more > 0 {
		n = more
	}
	forEachVariant(t, func(t *testing.T, delta bool) {
		controlPlane, app := startControlPlane(t), newAppServers(t, 4)
		controlPlane.Set(cluster("rooms"), assignment("rooms", app.addrs...))
		source, err := New(
			Config{
				Servers: []Server{{Addr: controlPlane.Addr}},
				Node:    &xdspb.Node{Id: "load"},
				Delta:   delta,
				Log:     slog.New(slog.DiscardHandler),
			},
		)
		if err != nil {
			t.Fatal(err)
		}
		measureRemovals(t, source, app, func(addrs []string) { controlPlane.Set(assignment("rooms", addrs...)) }, n)
	})
	t.Run("file", func(t *testing.T) {
		app, path := newAppServers(t, 4), filepath.Join(t.TempDir(), "eds.json")
		replaceFile(t, path, fileOf(t, assignment("rooms", app.addrs...)))
		source, err := NewFileSource([]string{path}, nil)
		if err != nil {
			t.Fatal(err)
		}
		measureRemovals(
			t,
			source,
			app,
			func(addrs []string) { replaceFile(t, path, fileOf(t, assignment("rooms", addrs...))) },
			(n+5)/6,
		)
	})
}

// measureRemovals removes a server from the list and adds it again, n times, under load. It compares the time of the
// last request to the server with the time of its removal.
func measureRemovals(t *testing.T, source router.EndpointSource, app *appServers, set func([]string), n int) {
	t.Helper()
	r := newLoadRouter(t, source)
	awaitRunning := func(what string, want int) {
		t.Helper()
		testkit.Await(t, what, func() bool { return r.Stats().EndpointsByAvailability[policy.Running] == want })
	}
	awaitRunning("the servers", len(app.addrs))
	defer startLoad(t, r)()
	var worst time.Duration
	histogram := make(map[time.Duration]int) // delay of the last request after a removal, in whole ms
	for i := range n {
		removedAddr := app.addrs[i%len(app.addrs)]
		remaining := slices.DeleteFunc(slices.Clone(app.addrs), func(a string) bool { return a == removedAddr })
		removed := time.Now()
		set(remaining)
		awaitRunning("the removal", len(remaining))
		time.Sleep(10 * time.Millisecond)
		app.mu.Lock()
		delay := max(0, app.last[removedAddr].Sub(removed))
		worst = max(worst, delay)
		histogram[delay.Truncate(time.Millisecond)]++
		app.mu.Unlock()
		set(app.addrs)
		awaitRunning("the return of the server", len(app.addrs))
	}
	if worst > 500*time.Millisecond {
		t.Errorf("a server got a request %v after its removal was set", worst)
	}
	t.Logf("%d removals; the latest request came %v after a removal; removals by delay: %v", n, worst, histogram)
}

// newLoadRouter returns a router that gets its endpoints from source.
func newLoadRouter(t *testing.T, source router.EndpointSource) *router.Router {
	t.Helper()
	r, err := router.New(router.Config{Settings: policy.Settings{
		Nodes: 1,
		Zone:  "a",
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.Idempotent},
		},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3},
		Rules:        policy.Rules{DrainGrace: 500 * time.Millisecond},
	}}, router.WithEndpointSource(source), router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return r
}

// startLoad sends requests from eight clients until stop is called. A failed request fails the test.
func startLoad(t *testing.T, r *router.Router) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				request := router.Request{ID: fmt.Sprint(c, "-", i), Class: "read", Tenant: "t", Target: "/"}
				if _, err := r.Do(ctx, request); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}
