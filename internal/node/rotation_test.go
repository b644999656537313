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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// servedCert is what a server shows: it holds where one of these authorities is trusted.
type servedCert struct {
	authorities []*pki.Authority
	config      *tls.Config
	validUntil  time.Time // it holds; zero: for long
}

// rotationHarness is a node and servers whose certificates change under load, with all that was seen of it.
type rotationHarness struct {
	t            testing.TB
	dir          string
	servers      []*rotationServer
	oldCA, newCA *pki.Authority
	listenerCA   *pki.Authority // of the node's own listener
	addr         string
	adminSocket  string

	mu           sync.Mutex
	trustChanges []trustChange // in the order of their coming
	executions   map[string]int
	violations   []string // requests that came over a connection that was trusted no more
	served       int
	idempotent   map[string]bool // requests that may run more than once
	notServed    map[string]int  // answers that are none
}

type trustChange struct {
	at          time.Time
	authorities []*pki.Authority
}

type rotationServer struct {
	harness       *rotationHarness
	id            string
	addr          string
	current       atomic.Pointer[servedCert]
	certByConn    sync.Map     // net.Conn to *shown
	lastRequestAt atomic.Int64 // when a request came, Unix nanoseconds
	requests      atomic.Int64 // requests
}

// trustChangeDelay is how long the node may take to go by new files: they are looked at twice, and what was on its way arrives.
const trustChangeDelay = 400 * time.Millisecond

// maxTransitTime is how long a request may be under way that left in time.
const maxTransitTime = 200 * time.Millisecond

func newRotationHarness(t testing.TB, n int) *rotationHarness {
	w := &rotationHarness{t: t, dir: t.TempDir(), oldCA: pki.Year("old"), newCA: pki.Year("new"), listenerCA: pki.Year("front"), executions: make(map[string]int), idempotent: make(map[string]bool), notServed: make(map[string]int)}
	w.adminSocket = filepath.Join(w.dir, "door.sock")
	for i := range n {
		s := &rotationServer{harness: w, id: fmt.Sprintf("s%02d", i)}
		s.present(w.newLeaf(w.oldCA))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.addr = ln.Addr().String()
		conf := &tls.Config{GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.current.Load()
			s.certByConn.Store(h.Conn, now)
			return now.config, nil
		}}
		server := &http.Server{
			Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, rotationConnKey{}, c.(*tls.Conn).NetConn())
			},
			ConnState: func(c net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					s.certByConn.Delete(c.(*tls.Conn).NetConn())
				}
			},
		}
		go func() { _ = server.Serve(tls.NewListener(ln, conf)) }()
		t.Cleanup(func() { server.Close() })
		w.servers = append(w.servers, s)
	}
	w.setTrust(w.oldCA)
	w.renewListenerCert()
	return w
}

type rotationConnKey struct{}

func (s *rotationServer) present(x servedCert) { s.current.Store(&x) }

// newLeaf is a new certificate of an authority, with keys of tickets that are new, too.
func (w *rotationHarness) newLeaf(by *pki.Authority, chain ...*x509.Certificate) servedCert {
	return w.newServedCert([]*pki.Authority{by}, by.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS(chain...))
}

func (w *rotationHarness) newServedCert(under []*pki.Authority, c tls.Certificate) servedCert {
	conf := &tls.Config{Certificates: []tls.Certificate{c}}
	var key [32]byte // else those of the listener hold, and a session would be taken up again whatever the server shows now
	_, _ = rand.Read(key[:])
	conf.SetSessionTicketKeys([][32]byte{key})
	return servedCert{authorities: under, config: conf}
}

