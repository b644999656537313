// Package racetest contains only tests. They force race conditions over loopback sockets: one side closes, removes or
// cancels something while another side begins to use it. Clients, servers and discovery are test doubles. A test
// double can block at a given point until the test lets it continue. Where possible, tests wait for an observed state
// instead of sleeping. They check what the test doubles recorded, not what the node reports about itself.
package racetest

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/discovery/registry"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/node"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness runs one node with emulated clients, servers and discovery.
type harness struct {
	t         *testing.T
	config    node.Config
	addr      string // client address of the node
	discovery *discoveryStub
	reloads   chan node.Config
	terminate context.CancelFunc // shuts the node down as SIGTERM does
	exited    chan error
	stopped   bool        // true once awaitExit has been called
	clientTLS *tls.Config // nil: clients use plain HTTP

	oldServer, newServer string // addresses of s0 and s1 in tests of the endpoint list
	trackedID            string // ID of the request that a termination test examines

	mu        sync.Mutex
	forwarded []forwardedRequest // completely received requests, in order of receipt
}

// forwardedRequest is one request that a server received completely.
type forwardedRequest struct {
	server, id string
	at         time.Time
}

// settings returns settings with high limits and timeouts, so that nothing expires unless the test causes it.
func settings() policy.Settings {
	class := func(name string, idempotency policy.Idempotency) policy.Class {
		return policy.Class{
			Name: name, LatencyObjective: 40 * time.Second, Deadline: 60 * time.Second, PriorityWeight: 1,
			Idempotency: idempotency, DedupScope: policy.DedupAll, DedupWindow: 50 * time.Second,
		}
	}
	return policy.Settings{
		Nodes: 1, Zone: "a",
		Classes: []policy.Class{
			class("read", policy.Idempotent), class("pay", policy.NonIdempotent), class("undo", policy.IdempotencyKeyed),
		},
		Capabilities: policy.Capabilities{
			Cancel: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: time.Second, ConnIdleTimeout: time.Minute,
		},
		Rules: policy.Rules{
			DrainGrace: 500 * time.Millisecond, SlowStartShare: 1, OverloadFactor: 3, OverloadDuration: time.Second,
			RetryBudget: &policy.RetryBudget{MinRetries: 1e6, Window: time.Second},
		},
	}
}

// newHarness returns a harness whose node has not been started. If change is not nil, it modifies the node's
// configuration.
func newHarness(t *testing.T, change func(c *node.Config)) *harness {
	env := &harness{t: t, reloads: make(chan node.Config, 1), exited: make(chan error, 1)}
	testkit.LogPausesOnFailure(t)
	env.discovery = newDiscoveryStub(t)
	announceFor := time.Millisecond // termination tests use nil, which means the daemon's default
	env.config = node.Config{
		Name: "n", Discovery: env.discovery.addr, Seed: 1, MaxDescriptors: 256, MemoryMB: 64,
		Settings: settings(), ConnectTimeout: 10 * time.Second, AnnounceFor: &announceFor,
		InitialList: registry.List{Revision: 1, Full: true},
		AdminAPI:    adminapi.Config{Socket: filepath.Join(t.TempDir(), "api")},
	}
	if change != nil {
		change(&env.config)
	}
	return env
}

// endpoint returns an endpoint with the given ID and address in zone a and cell 1.
func endpoint(id, addr string) router.Endpoint {
	return router.Endpoint{ID: id, Addr: addr, Zone: "a", Kind: "k", Cell: policy.NewCell(1), Weight: 1}
}

// addEndpoints appends endpoints to the node's initial list. It must be called before start.
func (env *harness) addEndpoints(endpoints ...router.Endpoint) {
	env.config.InitialList.Endpoints = append(env.config.InitialList.Endpoints, endpoints...)
}

// start runs the node until the test ends, and waits until it is ready.
func (env *harness) start() *harness {
	env.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	env.terminate = cancel
	env.discovery.adoptInitialList(env.config.InitialList)
	go func() { env.exited <- node.Run(ctx, env.config, ln, env.reloads, slog.New(slog.DiscardHandler)) }()
	env.t.Cleanup(env.shutdown)
	testkit.Await(env.t, "readiness", env.isReady)
	return env
}

