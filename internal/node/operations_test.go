package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/operations"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"

	"pgregory.net/rapid"
)

// callOperations makes one call to the console.
func (w *testNode) callOperations(path string) int {
	r, _ := http.NewRequest(http.MethodPut, "http://"+w.operationsAddr+path, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// metrics reads the console's page.
func (w *testNode) metrics() map[string]int {
	resp, err := http.Get("http://" + w.operationsAddr + "/status/metrics")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	all := make(map[string]int)
	for {
		var name string
		var n int
		if _, err := fmt.Fscanf(resp.Body, "%s\n", &name); err != nil {
			return all
		}
		for i := range name {
			if name[i] == '=' {
				fmt.Sscan(name[i+1:], &n)
				all[name[:i]] = n
				break
			}
		}
	}
}

func (w *testNode) drainState() string {
	_, s := w.callAdmin(http.MethodGet, "/status", nil)
	return s.Drain.State.String()
}

func (w *testNode) isReady() bool {
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		return false
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", readyPath)
	var version string
	var status int
	fmt.Fscan(c, &version, &status)
	return status == http.StatusOK
}

// The engine's loop stands still, with more waiting for it than its queue holds, and callers stall at the console: every
// call is answered all the same.
func TestOperations_BlockedEventLoop(t *testing.T) {
	w := newTestNode(t, 2)
	engine, err := router.New(router.Config{Settings: w.settings, Endpoints: w.initialList.Endpoints}, router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	<-engine.Started()
	ln, err := operations.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.operationsAddr = ln.Addr().String()
	ctl := &adminAPI{engine: engine}
	defer operations.Serve(ln, &operationsNode{engine: engine, startDrain: ctl.startDrain, cancelDrain: ctl.cancelDrain}, slog.New(slog.DiscardHandler)).Close()
	release, held := make(chan struct{}), make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() {
		_ = engine.RestoreState(func(func(string) (float64, policy.Time, bool)) (k policy.LearnedState) {
			close(held)
			<-release
			return k
		})
	})
	<-held
	for i := range 2000 {
		all.Go(func() {
			_, _ = engine.Do(t.Context(), router.Request{ID: fmt.Sprint("r", i), Class: "hladanie", Tenant: "t"})
		})
	}
	testkit.Await(t, "the queue to be full", func() bool { return engine.Metrics().InFlight == 2000 })
	for range 20 {
		c, err := net.Dial("tcp", w.operationsAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "GET /sta")
	}
	for range 3 {
		if f := w.metrics(); f["inflight"] != 2000 || f["hosts_listed"] != 2 {
			t.Errorf("figures %v", f)
		}
		if w.callOperations("/standby") != http.StatusOK || engine.Phase() == router.Serving {
			t.Error("standby waits for the loop")
		}
		if w.callOperations("/active") != http.StatusOK || engine.Phase() != router.Serving {
			t.Error("active waits for the loop")
		}
	}
	close(release)
	all.Wait()
}

// Whatever order the console and the door are told things in, and however far a drain has come: both speak of one drain,
// the console's calls may be repeated, the node is ready exactly while none goes on, and a final drain stays.
func TestDrainOrders_AdminAPIAndOperations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engine, err := router.New(router.Config{Settings: drainSettings()}, router.WithTransport(http1.New(http1.Config{})))
		if err != nil {
			rt.Fatal(err)
		}
		defer engine.Close()
		<-engine.Started()
		for engine.Phase() != router.Serving {
			time.Sleep(time.Millisecond)
		}
		ctl := &adminAPI{engine: engine}
		d := &operationsNode{engine: engine, startDrain: ctl.startDrain, cancelDrain: ctl.cancelDrain}
		draining, final := false, false
		for range rapid.IntRange(1, 25).Draw(rt, "steps") {
			was := engine.DrainStatus()
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				if err := d.Standby(); (err != nil) != final {
					rt.Fatalf("standby in %+v: %v", was, err)
				}
				draining = true
			case 1:
				if err := d.Active(); (err != nil) != final {
					rt.Fatalf("active in %+v: %v", was, err)
				}
				draining = final
			case 2: // the door's drain, through at once
				if err := ctl.startDrain(drain.Order{Timeout: time.Minute, RequestedBy: "door"}); (err != nil) != draining {
					rt.Fatalf("the door's drain in %+v: %v", was, err)
				}
				draining = true
			case 3:
				if err := ctl.cancelDrain("door"); (err == nil) != (draining && !final) {
					rt.Fatalf("the door's way back in %+v: %v", was, err)
				}
				draining = final
			case 4:
				for end := time.Now().Add(time.Second); was.State == drain.Closing && engine.DrainStatus().State == drain.Closing && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			case 5:
				if rapid.IntRange(0, 9).Draw(rt, "end") == 0 {
					err := ctl.startDrain(drain.Order{Timeout: time.Minute, Final: true, RequestedBy: "program"})
					// A drain that goes on may come to be through at any moment: then there is nothing left to begin.
					if over := draining && errors.Is(err, drain.ErrDrained); (err == nil) == final && !over {
						rt.Fatalf("the end in %+v: %v", was, err)
					}
					draining, final = true, true
				}
			}
			if ready := engine.Phase() == router.Serving; ready == draining {
				rt.Fatalf("ready %v while draining %v: %+v", ready, draining, engine.DrainStatus())
			}
			if s := engine.DrainStatus(); (s.State == drain.Serving) == draining || s.Final != final {
				rt.Fatalf("draining %v, final %v: %+v", draining, final, s)
			}
		}
	})
}