// ServeHTTP runs a request, and notes over what it came.
func (s *rotationServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.lastRequestAt.Store(now.UnixNano())
	if s.requests.Add(1)%10 == 0 { // connections come and go
		rw.Header().Set("Connection", "close")
	}
	x, _ := s.certByConn.Load(r.Context().Value(rotationConnKey{}))
	id := r.Header.Get("X-Request-Id")
	w := s.harness
	w.mu.Lock()
	defer w.mu.Unlock()
	if key := r.Header.Get("Idempotency-Key"); key == "" || w.executions[id] == 0 { // servers drop the repeats of a key
		w.executions[id]++
	}
	if end := x.(*servedCert).validUntil; !end.IsZero() && now.Sub(end) > maxTransitTime {
		w.violations = append(w.violations, fmt.Sprintf("%s at %s, %v after the end of its certificate", id, s.id, now.Sub(end)))
		return
	}
	for i := len(w.trustChanges) - 1; i >= 0; i-- {
		for _, a := range w.trustChanges[i].authorities {
			if slices.Contains(x.(*servedCert).authorities, a) {
				return
			}
		}
		if now.Sub(w.trustChanges[i].at) > trustChangeDelay { // those before it are over
			break
		}
	}
	w.violations = append(w.violations, fmt.Sprintf("%s at %s, %v after change %d of trust", id, s.id, now.Sub(w.trustChanges[len(w.trustChanges)-1].at).Round(time.Millisecond), len(w.trustChanges)))
}

// replaceFiles replaces files, each whole; those of one rotation one after the other.
func (w *rotationHarness) replaceFiles(files map[string][]byte) {
	w.t.Helper()
	for name, text := range files {
		tmp := filepath.Join(w.dir, ".new")
		if err := os.WriteFile(tmp, text, 0o600); err != nil {
			w.t.Fatal(err)
		}
		if err := os.Rename(tmp, filepath.Join(w.dir, name)); err != nil {
			w.t.Fatal(err)
		}
	}
}

// setTrust has the node trust these authorities from now on.
func (w *rotationHarness) setTrust(all ...*pki.Authority) {
	var certs []*x509.Certificate
	for _, a := range all {
		certs = append(certs, a.Cert)
	}
	w.replaceFiles(map[string][]byte{"ca.pem": pki.PEM(certs...)})
	w.mu.Lock()
	w.trustChanges = append(w.trustChanges, trustChange{time.Now(), all})
	w.mu.Unlock()
}

// renewListenerCert gives the node's own listener a new certificate.
func (w *rotationHarness) renewListenerCert() {
	p := w.listenerCA.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	w.replaceFiles(map[string][]byte{"cert.pem": pki.PEM(p.Cert), "key.pem": p.KeyPEM()})
}

func (w *rotationHarness) path(name string) string { return filepath.Join(w.dir, name) }

