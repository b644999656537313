package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cobaltward/discovery/registry"
	"cobaltward/emulator/checker"
	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/learnedstate"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
)

// testNode is a node in front of emulated servers, with its admin API and operations endpoint. checker records what
// the clients and the servers observe.
type testNode struct {
	t              *testing.T
	addr           string
	adminSocket    string
	operationsAddr string
	memoryMB       int64
	initialList    registry.List
	settings       policy.Settings
	state          StateConfig

	mu            sync.Mutex
	checker       *checker.Checker
	executed      map[string]bool // by request ID
	startedAt     time.Time
	failingServer atomic.Int64 // number, from 1, of the server that fails some requests; any other number: no server

	clientCounts
}

const ms = time.Millisecond

func drainSettings() policy.Settings {
	return policy.Settings{
		Nodes: 1,
		Classes: []policy.Class{
			{
				Name: "hladanie", LatencyObjective: 300 * ms, Deadline: 1500 * ms, PriorityWeight: 1,
				Idempotency: policy.Idempotent,
			},
			{
				Name: "rezervacia", LatencyObjective: 300 * ms, Deadline: 1200 * ms, PriorityWeight: 1,
				Idempotency: policy.NonIdempotent,
			},
			{
				Name: "zrusenie", LatencyObjective: 300 * ms, Deadline: 1500 * ms, PriorityWeight: 1,
				Idempotency: policy.IdempotencyKeyed, DedupScope: policy.DedupAll, DedupWindow: 4 * time.Second,
			},
		},
		Capabilities: policy.Capabilities{
			Cancel: true, Hedge: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: time.Second,
			ConnIdleTimeout: 10 * time.Second,
		},
		Rules: policy.Rules{
			DrainGrace: 500 * ms, AnswerGrace: 50 * ms, SlowStartShare: 1,
			OverloadFactor: 3, OverloadDuration: time.Second,
		},
	}
}

// newTestNode starts emulated servers that run until the test ends, and returns their node. The method start starts
// the node.
func newTestNode(t *testing.T, servers int) *testNode {
	t.Helper()
	settings := drainSettings()
	node := &testNode{
		t:           t,
		adminSocket: filepath.Join(t.TempDir(), "door.sock"),
		settings:    settings,
		checker:     newChecker(settings),
		executed:    make(map[string]bool),
		startedAt:   time.Now(),
	}
	group := servermodel.NewGroup(4 * time.Second)
	for number := range servers {
		node.initialList.Endpoints = append(node.initialList.Endpoints, node.startServer(number, group))
	}
	node.initialList.Revision, node.initialList.Full = 1, true
	return node
}

func newChecker(settings policy.Settings) *checker.Checker {
	rules := checker.Config{
		Classes:     make(map[string]checker.Class),
		AnswerGrace: settings.Rules.AnswerGrace,
		DrainGrace:  settings.Rules.DrainGrace,
		Slack:       150 * ms,
	}
	for _, class := range settings.Classes {
		rules.Classes[class.Name] = checker.Class{
			Idempotency: class.Idempotency, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow,
		}
	}
	return checker.New(rules)
}

// startServer starts an emulated server.
func (n *testNode) startServer(number int, group *servermodel.Group) router.Endpoint {
	n.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	serverID := fmt.Sprintf("s%d", number)
	config := model.Config{Cores: 8, Slots: 16, Queue: 32, Cancel: model.CancelAll}
	host := servermodel.StartObserved(config, group, func(e model.Execution) {
		n.locked(func(now time.Duration) {
			n.executed[e.ID] = true
			n.checker.ServerExecuted(now, serverID, e.ID, e.Discarded)
		})
	})
	work := model.Work{Dist: model.Lognormal, Mean: 0.06, CV: 1.5}
	server := serverprotocol.ServeHTTP1WithOptions(listener, host, serverprotocol.Options{
		Behavior: func(_, id string) serverprotocol.Behavior {
			n.locked(func(now time.Duration) {
				n.checker.AttemptSent(now, "n", id, n.checker.Attempts(id), serverID)
			})
			treatment := serverprotocol.Behavior{Work: work.Draw(1, id)}
			if n.failingServer.Load() == int64(number+1) {
				treatment.Fail = model.Uniform(2, id) < 0.3
				treatment.Reset = model.Uniform(3, id) < 0.2
			}
			return treatment
		},
		OnRejected: func(id string) {
			n.locked(func(time.Duration) { n.checker.AttemptNotRun("n", id, n.checker.Attempts(id)-1) })
		},
	})
	n.t.Cleanup(func() {
		host.Stop()
		server.Close()
	})
	return router.Endpoint{ID: serverID, Addr: server.Addr, Zone: "a", Kind: "k", Weight: 1}
}

