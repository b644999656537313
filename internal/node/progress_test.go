package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/drain"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/frontend/secure"
	"cobaltward/internal/pki"
	"cobaltward/internal/sockets"
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

// acceptOneClient is a listener for clients with one connection, and its two ends.
func acceptOneClient(t *testing.T) (*clientListener, net.Conn, *clientConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClientListener(ln, 4)
	t.Cleanup(func() { l.Close() })
	client, c := connectClient(t, l)
	return l, client, c.(*clientConn)
}

// connectClient has a client connect, and returns the two ends.
func connectClient(t *testing.T, l *clientListener) (client, c net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if c, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return client, c
}

// A request comes as a drain parts from quiet connections: reading and noting are one step, so while the drain looks the
// bytes are to be seen, and the connection stays; what comes behind the part crossed it, and is not taken.
func TestCloseIdle_RequestArrivesMeanwhile(t *testing.T) {
	l, client, c := acceptOneClient(t)
	fmt.Fprint(client, "GET / HTTP/1.1\r\n")
	testkit.Await(t, "the bytes", func() bool { return !sockets.Quiet(c.TCPConn) })
	l.mu.Lock()
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 64))
		read <- err
	}()
	if n := len(l.halfCloseIdleLocked()); n != 0 {
		t.Errorf("%d connections parted from, with a request there", n)
	}
	l.mu.Unlock()
	if err := testkit.Receive(t, "the read", read); err != nil {
		t.Errorf("the request is not read: %v", err)
	}

	l, client, c = acceptOneClient(t)
	l.mu.Lock()
	c.acceptedAt = c.acceptedAt.Add(-firstRequestGrace)
	if n := len(l.halfCloseIdleLocked()); n != 1 {
		t.Errorf("%d connections parted from", n)
	}
	l.mu.Unlock()
	fmt.Fprint(client, "GET / HTTP/1.1\r\n")
	if _, err := c.Read(make([]byte, 64)); !errors.Is(err, io.EOF) {
		t.Errorf("the request is read all the same: %v", err)
	}
	if l.requestsDuringClose != 1 {
		t.Errorf("%d crossed", l.requestsDuringClose)
	}
}

// A connection that turns idle as the intake ends, and whose client does not close its side: it is given up in the time
// for that, whatever net/http then grants a connection that waits for its next request.
func TestCloseIdle_ClientKeepsItsSideOpen(t *testing.T) {
	l, client, c := acceptOneClient(t)
	c.onStateChange(http.StateActive)
	l.closeIdle() // the request is still being answered
	c.onStateChange(http.StateIdle)
	_ = c.SetReadDeadline(time.Now().Add(time.Hour))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("our side is open: %v", err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	if ne := net.Error(nil); !errors.As(testkit.Receive(t, "the end of the wait", ended), &ne) || !ne.Timeout() {
		t.Error("the wait ended otherwise")
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

// Handshakes that the core works on hold up who comes next, and to close one that waits for its client would make no room:
// nobody is closed on for them.
func TestEviction_SparesSilentHandshakeWhileOthersProceed(t *testing.T) {
	dir := t.TempDir()
	from := certificates.Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	p := pki.Year("front").Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	for name, text := range map[string][]byte{from.Cert: pki.PEM(p.Cert), from.Key: p.KeyPEM()} {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := certificates.Open(from, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newClientListener(ln, 100)
	defer l.Close()
	if l.tlsLayer, err = secure.New(secure.Config{Keys: store}); err != nil {
		t.Fatal(err)
	}
	accept := func() *clientConn {
		_, c := connectClient(t, l)
		return c.(*tlsClientConn).conn
	}
	slow := accept()
	slow.acceptedAt = slow.acceptedAt.Add(-time.Minute)
	for range 8 { // each is worked on, as far as anybody knows, for its first moments
		accept()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if slow.closed {
		t.Error("the slow client was closed on")
	}
	if l.open != 9 {
		t.Errorf("%d connections, want 9", l.open)
	}
}

// A drain parts from quiet connections as a client has just connected and is about to send its first request: it is left
// alone for a moment, and its request is read. Who sends nothing is parted from then.
func TestDrain_SparesNewConnection(t *testing.T) {
	l, client, c := acceptOneClient(t)
	l.closeIdle()
	if c.halfClosed {
		t.Error("parted from at once")
	}
	fmt.Fprint(client, "GET / HTTP/1.1\r\n")
	if n, err := c.Read(make([]byte, 64)); n == 0 || err != nil {
		t.Errorf("its request is not read: %d bytes, %v", n, err)
	}

	l, client, _ = acceptOneClient(t)
	l.closeIdle()
	_ = client.SetReadDeadline(time.Now().Add(testkit.Long))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("who sends nothing is not parted from: %v", err)
	}
	if open, busy := l.connCounts(); open != 1 || busy != 0 {
		t.Errorf("%d connections, %d busy", open, busy)
	}

	l, client, c = acceptOneClient(t)
	l.closeIdle()
	l.keepIdle()
	l.recheckIdle()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.halfClosed {
		t.Error("parted from, though the drain was taken back")
	}
}

// A request that was read behind the one before it is no quiet connection: nobody parts from it, or makes room by it.
func TestDrain_SparesPipelinedRequest(t *testing.T) {
	l, client, c := acceptOneClient(t)
	fmt.Fprint(client, "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n")
	for c.framing.Heads() < 2 {
		if _, err := c.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
	}
	l.closeIdle()
	for i, busy := range []int{1, 0} {
		c.onStateChange(http.StateActive)
		c.onStateChange(http.StateIdle)
		if _, b := l.connCounts(); b != busy || c.halfClosed != (busy == 0) {
			t.Errorf("after request %d: %d busy, parted from: %v", i, b, c.halfClosed)
		}
	}
}
