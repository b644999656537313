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

// publishedList is the list that a source has published, as a router would hold it.
type publishedList struct {
	mu      sync.Mutex
	members map[string]router.Endpoint
	changes int
}

func (l *publishedList) publish(c router.EndpointUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes++
	if c.Kind == policy.ListReplace {
		clear(l.members)
	}
	for _, m := range c.Endpoints {
		if m.Availability == policy.Removed {
			delete(l.members, m.ID)
		} else {
			l.members[m.ID] = m
		}
	}
}

// running lists the addresses that are open to new work.
func (l *publishedList) running() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	for id, m := range l.members {
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

// runSource runs a source until the test ends.
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
	l := &publishedList{members: make(map[string]router.Endpoint)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { s.Run(ctx, l.publish); close(ended) }()
	t.Cleanup(func() { cancel(); testkit.Receive(t, "the source's end", ended) })
	return s, l
}

// forEachVariant runs a test in either variant.
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
		if m := published.members["10.0.0.3:1"]; !slices.Equal(m.Pools, []string{"more", "rooms"}) || m.Zone != "a" {
			t.Errorf("a server of two clusters: %+v", m)
		}
		published.mu.Unlock()
		controlPlane.Remove(resource.ClusterURL, "rooms")
		published.await(t, "10.0.0.3:1 10.0.0.4:1")
		st := source.Status()
		if !st.Connected || !st.Complete || st.Server != controlPlane.Addr || len(st.Endpoints) != 2 ||
			controlPlane.Acks.Load() == 0 ||
			len(controlPlane.Nacks()) != 0 {
			t.Errorf(
				"%v, whole %v, %d acknowledged, refused %v",
				st,
				st.Complete,
				controlPlane.Acks.Load(),
				controlPlane.Nacks(),
			)
		}
		controlPlane.Set(assignment("more"))
		published.await(t, "") // an empty list may be a drain, and is obeyed
	})
}

// Draining, unhealthy and low-priority endpoints get nothing new, whichever cluster says so.
func TestSource_HealthAndPriorityDecideAvailability(t *testing.T) {
	controlPlane := startControlPlane(t)
	rooms := assignment("rooms", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1")
	for i, h := range []xdspb.HealthStatus{
		xdspb.HealthStatus_HEALTHY, xdspb.HealthStatus_HEALTHY, xdspb.HealthStatus_HEALTHY,
		xdspb.HealthStatus_HEALTHY, xdspb.HealthStatus_DRAINING,
	} {
		rooms.Endpoints[0].LbEndpoints[i].HealthStatus = h
	}
	spare := &xdspb.LocalityLbEndpoints{Priority: 1, LbEndpoints: []*xdspb.LbEndpoint{lbEndpoint("10.0.1.1:1")}}
	rooms.Endpoints = append(rooms.Endpoints, spare)
	controlPlane.Set(cluster("rooms"), rooms)
	_, published := runSource(t, Config{Servers: []Server{{Addr: controlPlane.Addr}}})
	published.await(t, "10.0.0.1:1 10.0.0.2:1 10.0.0.3:1 10.0.0.4:1")
	for _, e := range rooms.Endpoints[0].LbEndpoints[1:] {
		e.HealthStatus = xdspb.HealthStatus_TIMEOUT
	}
	controlPlane.Set(rooms)
	published.await(t, "10.0.0.1:1 10.0.1.1:1")
	// Another cluster drains the remaining one: a drain by any source holds.
	drained := assignment("other", "10.0.0.1:1")
	drained.Endpoints[0].LbEndpoints[0].HealthStatus = xdspb.HealthStatus_DRAINING
	controlPlane.Set(cluster("other"), drained)
	published.await(t, "10.0.1.1:1")
}

// One bad endpoint among many: the resource is refused whole, with its endpoint and field, the old one
// serves, and the stream continues.
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
			t.Errorf("refused for %q", controlPlane.Nacks())
		}
		if published.running() != "10.0.0.1:1" || source.Status().Types[1].Rejected["rooms"] != want {
			t.Errorf("in force %q, status %+v", published.running(), source.Status().Types[1])
		}
		controlPlane.Set(assignment("rooms", "10.0.0.2:1"))
		published.await(t, "10.0.0.2:1")
		if controlPlane.Streams.Load() != 1 {
			t.Errorf("%d streams", controlPlane.Streams.Load())
		}
	})
}

