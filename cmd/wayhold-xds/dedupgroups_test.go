package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/discovery/xds/standin"
	"cobaltward/internal/node"
	"cobaltward/internal/nodeconfig"
	"cobaltward/internal/testkit"
	"cobaltward/router"

	"google.golang.org/grpc/codes"
)

var (
	firstGroupSeed = flag.Uint64("groups.seed", 1, "first seed of TestKeyedRequests_StayInGroup")
	groupSeeds     = flag.Int("groups.seeds", 24, "number of seeds of TestKeyedRequests_StayInGroup")
)

const (
	drainGrace    = 500 * time.Millisecond
	drainLateness = time.Second // time that a drain may take from a source to the node, on a loaded machine
	appServers    = 6
	keyedCalls    = 60 // requests of one seed
	callInterval  = 25 * time.Millisecond
)

// sourceView says what a source names of the servers.
type sourceView struct {
	start, zone, cell bool
	contradicts       bool // whether it names the other group for all servers
}

// groupPlay is one run of a node with two sources. Servers belong to one of two groups, which are zones or cells. The
// servers of a group discard duplicates that the group has executed since their own start.
type groupPlay struct {
	t        *testing.T
	rng      *rand.Rand
	scope    string // zone or cell
	plane    *standin.ControlPlane
	registry *registryStub
	views    [2]sourceView // of the registry and of the control plane
	servers  []*groupServer

	mu         sync.Mutex
	executions map[string][]execution // by key
	lateDrains int
	resets     int
}

// execution is one execution of a keyed request.
type execution struct {
	server, group int
	at            time.Time
}

// groupServer is the process at one address.
type groupServer struct {
	index   int
	addr    string
	group   int
	started time.Time
	resets  bool         // whether it resets nine of ten connections after the execution
	drained [2]time.Time // when each source has drained it; zero: not
	served  int
}

// registryStub is a registry that answers each call with the complete list.
type registryStub struct {
	addr string

	mu       sync.Mutex
	revision int
	members  []map[string]any
	down     bool
	changed  chan struct{}
	received int // revision that the node has received
}

func (r *registryStub) set(members []map[string]any) {
	r.update(func() {
		r.revision++
		r.members = members
	})
}

func (r *registryStub) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *registryStub) list() map[string]any {
	return map[string]any{"revision": r.revision, "complete": true, "members": r.members}
}

func (r *registryStub) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received, _ = strconv.Atoi(request.URL.Query().Get("index"))
	if changed := r.changed; !r.down && r.received == r.revision {
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-request.Context().Done():
		}
		r.mu.Lock()
	}
	if r.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(r.list())
}

// TestKeyedRequests_StayInGroup guards against keyed requests that run twice (review/6). A node takes its servers from
// a registry and a control plane, each of which names a part of the attributes. A server resets connections after it
// has executed requests, a server is drained and restarted in another group, and a source is lost for a while.
func TestKeyedRequests_StayInGroup(t *testing.T) {
	for i := range *groupSeeds {
		seed := *firstGroupSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			newGroupPlay(t, seed).run()
		})
	}
}

func newGroupPlay(t *testing.T, seed uint64) *groupPlay {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 6))
	play := &groupPlay{
		t: t, rng: rng, scope: []string{"zone", "cell"}[seed%2], executions: make(map[string][]execution),
		registry: &registryStub{changed: make(chan struct{})},
	}
	for i := range play.views {
		play.views[i] = sourceView{start: rng.IntN(2) == 0, zone: rng.IntN(2) == 0, cell: rng.IntN(2) == 0}
	}
	play.views[1].contradicts = rng.IntN(6) == 0
	for i := range appServers {
		server := &groupServer{index: i, group: i % 2, started: time.Now().Add(-time.Hour), resets: i == 0}
		server.addr = testkit.HTTPServer(t, func(w http.ResponseWriter, r *http.Request) { play.serve(server, w, r) })
		play.servers = append(play.servers, server)
	}
	play.registry.addr = testkit.HTTPServer(t, play.registry.ServeHTTP)
	play.plane = startControlPlane(t)
	play.tellRegistry()
	play.tellControlPlane()
	return play
}

