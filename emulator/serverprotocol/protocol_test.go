package serverprotocol

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
	"cobaltward/transport/msgpack"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// protocols holds, by protocol name, the function that serves the protocol and the transport for it.
var protocols = map[string]struct {
	serve     func(ln net.Listener, backend *servermodel.Server, work WorkFunc) (addr string, end func())
	transport func() router.Transport
}{
	"http": {
		func(ln net.Listener, backend *servermodel.Server, work WorkFunc) (string, func()) {
			server := ServeHTTP1(ln, backend, work, nil)
			return server.Addr, server.Close
		},
		func() router.Transport { return http1.New(http1.Config{}) },
	},
	"msgpack": {
		func(ln net.Listener, backend *servermodel.Server, work WorkFunc) (string, func()) {
			server := ServeMsgpack(ln, backend, work)
			return server.Addr, server.Close
		},
		func() router.Transport { return msgpack.New(msgpack.Config{}) },
	},
}

// start runs a server with a protocol until the test ends. It returns the server and its address.
func start(
	t testing.TB, protocol string, config model.Config, group *servermodel.Group, work WorkFunc,
) (*servermodel.Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := servermodel.Start(config, group)
	addr, end := protocols[protocol].serve(ln, backend, work)
	t.Cleanup(func() { backend.Stop(); end() })
	return backend, addr
}

// attempt makes one attempt at the server and returns the name of the outcome.
func attempt(t testing.TB, transport router.Transport, id, key string, timeout time.Duration) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	r := transport.Attempt(ctx, "s", &router.Request{ID: id, IdempotencyKey: key, Method: "POST", Target: "/" + id})
	return fmt.Sprint(map[policy.Code]string{
		policy.OK: "ok", policy.Overloaded: "rejected", policy.Reset: "reset", policy.TimedOut: "timed out",
		policy.ConnectFailed: "not connected", policy.Cancelled: "cancelled", policy.ServerError: "error",
	}[r.Code])
}

// slowWork returns an hour of work for paths that start with /slow, and a millisecond for all other paths.
func slowWork(target, _ string) float64 {
	if strings.HasPrefix(target, "/slow") {
		return 3600
	}
	return 0.001
}

// TestProtocols_OutcomesOfTheModel checks that each protocol's transport reports the outcome of the model: answered,
// rejected, timed out and cancelled, or reset by a crash.
func TestProtocols_OutcomesOfTheModel(t *testing.T) {
	for name := range protocols {
		t.Run(name, func(t *testing.T) { testOutcomes(t, name) })
	}
}

func testOutcomes(t *testing.T, protocol string) {
	group := servermodel.NewGroup(time.Minute)
	config := model.Config{Cores: 1, Slots: 1, Queue: 1, Cancel: model.CancelAll}
	backend, addr := start(t, protocol, config, group, slowWork)
	transport := protocols[protocol].transport()
	defer transport.Close()
	transport.Update(router.EndpointUpdate{Endpoints: []router.Endpoint{{ID: "s", Addr: addr}}})
	for _, id := range []string{"a", "b"} {
		if got := attempt(t, transport, id, "k", testkit.MaxWait); got != "ok" {
			t.Errorf("request %s: outcome %s, want ok", id, got)
		}
	}
	if all := backend.Executions(); len(all) != 2 || all[0].Discarded || !all[1].Discarded {
		t.Errorf("want two executions, the second one discarded: %+v", all)
	}
	var inFlight sync.WaitGroup
	slow := func(id, want string, timeout time.Duration) {
		inFlight.Go(func() {
			if got := attempt(t, transport, id, "", timeout); got != want {
				t.Errorf("request %s: outcome %s, want %s", id, got, want)
			}
		})
	}
	executed := func(n int) bool { return len(backend.Executions()) == n }
	slow("slow1", "timed out", 300*time.Millisecond) // cancelled after its timeout, which frees the slot
	testkit.Await(t, "the first request to run", func() bool { return executed(3) })
	slow("slow2", "reset", testkit.MaxWait)
	testkit.Await(t, "the second request to arrive", func() bool { return backend.InFlight() == 2 || executed(4) })
	testkit.Await(t, "the first request to end", func() bool { return executed(4) })
	slow("slow3", "reset", testkit.MaxWait)
	testkit.Await(t, "the third request to be queued", func() bool { return executed(4) && backend.InFlight() == 2 })
	if got := attempt(t, transport, "c", "", testkit.MaxWait); got != "rejected" {
		t.Errorf("with a full queue: outcome %s, want rejected", got)
	}
	backend.Crash()
	inFlight.Wait()
	if got := attempt(t, transport, "d", "", testkit.MaxWait); got != "reset" && got != "not connected" {
		t.Errorf("at a server that is down: outcome %s, want a connection error", got)
	}
	if !backend.Down() {
		t.Error("a server that crashed does not report that it is down")
	}
}

// TestSlowStart_KeepsWarmingServerUp checks that slow start keeps a fresh server among warm servers up. The load is
// higher than the fresh server can handle at first. Without slow start the fresh server must be overloaded and crash.
func TestSlowStart_KeepsWarmingServerUp(t *testing.T) {
	for _, slowStart := range []bool{true, false} {
		t.Run(fmt.Sprint("slow_start=", slowStart), func(t *testing.T) {
			t.Parallel()
			testWarmingServer(t, slowStart)
		})
	}
}

func testWarmingServer(t *testing.T, slowStart bool) {
	const work = 0.004
	cost := func(string, string) float64 { return work }
	warm := model.Config{Cores: 1, Slots: 4, Queue: 40}
	cold := warm
	cold.WarmUp = model.WarmUp{
		InitialCapacity: 0.1, Duration: 60 * time.Second, OverloadFactor: 1.02, OverloadWindow: time.Second,
	}
	var endpoints []router.Endpoint
	for i := range 3 {
		_, addr := start(t, "http", warm, nil, cost)
		endpoints = append(endpoints, router.Endpoint{ID: fmt.Sprint("w", i), Zone: "a", Addr: addr, Weight: 1})
	}
	fresh, addr := start(t, "http", cold, nil, cost)
	endpoint := router.Endpoint{ID: "a-fresh", Zone: "a", Addr: addr, Weight: 1} // sorts before the warm servers
	if slowStart {                                                               // otherwise the server counts as warm
		endpoint.Started = time.Now()
	}
	node := startNode(t, append(endpoints, endpoint))
	var callers sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for caller := range 12 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				request := router.Request{ID: fmt.Sprint(caller, "-", n), Class: "read", Tenant: "t"}
				if _, err := node.Do(t.Context(), request); err != nil {
					t.Error(err)
				}
			}
		})
	}
	callers.Wait()
	if fresh.Down() == slowStart {
		t.Errorf("the fresh server is down: %v, want the opposite", fresh.Down())
	}
	t.Logf("%d executions at the fresh server", len(fresh.Executions()))
}

// startNode runs a node with the endpoints until the test ends. It returns when the node serves.
func startNode(t *testing.T, endpoints []router.Endpoint) *router.Router {
	t.Helper()
	node, err := router.New(router.Config{Endpoints: endpoints, Settings: policy.Settings{
		Nodes: 1, Zone: "a",
		Classes: []policy.Class{{
			Name: "read", LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: policy.Idempotent,
		}},
		Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3},
		Rules: policy.Rules{
			DrainGrace: time.Second, SlowStartShare: 0.1, SlowStartWindow: 60 * time.Second,
			OverloadFactor: 1.02, OverloadDuration: time.Second,
		},
	}}, router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close() })
	testkit.Await(t, "a serving node", func() bool { return node.Phase() == router.Serving })
	return node
}