// Whatever the control plane does, the last list serves; once it is back, the changes are published.
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
		testkit.Await(t, "several tries", func() bool { return controlPlane.Streams.Load() > 3 })
		controlPlane.RejectStreams(codes.OK)
		testkit.Await(t, "the stream", func() bool { return source.Status().Connected })
		controlPlane.Stop() // and its connections end
		testkit.Await(t, "the stream's end", func() bool { return !source.Status().Connected })
		if got := published.running(); got != "10.0.0.1:1 10.0.0.2:1" || source.Status().LastError == nil {
			t.Errorf("without a control plane: %q, last %v", got, source.Status().LastError)
		}
		next, err := standin.Start(controlPlane.Addr)
		if err != nil {
			t.Skipf("the port is taken by now: %v", err)
		}
		defer next.Stop()
		next.SetMuted(true) // it accepts, and answers nothing
		testkit.Await(t, "tries at the one that is mute", func() bool { return next.Streams.Load() >= 2 })
		if got := published.running(); got != "10.0.0.1:1 10.0.0.2:1" {
			t.Errorf("with a mute one: %q", got)
		}
		next.Set(cluster("rooms"), assignment("rooms", "10.0.0.2:1"))
		next.SetMuted(false)
		published.await(t, "10.0.0.2:1")
	})
}

// The second control plane serves while the first is away, and the first again once it is back.
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
	testkit.Await(t, "another try at the first", func() bool { return first.Streams.Load() > 1 })
	published.await(t, "10.0.0.2:1")
	first.RejectStreams(codes.OK)
	published.await(t, "10.0.0.1:1")
	if st := source.Status(); st.Server != first.Addr {
		t.Errorf("in use: %s", st.Server)
	}
}

// A stream that works is not left for a preferred control plane that accepts connections and says
// nothing: meanwhile a drain would be heard of from neither.
func TestSource_NoFailbackToSilentServer(t *testing.T) {
	silent := testkit.RawServer(t, func(_ net.Conn, in *bufio.Reader) { _, _ = io.Copy(io.Discard, in) })
	second := startControlPlane(t)
	second.Set(cluster("rooms"), assignment("rooms", "10.0.0.2:1"))
	_, published := runSource(t, Config{
		Servers:         []Server{{Addr: silent}, {Addr: second.Addr}},
		responseTimeout: 300 * time.Millisecond, failbackInterval: 20 * time.Millisecond,
	})
	published.await(t, "10.0.0.2:1")
	time.Sleep(500 * time.Millisecond) // many times the wait before the preferred one is thought of again
	if n := second.Streams.Load(); n != 1 {
		t.Errorf("%d streams to the working control plane, want the first to stay", n)
	}
}

// Two hundred clients that lose a control plane together do not come back together, and none of them
// tries in a busy loop.
func TestBackoff_SpreadsReconnections(t *testing.T) {
	const clients, buckets = 200, 10
	for failures, due := range map[int]time.Duration{
		1: defaultBackoffBase, 4: 8 * defaultBackoffBase, 50: defaultBackoffMax,
	} {
		var hist [buckets]int
		for i := range clients {
			d := backoff(defaultBackoffBase, defaultBackoffMax, failures, float64(i)/clients)
			if d < due/2 || d > due*3/2 {
				t.Fatalf("after %d failures: %v, want around %v", failures, d, due)
			}
			hist[min(buckets-1, int(float64(d-due/2)/float64(due)*buckets))]++
		}
		for i, n := range hist {
			if n > clients/buckets+2 {
				t.Errorf("after %d failures, %d of %d clients in tenth %d: %v", failures, n, clients, i, hist)
			}
		}
	}
}

