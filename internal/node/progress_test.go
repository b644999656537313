package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
	"cobaltward/router"
)

// gatedServer is an app server whose answers wait for the test.
type gatedServer struct {
	mu      sync.Mutex
	waiting []chan struct{}
}

func (g *gatedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := make(chan struct{})
	g.mu.Lock()
	g.waiting = append(g.waiting, c)
	g.mu.Unlock()
	select {
	case <-c:
		fmt.Fprint(w, "done")
	case <-r.Context().Done():
	}
}

func (g *gatedServer) waitingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting)
}

func (g *gatedServer) releaseOldest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.waiting[0])
	g.waiting = g.waiting[1:]
}

// allowSlowAnswers has clients wait for long, and no second copies.
func (w *testNode) allowSlowAnswers() {
	for i := range w.settings.Classes {
		w.settings.Classes[i].Deadline, w.settings.Classes[i].LatencyObjective = 30*time.Second, 20*time.Second
	}
	w.settings.Capabilities.Hedge = false
}

// While requests wait at a server and are let go one by one, a drain's progress counts exactly those that the
// server still has, to the last; and the drain is through with it.
func TestDrainStatus_CountsOpenRequestsExactly(t *testing.T) {
	g := new(gatedServer)
	w := newTestNode(t, 0)
	w.initialList.Endpoints = []router.Endpoint{{ID: "s0", Addr: testkit.HTTPServer(t, g.ServeHTTP), Zone: "a", Kind: "k", Weight: 1}}
	w.allowSlowAnswers()
	stop, ended := w.start()
	const n = 12
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	class := w.settings.Classes[1]
	for i := range n {
		all.Go(func() {
			if status, _, err := w.send(client, class, fmt.Sprint("r", i), false); err != nil || status != http.StatusOK {
				t.Errorf("request %d: %d, %v", i, status, err)
			}
		})
	}
	testkit.Await(t, "all requests at the server", func() bool { return g.waitingCount() == n })
	if code, _ := w.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "1m"}); code != http.StatusAccepted {
		t.Fatal(code)
	}
	for left := n; left > 0; left-- {
		var s Status
		testkit.Await(t, fmt.Sprintf("%d in flight", left), func() bool {
			_, s = w.callAdmin(http.MethodGet, "/status", nil)
			return s.Requests.Open <= left
		})
		if s.Requests.Open != left || s.Requests.ByClass["rezervacia"] != left || s.Requests.AttemptsInFlight != left || s.Connections.Busy != left || s.Drain.State.Done() {
			t.Errorf("%d are at the server; the door says %+v, %+v, %v", left, s.Requests, s.Connections, s.Drain.State)
		}
		g.releaseOldest()
	}
	testkit.Await(t, "the end of the drain", func() bool {
		_, s := w.callAdmin(http.MethodGet, "/status", nil)
		return s.Drain.State == drain.Drained
	})
	all.Wait()
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A drain that is taken back while clients come again: they are let in at once, by the same address, over old
// connections that are open still and over new ones.
func TestDrainCancel_WhileClosing(t *testing.T) {
	g := new(gatedServer)
	w := newTestNode(t, 0)
	w.initialList.Endpoints = []router.Endpoint{{ID: "s0", Addr: testkit.HTTPServer(t, g.ServeHTTP), Zone: "a", Kind: "k", Weight: 1}}
	w.allowSlowAnswers()
	stop, ended := w.start()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	class := w.settings.Classes[0]
	for round := range 3 {
		kept := make(chan int, 1)
		go func() {
			status, _, _ := w.send(client, class, fmt.Sprint("long", round), false)
			kept <- status
		}()
		testkit.Await(t, "the request at the server", func() bool { return g.waitingCount() == 1 })
		w.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "20s"}) // announced for 150 ms, leaving for 1 s
		testkit.Await(t, "the intake ended", func() bool {
			_, s := w.callAdmin(http.MethodGet, "/status", nil)
			return s.Drain.State == drain.Closing
		})
		if code, s := w.callAdmin(http.MethodDelete, "/drain", DrainRequest{RequestedBy: "x"}); code != http.StatusOK || s.Drain.State != drain.Serving {
			t.Fatalf("round %d: %d %+v", round, code, s.Drain)
		}
		g.releaseOldest()
		if status := <-kept; status != http.StatusOK {
			t.Errorf("round %d: the request that was open: %d", round, status)
		}
		again := make(chan int, 1)
		go func() {
			status, _, _ := w.send(client, class, fmt.Sprint("new", round), false)
			again <- status
		}()
		testkit.Await(t, "a new request at the server", func() bool { return g.waitingCount() == 1 })
		g.releaseOldest()
		if status := <-again; status != http.StatusOK {
			t.Errorf("round %d: a new request: %d", round, status)
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Figures, not a check: DRAIN_FIGURES=1 go test -run DrainFigures -v ./internal/node
func TestDrainFigures(t *testing.T) {
	if os.Getenv("DRAIN_FIGURES") == "" {
		t.Skip("figures are made on request")
	}
	for _, n := range []int{10, 100, 200} {
		w := newTestNode(t, 4)
		stop, ended := w.start()
		ctx, end := context.WithCancel(t.Context())
		all := w.startClients(ctx, n)
		time.Sleep(time.Second)
		_, s := w.callAdmin(http.MethodGet, "/status", nil)
		began := time.Now()
		w.callAdmin(http.MethodPost, "/drain", DrainRequest{Timeout: "10s"})
		for s.Drain.State != drain.Drained {
			_, s = w.callAdmin(http.MethodGet, "/status", nil)
			time.Sleep(5 * time.Millisecond)
		}
		events := fmt.Sprint(time.Since(began).Round(time.Millisecond))
		t.Logf("%d clients: drained %s after the order (150 ms announced, 1 s leaving); %d connections parted, %d requests crossed", n, events, s.Connections.ClosedForDrain, s.Connections.RetriedByClients)
		end()
		all.Wait()
		stop()
		<-ended
	}
	w := newTestNode(t, 4)
	stop, ended := w.start()
	defer func() { stop(); <-ended }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(1, 1))
	id := 0
	p99 := func() time.Duration {
		var took []time.Duration
		for range 400 {
			id++
			at := time.Now()
			_, _, _ = w.send(client, drainSettings().Classes[0], fmt.Sprint("p", id), false)
			took = append(took, time.Since(at))
			time.Sleep(time.Duration(rng.IntN(2)) * time.Millisecond)
		}
		slices.Sort(took)
		return took[len(took)*99/100]
	}
	var ratios []float64
	for range 5 {
		plain := p99()
		ctx, end := context.WithCancel(t.Context())
		c, base := adminapi.NewClient(w.adminSocket, "", nil)
		for range 50 {
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, base+"/events", nil)
			resp, err := c.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				buf := make([]byte, 4096)
				for {
					if _, err := resp.Body.Read(buf); err != nil {
						resp.Body.Close()
						return
					}
				}
			}()
		}
		ratios = append(ratios, float64(p99())/float64(plain))
		end()
		c.CloseIdleConnections()
	}
	slices.Sort(ratios)
	t.Logf("p99 with 50 watchers over p99 with none: %.2f", ratios)
}