// useTLS configures TLS between the node and its clients. It must be called before start.
func (env *harness) useTLS() {
	env.t.Helper()
	authority := pki.NewAuthority("clients'")
	pair := authority.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	dir := env.t.TempDir()
	sources := certificates.Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	for path, text := range map[string][]byte{sources.Cert: pki.PEM(pair.Cert), sources.Key: pair.KeyPEM()} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			env.t.Fatal(err)
		}
	}
	store, err := certificates.Open(sources, time.Now())
	if err != nil {
		env.t.Fatal(err)
	}
	env.config.TLS = &node.TLS{
		Clients: &node.TLSListener{Certificates: store}, Stores: []*certificates.Store{store}, CheckInterval: time.Second,
	}
	pool := x509.NewCertPool()
	pool.AddCert(authority.Cert)
	env.clientTLS = &tls.Config{RootCAs: pool}
}

// shutdown terminates the node as SIGTERM does, and waits for its exit. It does nothing if the node has already
// exited.
func (env *harness) shutdown() {
	if env.stopped {
		return
	}
	env.terminate()
	env.awaitExit()
}

// awaitExit waits until a terminated node exits, and checks that the node exits without an error.
func (env *harness) awaitExit() {
	env.t.Helper()
	env.stopped = true
	if err := testkit.Receive(env.t, "the node's exit", env.exited); err != nil {
		env.t.Error(err)
	}
}

// isReady sends a readiness check, as a load balancer does, and reports whether the node is ready.
func (env *harness) isReady() bool {
	client, scheme := oneShotClient, "http://"
	if env.clientTLS != nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: env.clientTLS}}
		scheme = "https://"
	}
	resp, err := client.Get(scheme + env.addr + "/health/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reload sends a configuration to the node, and waits until the node has applied or rejected the configuration. The
// node receives a configuration only after it has handled the previous configuration, so reload sends next three
// times.
func (env *harness) reload(next node.Config) {
	env.reloads <- next
	env.reloads <- next
	env.reloads <- next // the channel buffers one value, so the node has handled the first by now
}

// serversReached returns the servers that received the complete request with the given ID, in order of receipt.
func (env *harness) serversReached(id string) (servers []string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, f := range env.forwarded {
		if f.id == id {
			servers = append(servers, f.server)
		}
	}
	return servers
}

// forwardedAfter returns the requests that server received after the time at.
func (env *harness) forwardedAfter(server string, at time.Time) (late []forwardedRequest) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, f := range env.forwarded {
		if f.server == server && f.at.After(at) {
			late = append(late, f)
		}
	}
	return late
}

// expectNotForwarded checks that no server received the request with the given ID.
func (env *harness) expectNotForwarded(id string) {
	env.t.Helper()
	if servers := env.serversReached(id); len(servers) > 0 {
		env.t.Errorf("request %s was forwarded to %v, want no server", id, servers)
	}
}

// status returns the status that the node's admin API reports, or the zero value after an error. Tests use the status
// only to wait for a state of the node. They check results by what clients and servers recorded.
func (env *harness) status() (status node.Status) {
	client, base := adminapi.NewClient(env.config.AdminAPI.Socket, "", nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get(base + "/status")
	if err != nil {
		return status
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&status) // after a decoding error the caller polls again
	return status
}

// awaitStatus waits until the node's status satisfies ok. what names the condition in the failure message.
func (env *harness) awaitStatus(what string, ok func(s node.Status) bool) {
	env.t.Helper()
	testkit.Await(env.t, what, func() bool {
		status := env.status()
		return status.Version > 0 && ok(status)
	})
}

// queuedRequests returns a condition for awaitStatus: exactly n requests are queued.
func queuedRequests(n int) func(node.Status) bool {
	return func(s node.Status) bool { return s.Requests.Queued == n }
}

// noOpenRequests is a condition for awaitStatus: no request is open and no attempt is in flight.
func noOpenRequests(s node.Status) bool {
	return s.Requests.Open == 0 && s.Requests.AttemptsInFlight == 0
}