// start runs a node that looks at its files all the time.
func (w *rotationHarness) start() {
	w.t.Helper()
	open := func(from certificates.Sources) *certificates.Store {
		s, err := certificates.Open(from, time.Now())
		if err != nil {
			w.t.Fatal(err)
		}
		return s
	}
	trust, own := open(certificates.Sources{Trust: w.path("ca.pem")}), open(certificates.Sources{Cert: w.path("cert.pem"), Key: w.path("key.pem")})
	known := registry.List{Revision: 1, Full: true}
	for _, s := range w.servers {
		known.Endpoints = append(known.Endpoints, router.Endpoint{ID: s.id, Addr: s.addr, Zone: "a", Kind: "k", Weight: 1})
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.addr = ln.Addr().String()
	set := drainSettings()
	for i := range set.Classes {
		// Of a slow machine. What is not worth an attempt any more once its aim is over is refused, rightly: a handshake
		// that is refused late on a busy machine would be told as a request that nobody served.
		set.Classes[i].Deadline, set.Classes[i].LatencyObjective = 8*time.Second, 4*time.Second
	}
	// Requests that find a server refused go elsewhere, as often as there are servers that are.
	set.Capabilities.MaxAttempts, set.Rules.RetryBudget = 100, &policy.RetryBudget{MinRetries: 1e6, Window: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	leave, whole := time.Millisecond, time.Second
	go func() {
		ended <- Run(ctx, Config{
			Name: "n", Discovery: "127.0.0.1:9", Seed: 1, MaxDescriptors: 1024, MemoryMB: 192, Cores: 1, InitialList: known, Settings: set, ConnectTimeout: time.Second,
			AnnounceFor: &leave, DrainTimeout: &whole, AdminAPI: adminapi.Config{Socket: w.adminSocket},
			TLS: &TLS{ServerRules: []secure.Rule{{Trust: trust}}, Clients: &TLSListener{Certificates: own}, Stores: []*certificates.Store{trust, own}, CheckInterval: 20 * time.Millisecond},
		},
			ln, nil, slog.New(slog.DiscardHandler))
	}()
	w.t.Cleanup(func() {
		cancel()
		if err := testkit.Receive(w.t, "the node's end", ended); err != nil {
			w.t.Error(err)
		}
	})
	client := w.client()
	defer client.CloseIdleConnections()
	testkit.Await(w.t, "the node", func() bool {
		resp, err := client.Get("https://" + w.addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (w *rotationHarness) client() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(w.listenerCA.Cert)
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, TLSClientConfig: &tls.Config{RootCAs: pool, ClientSessionCache: tls.NewLRUClientSessionCache(8)}}}
}

// load sends requests until ctx ends; one connection in ten is not kept.
func (w *rotationHarness) load(ctx context.Context, n int) *sync.WaitGroup {
	var all sync.WaitGroup
	client := w.client()
	for i := range n {
		all.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				w.request(client, fmt.Sprintf("c%d-%d", i, k), k%10 == 0, drainSettings().Classes[k%3])
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	w.t.Cleanup(client.CloseIdleConnections)
	return &all
}

func (w *rotationHarness) request(client *http.Client, id string, ends bool, class policy.Class) {
	req, err := http.NewRequest(router.Method(class), "https://"+w.addr+"/api", nil)
	if err != nil {
		w.t.Error(err)
		return
	}
	req.Close = ends
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class.Name, "X-Tenant": "t", "X-Deadline-Ms": "7000"} {
		req.Header.Set(k, v)
	}
	if class.Idempotency == policy.IdempotencyKeyed {
		req.Header.Set("Idempotency-Key", id)
	}
	answer := ""
	if resp, err := client.Do(req); err != nil {
		answer = err.Error()
	} else {
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			answer = fmt.Sprint(resp.StatusCode, " ", string(body))
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer == "" {
		w.served++
		w.idempotent[id] = class.Idempotency == policy.Idempotent // of which a copy may be sent
		if n := w.executions[id]; n == 0 || n > 1 && !w.idempotent[id] {
			w.violations = append(w.violations, fmt.Sprintf("%s was served and ran %d times", id, w.executions[id]))
		}
	} else {
		w.notServed[class.Name+": "+answer]++
	}
}

// checkResults tells what was seen.
func (w *rotationHarness) checkResults() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.executions {
		if n > 1 && !w.idempotent[id] {
			w.t.Errorf("%s ran %d times", id, n)
		}
	}
	if len(w.violations) > 0 {
		w.t.Errorf("%d requests over what was trusted no more, or not as answered: %v", len(w.violations), w.violations[:min(len(w.violations), 8)])
	}
	if len(w.notServed) > 0 {
		w.t.Errorf("not served: %v", w.notServed)
	}
	w.t.Logf("%d requests served, each once", w.served)
}

// tlsStatus asks the door.
func (w *rotationHarness) tlsStatus() (st TLSStatus) {
	w.t.Helper()
	c, base := adminapi.NewClient(w.adminSocket, "", nil)
	defer c.CloseIdleConnections()
	resp, err := c.Get(base + "/tls")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		w.t.Fatal(err)
	}
	return st
}

// invalidCerts are certificates with which no server can prove who it is.
func (w *rotationHarness) invalidCerts() map[string]servedCert {
	by, name := w.oldCA, []string{"127.0.0.1"}
	middle := by.Under("middle")
	return map[string]servedCert{
		"another name":            w.newServedCert(nil, by.Issue(pki.Leaf{Names: []string{"other.example"}}).TLS()),
		"expired":                 w.newServedCert(nil, by.Issue(pki.Leaf{Names: name, To: time.Now().Add(-time.Second)}).TLS()),
		"not yet valid":           w.newServedCert(nil, by.Issue(pki.Leaf{Names: name, From: time.Now().Add(time.Hour)}).TLS()),
		"unknown authority":       w.newServedCert(nil, pki.Year("a stranger").Issue(pki.Leaf{Names: name}).TLS()),
		"unknown authority (gap)": w.newServedCert(nil, middle.Issue(pki.Leaf{Names: name}).TLS()), // its chain lacks the middle
		"sends too much":          w.newServedCert(nil, by.Issue(pki.Leaf{Names: name, Padding: 100 << 10}).TLS()),
	}
}

// Certificates and authorities change under load, in every order: nothing is lost, nothing runs twice, and nothing
// goes to a server by what it could not be trusted for. WAYHOLD_ROTATE says for how long, at a change a
// second and over 72 servers.
func TestRotationsUnderLoad(t *testing.T) {
	step, whole, servers := 250*time.Millisecond, time.Duration(0), 12
	if v := os.Getenv("WAYHOLD_ROTATE"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			t.Fatal(err)
		}
		step, whole, servers = time.Second, d, 72
	}
	w := newRotationHarness(t, servers)
	w.start()
	ctx, stop := context.WithCancel(context.Background())
	all := w.load(ctx, 12)
	half := len(w.servers) / 2
	to := func(servers []*rotationServer, by *pki.Authority, chain ...*x509.Certificate) {
		for _, s := range servers {
			s.present(w.newLeaf(by, chain...))
		}
	}
	turns := 0
	turn := func(do func()) {
		do()
		w.renewListenerCert()
		turns++
		time.Sleep(step)
	}
	swap := func() { w.oldCA, w.newCA = w.newCA, w.oldCA }
	for began := time.Now(); ; {
		turn(func() { to(w.servers, w.oldCA) }) // leaves alone
		// Both trusted, the servers one half after the other.
		turn(func() { w.setTrust(w.oldCA, w.newCA) })
		turn(func() { to(w.servers[:half], w.newCA) })
		turn(func() { to(w.servers[half:], w.newCA) })
		turn(func() { w.setTrust(w.newCA) })
		swap()
		// The new one first at the servers: half of them are refused until it is trusted.
		turn(func() { to(w.servers[:half], w.newCA) })
		testkit.Await(t, "a server that is refused", func() bool { return w.tlsStatus().Servers.Failures["unknown authority"] > 0 })
		turn(func() { w.setTrust(w.oldCA, w.newCA) })
		turn(func() { to(w.servers[half:], w.newCA) })
		turn(func() { w.setTrust(w.newCA) })
		swap()
		// The old one withdrawn first: half of the servers still show it.
		turn(func() { w.setTrust(w.oldCA, w.newCA); to(w.servers[:half], w.newCA) })
		turn(func() { w.setTrust(w.newCA) })
		turn(func() { to(w.servers[half:], w.newCA) })
		swap()
		// The old one signs for the new: both ways of trust hold.
		cross := w.oldCA.Cross(w.newCA)
		turn(func() {
			for _, s := range w.servers {
				x := w.newLeaf(w.newCA, cross)
				x.authorities = append(x.authorities, w.oldCA)
				s.present(x)
			}
		})
		turn(func() { w.setTrust(w.newCA) })
		swap()
		if time.Since(began) >= whole {
			break
		}
	}
	stop()
	all.Wait()
	st := w.tlsStatus()
	t.Logf("%d changes; handshakes with servers: %d full, %d resumed, failures %v; with clients: %d full, %d resumed, failures %v",
		turns, st.Servers.Full.Count, st.Servers.Resumed.Count, st.Servers.Failures, st.Clients.Full.Count, st.Clients.Resumed.Count, st.Clients.Failures)
	if st.RejectedFile != "" || st.Servers.Failures["unknown authority"] == 0 {
		t.Errorf("files refused: %q, failures %v: want none, and some servers refused on the way", st.RejectedFile, st.Servers.Failures)
	}
	w.checkResults()
}

// Certificates end while connections are open. Who replaced them in time notices nothing; the others get nothing more from
// that second on, over connections that are open either.
func TestRotation_CertificatesExpire(t *testing.T) {
	w := newRotationHarness(t, 6)
	end := time.Now().Add(2500 * time.Millisecond).Truncate(time.Second).Add(time.Second)
	for _, s := range w.servers {
		x := w.newServedCert([]*pki.Authority{w.oldCA}, w.oldCA.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, To: end}).TLS())
		x.validUntil = end.Add(time.Second) // X.509 counts whole seconds
		s.present(x)
	}
	w.start()
	ctx, stop := context.WithCancel(context.Background())
	all := w.load(ctx, 8)
	time.Sleep(time.Until(end.Add(-time.Second)))
	for _, s := range w.servers[:3] { // in time
		s.present(w.newLeaf(w.oldCA))
	}
	late := w.servers[3]
	testkit.Await(t, "the refusal of who is late", func() bool {
		for _, p := range w.tlsStatus().Servers.Servers {
			if p.Server == late.id && p.UntrustedReason == "expired" {
				return true
			}
		}
		return time.Since(end) > 3*time.Second && late.requests.Load() == 0 // it was never needed
	})
	time.Sleep(500 * time.Millisecond)
	stop()
	all.Wait()
	w.checkResults()
}