// locked calls f with the time since newTestNode. It holds the mutex of checker and executed during the call.
func (n *testNode) locked(f func(now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(time.Since(n.startedAt))
}

// allowSlowAnswers sets long deadlines and disables hedging.
func (n *testNode) allowSlowAnswers() {
	for i := range n.settings.Classes {
		class := &n.settings.Classes[i]
		class.Deadline, class.LatencyObjective = 30*time.Second, 20*time.Second
	}
	n.settings.Capabilities.Hedge = false
}

// start runs a node until stop is called, and waits until the node is ready. ended receives the error of Run. The
// address for clients is the same at each start.
func (n *testNode) start() (stop context.CancelFunc, ended chan error) {
	n.t.Helper()
	addr := n.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		n.t.Fatal(err)
	}
	if n.addr == "" { // written once, because clients read n.addr concurrently later
		n.addr = listener.Addr().String()
	}
	operationsListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.operationsAddr = operationsListener.Addr().String()
	announceFor, drainTimeout := 150*ms, 1200*ms
	config := Config{
		Name:               "n",
		Discovery:          "127.0.0.1:9",
		Seed:               1,
		MaxDescriptors:     512,
		MemoryMB:           n.memoryMB,
		InitialList:        n.initialList,
		Settings:           n.settings,
		ConnectTimeout:     n.connectTimeout(),
		AnnounceFor:        &announceFor,
		DrainTimeout:       &drainTimeout,
		State:              n.state,
		AdminAPI:           adminapi.Config{Socket: n.adminSocket},
		OperationsListener: operationsListener,
	}
	ctx, stop := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- Run(ctx, config, listener, nil, slog.New(slog.DiscardHandler)) }()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * ms) {
		resp, err := http.Get("http://" + n.addr + readyPath)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return stop, ended
		}
	}
	n.t.Fatal("the node never became ready")
	return nil, nil
}

// connectTimeout returns the timeout for connecting to servers. It is longer for tests with large bodies, which keep
// the machine busy.
func (n *testNode) connectTimeout() time.Duration {
	if n.memoryMB > 0 {
		return 10 * time.Second
	}
	return 250 * ms
}

// isReady queries the node's readiness over a new connection.
func (n *testNode) isReady() bool {
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", readyPath); err != nil {
		return false
	}
	var version string
	var status int
	if _, err := fmt.Fscan(conn, &version, &status); err != nil {
		return false
	}
	return status == http.StatusOK
}

// callAdmin calls the admin API. It returns the status code, or 0 without a response. It also returns the node's
// status if the response contains one.
func (n *testNode) callAdmin(method, path string, body any) (int, Status) {
	n.t.Helper()
	client, base := adminapi.NewClient(n.adminSocket, "", nil)
	defer client.CloseIdleConnections()
	raw, err := json.Marshal(body)
	if err != nil {
		n.t.Fatal(err)
	}
	req, err := http.NewRequest(method, base+path, bytes.NewReader(raw))
	if err != nil {
		n.t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, Status{}
	}
	defer func() { _ = resp.Body.Close() }()
	var status Status
	_ = json.NewDecoder(resp.Body).Decode(&status) // error responses have another format
	return resp.StatusCode, status
}

// status returns the node's status, read from the admin API.
func (n *testNode) status() Status {
	n.t.Helper()
	_, status := n.callAdmin(http.MethodGet, "/status", nil)
	return status
}

// drainState returns the name of the drain state, read from the admin API.
func (n *testNode) drainState() string {
	n.t.Helper()
	return n.status().Drain.State.String()
}

// learnedState returns the learned state, read from the admin API.
func (n *testNode) learnedState() learnedstate.Snapshot {
	n.t.Helper()
	client, base := adminapi.NewClient(n.adminSocket, "", nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get(base + "/knowledge")
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	snapshot, err := learnedstate.Decode(raw)
	if err != nil {
		n.t.Fatal(err)
	}
	return snapshot
}

// callOperations sends a PUT request to the operations endpoint and returns the status code.
func (n *testNode) callOperations(path string) int {
	n.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+n.operationsAddr+path, nil)
	if err != nil {
		n.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		n.t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// metrics reads the metrics of the operations endpoint.
func (n *testNode) metrics() map[string]int {
	n.t.Helper()
	resp, err := http.Get("http://" + n.operationsAddr + "/status/metrics")
	if err != nil {
		n.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		n.t.Fatal(err)
	}
	metrics := make(map[string]int)
	for line := range strings.Lines(string(page)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), "=")
		value, err := strconv.Atoi(text)
		if err != nil {
			n.t.Fatalf("metrics line %q: %v", line, err)
		}
		metrics[name] = value
	}
	return metrics
}

// gatedServer is a server that holds each response until the test releases it.
type gatedServer struct {
	mu      sync.Mutex
	waiting []chan struct{} // one channel for each request, oldest first
}

// newGatedNode returns a node in front of a gated server, with long deadlines.
func newGatedNode(t *testing.T) (*testNode, *gatedServer) {
	t.Helper()
	server := new(gatedServer)
	node := newTestNode(t, 0)
	node.initialList.Endpoints = []router.Endpoint{
		{ID: "s0", Addr: testkit.HTTPServer(t, server.ServeHTTP), Zone: "a", Kind: "k", Weight: 1},
	}
	node.allowSlowAnswers()
	return node, server
}

func (g *gatedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	released := make(chan struct{})
	g.mu.Lock()
	g.waiting = append(g.waiting, released)
	g.mu.Unlock()
	select {
	case <-released:
		_, _ = io.WriteString(w, "done") // after a write error, the client detects an incomplete response
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
