package multiprocess

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"cobaltward/drain"
	"cobaltward/emulator/model"
	"cobaltward/emulator/servermodel"
	"cobaltward/emulator/serverprotocol"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
)

const (
	appServers          = 6
	adminTimeout        = 2 * time.Second
	dialTimeout         = time.Second
	maxIdleConnsPerNode = 64
)

// traffic is a set of real nodes under load. It consists of processes of the node program, emulated app servers, and
// clients. The clients reach the nodes through an emulated load balancer, which checks the readiness of the nodes.
type traffic struct {
	harness  *Harness
	servers  []*servermodel.Server
	handlers []*serverprotocol.HTTPServer
	nodes    map[string]*process
	clients  map[string]*http.Client // client for each node, by node name
	inFlight sync.WaitGroup

	mu         sync.Mutex
	readyNodes []string
	minReady   int // lowest number of ready nodes at a health check; the first check counts only if all nodes were ready
	counts     requestCounts
	isBooking  map[string]bool // whether each request is a booking, by request ID
	latencies  []time.Duration // latencies of the served requests
}

// requestCounts counts requests by their outcome.
type requestCounts struct {
	sent, served, rejected, failed int
	lost                           int // sent to a node without a response
	unroutable                     int // no node accepted a connection
}

// startTraffic starts the app servers and the nodes. Each node serves its admin API on the socket that its agent
// uses.
func (h *Harness) startTraffic() error {
	t := &traffic{
		harness: h, nodes: make(map[string]*process), clients: make(map[string]*http.Client),
		minReady: h.script.Nodes, isBooking: make(map[string]bool),
	}
	h.traffic = t // set first, because Close must stop the traffic even after an error
	serverConfig, err := t.startServers()
	if err != nil {
		return err
	}
	for _, name := range h.script.nodeNames() {
		if err := t.startNode(name, serverConfig); err != nil {
			return err
		}
	}
	return nil
}

// startServers starts the app servers. It returns the part of the nodes' settings that lists the servers.
func (t *traffic) startServers() (config string, err error) {
	var text strings.Builder
	for i := range appServers {
		listener, err := net.Listen("tcp", listenAddress)
		if err != nil {
			return "", fmt.Errorf("start app server %d: %w", i+1, err)
		}
		capacity := model.Config{Cores: 16, Slots: 16, Queue: 64, Cancel: model.CancelAll}
		server := servermodel.Start(capacity, servermodel.NewGroup(4*time.Second))
		work := model.Work{Dist: model.Exponential, Mean: 0.02} // seconds
		drawWork := func(_, id string) float64 { return work.Draw(t.harness.script.Seed, id) }
		t.servers = append(t.servers, server)
		t.handlers = append(t.handlers, serverprotocol.ServeHTTP1(listener, server, drawWork, nil))
		fmt.Fprintf(&text, "[[server]]\nid = \"s%d\"\naddress = %q\n", i+1, listener.Addr())
	}
	return text.String(), nil
}

func (t *traffic) startNode(name, serverConfig string) error {
	h := t.harness
	p := &process{harness: h, name: "w" + name[1:], role: roleNode, dir: h.path("w" + name)}
	config := fmt.Sprintf(nodeConfig, name, h.socket(name)) + serverConfig
	if err := os.WriteFile(p.configPath(), []byte(config), 0o600); err != nil {
		return fmt.Errorf("start node %s: %w", name, err)
	}
	t.nodes[name] = p
	t.clients[name] = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerNode, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}
	if err := p.start(); err != nil {
		return fmt.Errorf("start node %s: %w: %s", name, err, strings.Join(p.logLines(), "\n"))
	}
	return nil
}

func (t *traffic) close() {
	for _, p := range t.nodes {
		p.kill()
	}
	for _, client := range t.clients {
		client.CloseIdleConnections()
	}
	for i := range t.handlers {
		t.handlers[i].Close()
		t.servers[i].Stop()
	}
}

// isDrained reports whether a node is drained according to its admin API. A node that doesn't respond has ended and
// counts as drained.
func (t *traffic) isDrained(name string) bool {
	client, base := adminapi.NewClient(t.harness.socket(name), "", nil)
	defer client.CloseIdleConnections()
	client.Timeout = adminTimeout
	response, err := client.Get(base + "/status")
	if err != nil {
		return true
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	var status node.Status
	return json.Unmarshal(raw, &status) == nil && status.Drain.State == drain.Drained
}

// restartNode shuts a node down gracefully and starts it again, as a real patch does.
func (t *traffic) restartNode(name string) error {
	p := t.nodes[name]
	if p == nil {
		return fmt.Errorf("restart node %q: no such node", name)
	}
	p.stop()
	return p.start()
}

// check waits for the last responses and returns descriptions of the broken invariants.
func (t *traffic) check() (violations []string) {
	t.inFlight.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := make(map[string]int)
	for _, server := range t.servers {
		for _, entry := range server.Executions() {
			executions[entry.ID]++
		}
	}
	for id, times := range executions {
		if t.isBooking[id] && times > 1 {
			violations = append(violations, fmt.Sprintf("booking %s was executed %d times", id, times))
		}
	}
	if t.counts.lost+t.counts.unroutable > 0 {
		violations = append(violations, fmt.Sprintf("%d requests were lost, and %d were unroutable",
			t.counts.lost, t.counts.unroutable))
	}
	if minCapacity := t.harness.script.MinCapacity; float64(t.minReady) < minCapacity {
		violations = append(violations, fmt.Sprintf("at the least %d nodes were ready, at least %.0f have to be",
			t.minReady, minCapacity))
	}
	return violations
}

// String returns the counts of requests, formatted as the end of the line from Result.String.
func (t *traffic) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	return fmt.Sprintf("; %d requests: %d served, %d rejected, %d failed, %d lost, %d unroutable; "+
		"at the least %d of %d nodes ready", counts.sent, counts.served, counts.rejected, counts.failed,
		counts.lost, counts.unroutable, t.minReady, t.harness.script.Nodes)
}