// A request that came before the drain and is answered after connections were parted from: its connection ends with
// it. The node stays, says no, and serves again at once when it is told, however often.
func TestStandby(t *testing.T) {
	g := new(gatedServer)
	w := newTestNode(t, 0)
	w.initialList.Endpoints = []router.Endpoint{{ID: "s0", Addr: testkit.HTTPServer(t, g.ServeHTTP), Zone: "a", Kind: "k", Weight: 1}}
	w.allowSlowAnswers()
	stop, ended := w.start()
	for round := range 2 {
		var closed bool
		kept := make(chan int, 1)
		go func() {
			dialer := net.Dialer{}
			var conn net.Conn
			client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, addr)
				conn = c
				return c, err
			}}}
			status, _, _ := w.send(client, w.settings.Classes[0], fmt.Sprint("open", round), false)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			for _, err := conn.Read(make([]byte, 1)); err == nil; {
			}
			closed = true
			client.CloseIdleConnections()
			kept <- status
		}()
		testkit.Await(t, "the request at the server", func() bool { return g.waitingCount() == 1 })
		if w.callOperations("/standby") != http.StatusOK || w.callOperations("/standby") != http.StatusOK {
			t.Fatal("standby is refused")
		}
		if w.isReady() {
			t.Error("ready in standby")
		}
		testkit.Await(t, "connections parted from", func() bool { return w.drainState() == "closing" })
		if f := w.metrics(); f["inflight"] != 1 || f["hosts_listed"] != 1 {
			t.Errorf("figures %v", f)
		}
		g.releaseOldest()
		if status := <-kept; status != http.StatusOK || !closed {
			t.Errorf("round %d: the request that was open: %d, connection closed %v", round, status, closed)
		}
		testkit.Await(t, "the node empty", func() bool { return w.drainState() == "drained" })
		if w.callOperations("/active") != http.StatusOK || w.callOperations("/active") != http.StatusOK || !w.isReady() {
			t.Error("not back to work")
		}
		again := make(chan int, 1)
		go func() {
			status, _, _ := w.send(http.DefaultClient, w.settings.Classes[0], fmt.Sprint("again", round), false)
			again <- status
		}()
		testkit.Await(t, "a new request at the server", func() bool { return g.waitingCount() == 1 })
		g.releaseOldest()
		if status := <-again; status != http.StatusOK {
			t.Errorf("after standby: %d", status)
		}
	}
	f := w.metrics()
	if name := w.settings.Classes[0].Name; f["success."+name] != 4 || f["backend_calls"] != 4 || f["inflight"] != 0 || f["busy."+name] != 0 {
		t.Errorf("figures %v", f)
	}
	for _, c := range w.settings.Classes {
		if _, ok := f["failure."+c.Name]; !ok {
			t.Errorf("class %s is not counted", c.Name)
		}
	}
	// An end in the midst of a standby that is through has nothing left to wait for.
	if w.callOperations("/standby") != http.StatusOK {
		t.Error("standby is refused")
	}
	testkit.Await(t, "the node empty again", func() bool { return w.drainState() == "drained" })
	http.DefaultClient.CloseIdleConnections()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