// serve executes a keyed request unless the group has executed it since the start of the server's process.
func (p *groupPlay) serve(server *groupServer, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	key, now := r.Header.Get("Idempotency-Key"), time.Now()
	p.mu.Lock()
	for _, drained := range server.drained {
		if !drained.IsZero() && now.Sub(drained) > drainGrace+drainLateness {
			p.lateDrains++
		}
	}
	known := false
	for _, earlier := range p.executions[key] {
		known = known || earlier.group == server.group && !earlier.at.Before(server.started)
	}
	if !known {
		p.executions[key] = append(p.executions[key], execution{server.index, server.group, now})
	}
	server.served++
	reset := server.resets && server.served%10 != 0
	if reset {
		p.resets++
	}
	p.mu.Unlock()
	if !reset {
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// groupNamed returns the group that a source names for a server.
func (v sourceView) groupNamed(group int) int {
	if v.contradicts {
		return 1 - group
	}
	return group
}

// tellRegistry puts the current state in force at the registry.
func (p *groupPlay) tellRegistry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []map[string]any
	for _, server := range p.servers {
		group := p.views[0].groupNamed(server.group)
		member := map[string]any{"id": fmt.Sprint("s", server.index), "host_port": server.addr, "phase": "up"}
		if !server.drained[0].IsZero() {
			member["phase"] = "draining"
		}
		if p.views[0].start {
			member["up_since_ms"] = server.started.UnixMilli()
		}
		if p.views[0].zone {
			member["locality"] = fmt.Sprint("z", group)
		}
		if p.views[0].cell {
			member["cell"] = group
		}
		members = append(members, member)
	}
	p.registry.set(members)
}

// tellControlPlane puts the current state in force at the control plane.
func (p *groupPlay) tellControlPlane() {
	p.mu.Lock()
	defer p.mu.Unlock()
	var endpoints []string
	for _, server := range p.servers {
		group := p.views[1].groupNamed(server.group)
		options := []string{"health=HEALTHY"}
		if !server.drained[1].IsZero() {
			options = []string{"health=DRAINING"}
		}
		if p.views[1].start {
			options = append(options, fmt.Sprint("started=", server.started.UnixMilli()))
		}
		if p.views[1].zone {
			options = append(options, fmt.Sprint("zone=z", group))
		}
		if p.views[1].cell {
			options = append(options, fmt.Sprint("cell=", group))
		}
		endpoints = append(endpoints, server.addr+"/"+strings.Join(options, ","))
	}
	assignment, err := standin.ParseAssignment("rooms", endpoints)
	if err != nil {
		p.t.Error(err)
		return
	}
	p.plane.Set(assignment)
}

// tell puts the current state in force at the source with the given index, and waits until the node has received it.
func (p *groupPlay) tell(source int) {
	p.t.Helper()
	received := len(p.plane.Requests())
	if source == 0 {
		p.tellRegistry()
		testkit.Await(p.t, "the registry's list at the node", func() bool {
			p.registry.mu.Lock()
			defer p.registry.mu.Unlock()
			return p.registry.received == p.registry.revision
		})
		return
	}
	p.tellControlPlane()
	testkit.Await(p.t, "the node's answer to the control plane", func() bool { return len(p.plane.Requests()) > received })
}

// config returns the node's configuration. The node starts with the registry's list.
func (p *groupPlay) config() node.Config {
	p.t.Helper()
	p.registry.mu.Lock()
	known, err := json.Marshal(p.registry.list())
	p.registry.mu.Unlock()
	if err != nil {
		p.t.Fatal(err)
	}
	raw := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":64,"sockets":256},"known":%s,
		"settings":{"position":0,"groupSize":1,"zone":"z0","localities":["z0","z1"],
			"services":[{"name":"undo","aim":500,"deadline":2000,"repeat":"guarded","group":%q,"window":4000}],
			"tenants":[{"name":"t","quotaRps":1000,"fraction":1}],
			"guarantees":{"graceToAnswer":50,"drainGrace":500},
			"limits":{"maxAttempts":5,"connectTimeout":2000}}}`, p.registry.addr, known, p.scope)
	path := filepath.Join(p.t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		p.t.Fatal(err)
	}
	config, err := node.LoadConfig(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	if err != nil {
		p.t.Fatal(err)
	}
	file, err := nodeconfig.Load(writeOwnFile(p.t, p.plane, ""))
	if err != nil {
		p.t.Fatal(err)
	}
	config.NewEndpointSource = func(platform router.EndpointSource) (router.EndpointSource, error) {
		return newEndpointSource(file, config, platform, slog.New(slog.DiscardHandler))
	}
	return config
}

// run runs the node, sends the requests and checks the executions.
func (p *groupPlay) run() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.t.Fatal(err)
	}
	config := p.config()
	ctx, cancel := context.WithCancel(p.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx, config, ln, nil, slog.New(slog.DiscardHandler)) }()
	events := make(chan struct{})
	go func() {
		defer close(events)
		p.playEvents()
	}()
	statuses := p.sendAll(ln.Addr().String())
	<-events
	cancel()
	if err := testkit.Receive(p.t, "the end of the node", ended); err != nil {
		p.t.Error(err)
	}
	p.check(statuses)
}

// playEvents drains a server and restarts it. A source that names starts reports the new process first, and the others
// later. Only then may the new process be in the other group: without a start, a stale group could not be told from the
// current one. While the server drains, one of the sources may be lost.
func (p *groupPlay) playEvents() {
	time.Sleep(time.Duration(p.rng.IntN(200)) * time.Millisecond)
	server, drainedBy, lost, reportedBy := p.servers[p.rng.IntN(appServers)], p.rng.IntN(2), p.rng.IntN(3), p.rng.IntN(2)
	p.change(func() { server.drained[drainedBy] = time.Now() })
	p.tell(drainedBy)
	p.setLost(lost, true)
	time.Sleep(drainGrace + 100*time.Millisecond)
	p.setLost(lost, false)
	if !p.views[reportedBy].start {
		reportedBy = 1 - reportedBy
	}
	p.change(func() {
		if p.views[reportedBy].start {
			server.group = 1 - server.group
		}
		server.started, server.drained[drainedBy] = time.Now(), time.Time{}
	})
	p.tell(reportedBy)
	time.Sleep(300 * time.Millisecond)
	p.tell(1 - reportedBy)
}

func (p *groupPlay) change(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// setLost makes a source unreachable, or reachable again. Any index other than 0 and 1 is no source.
func (p *groupPlay) setLost(source int, lost bool) {
	switch {
	case source == 0:
		p.registry.update(func() { p.registry.down = lost })
	case source == 1 && lost:
		p.plane.RejectStreams(codes.Unavailable)
		p.plane.CloseStreams(codes.Unavailable)
	case source == 1:
		p.plane.RejectStreams(codes.OK)
	}
}

// sendAll sends keyed requests at a fixed interval. It returns the number of responses by status.
func (p *groupPlay) sendAll(addr string) map[string]int {
	statuses := make(map[string]int)
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keyedCalls}}
	defer client.CloseIdleConnections()
	var pending sync.WaitGroup
	for i := range keyedCalls {
		pending.Go(func() {
			status := sendKeyed(p.t, &client, addr, fmt.Sprint("key-", i))
			p.change(func() { statuses[status]++ })
		})
		time.Sleep(callInterval)
	}
	pending.Wait()
	return statuses
}

// sendKeyed sends a keyed request and returns the status of the response, or the text of the error.
func sendKeyed(t *testing.T, client *http.Client, addr, key string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api", strings.NewReader("undo"))
	if err != nil {
		t.Error(err)
		return ""
	}
	request.Header = http.Header{
		"X-Request-Id": {"id-" + key}, "X-Class": {"undo"}, "X-Tenant": {"t"}, "X-Deadline-Ms": {"2000"},
		"Idempotency-Key": {key},
	}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Status
}

// check checks that no request was executed twice and that no draining server got requests.
func (p *groupPlay) check(statuses map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("scope %s, registry %+v, control plane %+v: %d resets, %v",
		p.scope, p.views[0], p.views[1], p.resets, statuses)
	for key, executions := range p.executions {
		if len(executions) > 1 {
			p.t.Errorf("%s was executed %d times: %+v", key, len(executions), executions)
		}
	}
	if p.lateDrains > 0 {
		p.t.Errorf("draining servers got %d requests after the grace", p.lateDrains)
	}
	if p.resets == 0 {
		p.t.Error("no connection was reset, so that nothing was tested")
	}
}
