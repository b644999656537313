package node

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
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
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/secure"
)

// servedCert is a certificate that a server presents. It is valid while the node trusts one of its authorities.
type servedCert struct {
	authorities []*pki.Authority
	config      *tls.Config
	validUntil  time.Time // zero: no expiry during the test
}

// rotationHarness runs a node and servers whose certificates change under load. It records the outcomes of requests.
type rotationHarness struct {
	t            testing.TB
	dir          string
	servers      []*rotationServer
	oldCA, newCA *pki.Authority
	listenerCA   *pki.Authority // issuer of the certificates of the node's own listener
	addr         string
	adminSocket  string

	mu           sync.Mutex
	trustChanges []trustChange   // ordered by time
	executions   map[string]int  // number of executions by request ID
	violations   []string        // requests over untrusted connections, or answered wrongly
	served       int             // number of requests answered with 200
	idempotent   map[string]bool // IDs of requests that may be executed more than once
	notServed    map[string]int  // number of other responses and of errors, by text
}

// trustChange is a change of the authorities that the node trusts.
type trustChange struct {
	at          time.Time
	authorities []*pki.Authority
}

const (
	// trustChangeDelay is the maximum time for which requests may still arrive over connections that a change of trust
	// makes invalid. The node checks its files twice before it applies them, and requests may be in transit.
	trustChangeDelay = 400 * time.Millisecond
	// maxTransitTime is the maximum time in transit of a request that was sent before a certificate expired.
	maxTransitTime = 200 * time.Millisecond
	// rotationCheckInterval is the interval at which the node checks its files.
	rotationCheckInterval = 20 * time.Millisecond
)

func newRotationHarness(t testing.TB, servers int) *rotationHarness {
	harness := &rotationHarness{
		t:          t,
		dir:        t.TempDir(),
		oldCA:      pki.NewAuthority("old"),
		newCA:      pki.NewAuthority("new"),
		listenerCA: pki.NewAuthority("front"),
		executions: make(map[string]int),
		idempotent: make(map[string]bool),
		notServed:  make(map[string]int),
	}
	harness.adminSocket = harness.path("door.sock")
	for i := range servers {
		harness.servers = append(harness.servers, harness.startServer(fmt.Sprintf("s%02d", i)))
	}
	harness.setTrust(harness.oldCA)
	harness.renewListenerCert()
	return harness
}

// newLeaf returns a new certificate of issuer, with new session ticket keys.
func (h *rotationHarness) newLeaf(issuer *pki.Authority, chain ...*x509.Certificate) servedCert {
	leaf := issuer.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	return h.newServedCert([]*pki.Authority{issuer}, leaf.TLS(chain...))
}

func (h *rotationHarness) newServedCert(authorities []*pki.Authority, cert tls.Certificate) servedCert {
	h.t.Helper()
	// If all certificates shared ticket keys, a session would be resumed whatever certificate is served now.
	var ticketKey [32]byte
	if _, err := rand.Read(ticketKey[:]); err != nil {
		h.t.Fatal(err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}}
	config.SetSessionTicketKeys([][32]byte{ticketKey})
	return servedCert{authorities: authorities, config: config}
}

// replaceFiles replaces the files one after the other, each atomically.
func (h *rotationHarness) replaceFiles(files map[string][]byte) {
	h.t.Helper()
	for name, text := range files {
		temporary := h.path(".new")
		if err := os.WriteFile(temporary, text, 0o600); err != nil {
			h.t.Fatal(err)
		}
		if err := os.Rename(temporary, h.path(name)); err != nil {
			h.t.Fatal(err)
		}
	}
}

// setTrust makes the node trust exactly the given authorities from now on.
func (h *rotationHarness) setTrust(authorities ...*pki.Authority) {
	h.t.Helper()
	var certs []*x509.Certificate
	for _, authority := range authorities {
		certs = append(certs, authority.Cert)
	}
	h.replaceFiles(map[string][]byte{"ca.pem": pki.PEM(certs...)})
	h.mu.Lock()
	h.trustChanges = append(h.trustChanges, trustChange{time.Now(), authorities})
	h.mu.Unlock()
}

// renewListenerCert gives the node's own listener a new certificate.
func (h *rotationHarness) renewListenerCert() {
	h.t.Helper()
	pair := h.listenerCA.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	h.replaceFiles(map[string][]byte{"cert.pem": pki.PEM(pair.Cert), "key.pem": pair.KeyPEM()})
}

func (h *rotationHarness) path(name string) string { return filepath.Join(h.dir, name) }