// A new process at an address is known by its start time, an address that moves between clusters and
// zones stays the same server, and the order of a list is nothing.
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
	changes := published.changes
	published.mu.Unlock()
	controlPlane.Set(assignment("rooms", "[fd00::1]:1", "10.0.0.1:1"))
	if !controlPlane.Await(
		testkit.MaxWait,
		func(controlPlane *standin.ControlPlane) bool { return controlPlane.Acks.Load() >= 3 },
	) {
		t.Fatal("not acknowledged")
	}
	published.mu.Lock()
	if published.changes != changes {
		t.Error("another order was published as a change")
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
	testkit.Await(t, "the move", func() bool {
		published.mu.Lock()
		defer published.mu.Unlock()
		m := published.members["10.0.0.1:1"]
		return m.Zone == "b" && slices.Equal(m.Pools, []string{"more"}) && m.Started.Equal(time.UnixMilli(1700000000000))
	})
}

// The list that a router begins with serves until the control plane has told its own, and is gone then.
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
		t.Errorf("%d servers before the control plane has told its own", n)
	}
	controlPlane.SetMuted(false)
	testkit.Await(t, "the list", func() bool { return r.Stats().EndpointsByPool["rooms"] == 2 })
	if n := r.Stats().EndpointsByAvailability[policy.Running]; n != 2 {
		t.Errorf("%d servers, want those of the control plane alone", n)
	}
}

// appServers is app servers on loopback that note every request they get.
type appServers struct {
	addrs []string
	mu    sync.Mutex
	last  map[string]time.Time // by address
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

// Removals under load: what the list has lost gets nothing new later than the grace allows. The count
// is small here; REMOVALS in the environment asks for more, and docs/xds.md has the figures.
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
		removals(t, source, app, func(addrs []string) { controlPlane.Set(assignment("rooms", addrs...)) }, n)
	})
	t.Run("file", func(t *testing.T) {
		app, path := newAppServers(t, 4), filepath.Join(t.TempDir(), "eds.json")
		replaceFile(t, path, fileOf(t, assignment("rooms", app.addrs...)))
		source, err := NewFileSource([]string{path}, nil)
		if err != nil {
			t.Fatal(err)
		}
		removals(
			t,
			source,
			app,
			func(addrs []string) { replaceFile(t, path, fileOf(t, assignment("rooms", addrs...))) },
			(n+5)/6,
		)
	})
}

// removals takes servers away and puts them back, n times, under load, and compares the time of the last request to
// each with the moment at which it was taken away.
func removals(t *testing.T, source router.EndpointSource, app *appServers, set func([]string), n int) {
	t.Helper()
	r := newLoadRouter(t, source)
	awaitRunning := func(what string, want int) {
		t.Helper()
		testkit.Await(t, what, func() bool { return r.Stats().EndpointsByAvailability[policy.Running] == want })
	}
	awaitRunning("the servers", len(app.addrs))
	defer startLoad(t, r)()
	var worst time.Duration
	hist := make(map[time.Duration]int) // of the last request after a removal, by whole milliseconds
	for i := range n {
		gone := app.addrs[i%len(app.addrs)]
		left := slices.DeleteFunc(slices.Clone(app.addrs), func(a string) bool { return a == gone })
		removed := time.Now()
		set(left)
		awaitRunning("the removal", len(left))
		time.Sleep(10 * time.Millisecond)
		app.mu.Lock()
		late := max(0, app.last[gone].Sub(removed))
		worst = max(worst, late)
		hist[late.Truncate(time.Millisecond)]++
		app.mu.Unlock()
		set(app.addrs)
		awaitRunning("its return", len(app.addrs))
	}
	if worst > 500*time.Millisecond {
		t.Errorf("a server got a request %v after its removal was set", worst)
	}
	t.Logf("of %d removals, the latest request after one came %v after; by milliseconds: %v", n, worst, hist)
}

// newLoadRouter is a router with the endpoints of a source.
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

// startLoad sends requests from eight clients until stop is called; none may fail.
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
