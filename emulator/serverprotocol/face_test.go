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

// protocols are the faces, each with the transport that speaks it.
var protocols = map[string]struct {
	serve     func(ln net.Listener, h *servermodel.Host, w Work) (addr string, end func())
	transport func() router.Transport
}{
	"http": {
		func(ln net.Listener, h *servermodel.Host, w Work) (string, func()) {
			f := ServeHTTP1(ln, h, w, nil)
			return f.Addr, f.Close
		},
		func() router.Transport { return http1.New(http1.Config{}) },
	},
	"msgpack": {
		func(ln net.Listener, h *servermodel.Host, w Work) (string, func()) {
			f := ServeMsgpack(ln, h, w)
			return f.Addr, f.Close
		},
		func() router.Transport { return msgpack.New(msgpack.Config{}) },
	},
}

// start runs a server with a face until the test ends.
func start(t testing.TB, protocol string, c model.Config, group *servermodel.Group, w Work) (*servermodel.Host, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := servermodel.Start(c, group)
	addr, end := protocols[protocol].serve(ln, h, w)
	t.Cleanup(func() { h.Stop(); end() })
	return h, addr
}

// attempt makes one attempt at a server, in a word.
func attempt(t testing.TB, x router.Transport, id, key string, wait time.Duration) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	r := x.Attempt(ctx, "s", &router.Request{ID: id, IdempotencyKey: key, Method: "POST", Target: "/" + id})
	return fmt.Sprint(map[policy.Code]string{
		policy.OK: "ok", policy.Overloaded: "full", policy.Reset: "reset", policy.TimedOut: "timed out",
		policy.ConnectFailed: "not connected", policy.Cancelled: "cancelled", policy.ServerError: "error",
	}[r.Code])
}

// What a server does with requests is what its face says of them, in either protocol.
func TestFaces(t *testing.T) {
	for name, p := range protocols {
		t.Run(name, func(t *testing.T) {
			group := servermodel.NewGroup(time.Minute)
			h, addr := start(t, name, model.Config{Cores: 1, Slots: 1, Queue: 1, Cancel: model.CancelAll}, group,
				func(target, _ string) float64 {
					if strings.HasPrefix(target, "/slow") {
						return 3600
					}
					return 0.001
				})
			x := p.transport()
			defer x.Close()
			x.Update(router.EndpointUpdate{Endpoints: []router.Endpoint{{ID: "s", Addr: addr}}})
			for _, id := range []string{"a", "b"} {
				if got := attempt(t, x, id, "k", testkit.Long); got != "ok" {
					t.Errorf("%s: %s", id, got)
				}
			}
			if all := h.Ledger(); len(all) != 2 || all[0].Discarded || !all[1].Discarded {
				t.Errorf("the ledger: %+v", all)
			}
			var held sync.WaitGroup
			slow := func(id, want string, wait time.Duration) {
				held.Go(func() {
					if got := attempt(t, x, id, "", wait); got != want {
						t.Errorf("%s: %s, want %s", id, got, want)
					}
				})
			}
			slow("slow1", "timed out", 300*time.Millisecond) // and makes room, since cancels stop what runs
			testkit.Await(t, "the first", func() bool { return len(h.Ledger()) == 3 })
			slow("slow2", "reset", testkit.Long)
			testkit.Await(t, "the second", func() bool { return h.Held() == 2 || len(h.Ledger()) == 4 })
			testkit.Await(t, "the first's end", func() bool { return len(h.Ledger()) == 4 })
			slow("slow3", "reset", testkit.Long)
			testkit.Await(t, "the second in work, and the third", func() bool { return len(h.Ledger()) == 4 && h.Held() == 2 })
			if got := attempt(t, x, "c", "", testkit.Long); got != "full" {
				t.Errorf("beyond the waiting room: %s", got)
			}
			h.Crash()
			held.Wait()
			if got := attempt(t, x, "d", "", testkit.Long); got != "reset" && got != "not connected" {
				t.Errorf("at a server that is down: %s", got)
			}
			if !h.Down() {
				t.Error("a server that crashed is up")
			}
		})
	}
}

// A fresh server among warm ones, under more than it can do at first: the module's budget of cold servers
// keeps it up, and without the budget it is pushed over.
func TestAColdServerIsNotPushedOver(t *testing.T) {
	for _, guarded := range []bool{true, false} {
		t.Run(fmt.Sprint("guarded=", guarded), func(t *testing.T) {
			t.Parallel()
			const work = 0.004
			cost := func(string, string) float64 { return work }
			warm := model.Config{Cores: 1, Slots: 4, Queue: 40}
			cold := warm
			cold.Cold = model.Cold{From: 0.1, For: 60 * time.Second, Multiple: 1.02, Window: time.Second}
			var members []router.Endpoint
			for i := range 3 {
				_, addr := start(t, "http", warm, nil, cost)
				members = append(members, router.Endpoint{ID: fmt.Sprint("w", i), Zone: "a", Addr: addr, Weight: 1})
			}
			fresh, addr := start(t, "http", cold, nil, cost)
			young := router.Endpoint{ID: "a-fresh", Zone: "a", Addr: addr, Weight: 1} // first in id order
			if guarded {                                                              // else its start is not told: it counts as warm
				young.Started = time.Now()
			}
			members = append(members, young)
			r, err := router.New(router.Config{Endpoints: members, Settings: policy.Settings{
				Nodes: 1, Zone: "a",
				Classes:      []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 4 * time.Second, Idempotency: policy.Idempotent}},
				Capabilities: policy.Capabilities{Cancel: true, MaxAttempts: 3},
				Rules:        policy.Rules{DrainGrace: time.Second, SlowStartShare: 0.1, SlowStartWindow: 60 * time.Second, OverloadFactor: 1.02, OverloadDuration: time.Second},
			}},
				router.WithTransport(http1.New(http1.Config{})))
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			testkit.Await(t, "the node", func() bool { return r.Phase() == router.Serving })
			var callers sync.WaitGroup
			end := time.Now().Add(3 * time.Second)
			for caller := range 12 {
				callers.Go(func() {
					for n := 0; time.Now().Before(end); n++ {
						if _, err := r.Do(t.Context(), router.Request{ID: fmt.Sprint(caller, "-", n), Class: "read", Tenant: "t"}); err != nil {
							t.Error(err)
						}
					}
				})
			}
			callers.Wait()
			if fresh.Down() == guarded {
				t.Errorf("the fresh server is down: %v", fresh.Down())
			}
			t.Logf("%d executions at the fresh server", len(fresh.Ledger()))
		})
	}
}