// start runs a node that checks its files at short intervals, until the end of the test.
func (h *rotationHarness) start() {
	h.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.addr = listener.Addr().String()
	config := h.config()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, config, listener, nil, slog.New(slog.DiscardHandler)) }()
	h.t.Cleanup(func() {
		cancel()
		if err := testkit.Receive(h.t, "the node's end", ended); err != nil {
			h.t.Error(err)
		}
	})
	client := h.client()
	defer client.CloseIdleConnections()
	testkit.Await(h.t, "the node to be ready", func() bool {
		resp, err := client.Get("https://" + h.addr + readyPath)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (h *rotationHarness) config() Config {
	h.t.Helper()
	open := func(from certificates.Sources) *certificates.Store {
		store, err := certificates.Open(from, time.Now())
		if err != nil {
			h.t.Fatal(err)
		}
		return store
	}
	trust := open(certificates.Sources{Trust: h.path("ca.pem")})
	own := open(certificates.Sources{Cert: h.path("cert.pem"), Key: h.path("key.pem")})
	list := registry.List{Revision: 1, Full: true}
	for _, server := range h.servers {
		list.Endpoints = append(list.Endpoints, router.Endpoint{
			ID: server.id, Addr: server.addr, Zone: "a", Kind: "k", Weight: 1,
		})
	}
	announceFor, drainTimeout := time.Millisecond, time.Second
	return Config{
		Name:           "n",
		Discovery:      "127.0.0.1:9",
		Seed:           1,
		MaxDescriptors: 1024,
		MemoryMB:       192,
		Cores:          1,
		InitialList:    list,
		Settings:       rotationSettings(),
		ConnectTimeout: time.Second,
		AnnounceFor:    &announceFor,
		DrainTimeout:   &drainTimeout,
		AdminAPI:       adminapi.Config{Socket: h.adminSocket},
		TLS: &TLS{
			ServerRules:   []secure.Rule{{Trust: trust}},
			Clients:       &TLSListener{Certificates: own},
			Stores:        []*certificates.Store{trust, own},
			CheckInterval: rotationCheckInterval,
		},
	}
}

// rotationSettings returns settings with long deadlines, for slow machines. After its latency objective a request is
// rejected instead of attempted, so a late handshake failure would leave the request unserved. A request that finds
// its server untrusted is retried at another server. The limit on attempts allows for many such servers.
func rotationSettings() policy.Settings {
	settings := drainSettings()
	for i := range settings.Classes {
		settings.Classes[i].Deadline, settings.Classes[i].LatencyObjective = 8*time.Second, 4*time.Second
	}
	settings.Capabilities.MaxAttempts = 100
	settings.Rules.RetryBudget = &policy.RetryBudget{MinRetries: 1e6, Window: time.Second}
	return settings
}

func (h *rotationHarness) client() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(h.listenerCA.Cert)
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		TLSClientConfig:     &tls.Config{RootCAs: pool, ClientSessionCache: tls.NewLRUClientSessionCache(8)},
	}}
}

// load starts clients that send requests until ctx ends. The clients close their connections after every tenth
// request.
func (h *rotationHarness) load(ctx context.Context, clients int) *sync.WaitGroup {
	var all sync.WaitGroup
	client := h.client()
	for i := range clients {
		all.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				h.request(client, fmt.Sprintf("c%d-%d", i, k), k%10 == 0, drainSettings().Classes[k%3])
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	h.t.Cleanup(client.CloseIdleConnections)
	return &all
}

// request sends a request and records the outcome.
func (h *rotationHarness) request(client *http.Client, id string, closeConn bool, class policy.Class) {
	answer, err := h.send(client, id, closeConn, class)
	if err != nil {
		answer = err.Error()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer != "" {
		h.notServed[class.Name+": "+answer]++
		return
	}
	h.served++
	h.idempotent[id] = class.Idempotency == policy.Idempotent
	if n := h.executions[id]; n == 0 || n > 1 && !h.idempotent[id] {
		h.violations = append(h.violations, fmt.Sprintf("%s was served and executed %d times", id, n))
	}
}

// send sends a request. If the status is not 200, it returns the response as text.
func (h *rotationHarness) send(
	client *http.Client, id string, closeConn bool, class policy.Class,
) (answer string, err error) {
	req, err := http.NewRequest(router.Method(class), "https://"+h.addr+"/api", nil)
	if err != nil {
		h.t.Error(err)
		return "", err
	}
	req.Close = closeConn
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Class", class.Name)
	req.Header.Set("X-Tenant", "t")
	req.Header.Set("X-Deadline-Ms", "7000")
	if class.Idempotency == policy.IdempotencyKeyed {
		req.Header.Set("Idempotency-Key", id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body) // only for the failure message
	if resp.StatusCode == http.StatusOK {
		return "", nil
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body)), nil
}

// checkResults reports requests that were executed twice, sent over untrusted connections, or not served.
func (h *rotationHarness) checkResults() {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, n := range h.executions {
		if n > 1 && !h.idempotent[id] {
			h.t.Errorf("%s was executed %d times", id, n)
		}
	}
	if len(h.violations) > 0 {
		h.t.Errorf("%d requests over connections that were no longer trusted, or answered wrongly: %v",
			len(h.violations), h.violations[:min(len(h.violations), 8)])
	}
	if len(h.notServed) > 0 {
		h.t.Errorf("not served: %v", h.notServed)
	}
	h.t.Logf("%d requests served, each once", h.served)
}

// tlsStatus returns the TLS status from the admin API.
func (h *rotationHarness) tlsStatus() TLSStatus {
	h.t.Helper()
	client, base := adminapi.NewClient(h.adminSocket, "", nil)
	defer client.CloseIdleConnections()
	resp, err := client.Get(base + "/tls")
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var status TLSStatus
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		h.t.Fatal(err)
	}
	return status
}

// untrustedReason returns why the node does not trust a server, or an empty string for a trusted server.
func (h *rotationHarness) untrustedReason(id string) string {
	h.t.Helper()
	for _, server := range h.tlsStatus().Servers.Servers {
		if server.Server == id {
			return server.UntrustedReason
		}
	}
	return ""
}