// A certificate that is wrong on one server only has that server refused, and no other; it is back within seconds of
// the day that it is mended, and nobody is looked at in a storm.
func TestRotation_InvalidCertificateOnOneServer(t *testing.T) {
	w := newRotationHarness(t, 4)
	w.start()
	ctx, stop := context.WithCancel(context.Background())
	all := w.load(ctx, 8)
	bad := w.servers[0] // the first that is packed
	var back time.Duration
	for why, x := range w.invalidCerts() {
		bad.present(x)
		want, _, _ := strings.Cut(why, " (")
		refused := func() string {
			for _, p := range w.tlsStatus().Servers.Servers {
				if p.Server == bad.id {
					return p.UntrustedReason
				}
			}
			return ""
		}
		// Connections that were made before go on: what they showed holds. New ones are made as they end.
		testkit.Await(t, why, func() bool { return refused() == want })
		time.Sleep(200 * time.Millisecond) // handshakes that were on their way
		before := w.tlsStatus().Servers.Failures[want]
		time.Sleep(300 * time.Millisecond)
		if after := w.tlsStatus().Servers.Failures[want]; after > before+2 {
			t.Errorf("%s: %d handshakes within 300 ms", why, after-before)
		}
		bad.present(w.newLeaf(w.oldCA))
		mended := time.Now()
		testkit.Await(t, "the server's return", func() bool { return bad.lastRequestAt.Load() > mended.UnixNano() })
		back = max(back, time.Since(mended))
	}
	stop()
	all.Wait()
	t.Logf("back after %v at most", back.Round(time.Millisecond))
	if back > 8*time.Second {
		t.Error("that is no matter of seconds")
	}
	w.checkResults()
}

// Clients that begin a handshake and say no more hold up nobody: they are no work.
func TestHandshakes_StalledOnesDelayNoRequest(t *testing.T) {
	w := newRotationHarness(t, 1)
	w.start()
	var stalled []net.Conn
	for range 12 {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("\x16\x03\x01\x02\x00\x01")); err != nil { // of a hello of 512 bytes
			t.Fatal(err)
		}
		stalled = append(stalled, c)
	}
	testkit.Await(t, "the handshakes", func() bool { return w.tlsStatus().Clients.Going >= int64(len(stalled)) })
	w.request(w.client(), "c0", true, drainSettings().Classes[0])
	if st := w.tlsStatus(); st.Clients.Going < int64(len(stalled)) {
		t.Errorf("%d of %d stalled handshakes go on: it was served only once they had ended", st.Clients.Going, len(stalled))
	}
	w.checkResults()
}
