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

// shown is what a server shows: it holds where one of these authorities is trusted.
type shown struct {
	under []*pki.Authority
	conf  *tls.Config
	until time.Time // it holds; zero: for long
}

// rotated is a node and servers whose certificates change under load, with all that was seen of it.
type rotated struct {
	t         testing.TB
	dir       string
	servers   []*rotatedServer
	old, next *pki.Authority
	front     *pki.Authority // of the node's own listener
	addr      string
	sock      string

	mu     sync.Mutex
	trust  []trusted // in the order of their coming
	ran    map[string]int
	wrong  []string // requests that came over a connection that was trusted no more
	served int
	free   map[string]bool // requests that may run more than once
	others map[string]int  // answers that are none
}

type trusted struct {
	at  time.Time
	all []*pki.Authority
}

type rotatedServer struct {
	w    *rotated
	id   string
	addr string
	now  atomic.Pointer[shown]
	by   sync.Map     // net.Conn to *shown
	last atomic.Int64 // when a request came, Unix nanoseconds
	came atomic.Int64 // requests
}

// obeyed is how long the node may take to go by new files: they are looked at twice, and what was on its way arrives.
const obeyed = 400 * time.Millisecond

// onItsWay is how long a request may be under way that left in time.
const onItsWay = 200 * time.Millisecond

func newRotated(t testing.TB, n int) *rotated {
	w := &rotated{t: t, dir: t.TempDir(), old: pki.Year("old"), next: pki.Year("new"), front: pki.Year("front"), ran: make(map[string]int), free: make(map[string]bool), others: make(map[string]int)}
	w.sock = filepath.Join(w.dir, "door.sock")
	for i := range n {
		s := &rotatedServer{w: w, id: fmt.Sprintf("s%02d", i)}
		s.show(w.leaf(w.old))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s.addr = ln.Addr().String()
		conf := &tls.Config{GetConfigForClient: func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			now := s.now.Load()
			s.by.Store(h.Conn, now)
			return now.conf, nil
		}}
		server := &http.Server{
			Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, rotatedKey{}, c.(*tls.Conn).NetConn())
			},
			ConnState: func(c net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					s.by.Delete(c.(*tls.Conn).NetConn())
				}
			},
		}
		go func() { _ = server.Serve(tls.NewListener(ln, conf)) }()
		t.Cleanup(func() { server.Close() })
		w.servers = append(w.servers, s)
	}
	w.trusts(w.old)
	w.certify()
	return w
}

type rotatedKey struct{}

func (s *rotatedServer) show(x shown) { s.now.Store(&x) }

// leaf is a new certificate of an authority, with keys of tickets that are new, too.
func (w *rotated) leaf(by *pki.Authority, chain ...*x509.Certificate) shown {
	return w.show([]*pki.Authority{by}, by.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS(chain...))
}

func (w *rotated) show(under []*pki.Authority, c tls.Certificate) shown {
	conf := &tls.Config{Certificates: []tls.Certificate{c}}
	var key [32]byte // else those of the listener hold, and a session would be taken up again whatever the server shows now
	_, _ = rand.Read(key[:])
	conf.SetSessionTicketKeys([][32]byte{key})
	return shown{under: under, conf: conf}
}

// ServeHTTP runs a request, and notes over what it came.
func (s *rotatedServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.last.Store(now.UnixNano())
	if s.came.Add(1)%10 == 0 { // connections come and go
		rw.Header().Set("Connection", "close")
	}
	x, _ := s.by.Load(r.Context().Value(rotatedKey{}))
	id := r.Header.Get("X-Request-Id")
	w := s.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if key := r.Header.Get("Idempotency-Key"); key == "" || w.ran[id] == 0 { // servers drop the repeats of a key
		w.ran[id]++
	}
	if end := x.(*shown).until; !end.IsZero() && now.Sub(end) > onItsWay {
		w.wrong = append(w.wrong, fmt.Sprintf("%s at %s, %v after the end of its certificate", id, s.id, now.Sub(end)))
		return
	}
	for i := len(w.trust) - 1; i >= 0; i-- {
		for _, a := range w.trust[i].all {
			if slices.Contains(x.(*shown).under, a) {
				return
			}
		}
		if now.Sub(w.trust[i].at) > obeyed { // those before it are over
			break
		}
	}
	w.wrong = append(w.wrong, fmt.Sprintf("%s at %s, %v after change %d of trust", id, s.id, now.Sub(w.trust[len(w.trust)-1].at).Round(time.Millisecond), len(w.trust)))
}

// put replaces files, each whole; those of one rotation one after the other.
func (w *rotated) put(files map[string][]byte) {
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

// trusts has the node trust these authorities from now on.
func (w *rotated) trusts(all ...*pki.Authority) {
	var certs []*x509.Certificate
	for _, a := range all {
		certs = append(certs, a.Cert)
	}
	w.put(map[string][]byte{"ca.pem": pki.PEM(certs...)})
	w.mu.Lock()
	w.trust = append(w.trust, trusted{time.Now(), all})
	w.mu.Unlock()
}

// certify gives the node's own listener a new certificate.
func (w *rotated) certify() {
	p := w.front.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	w.put(map[string][]byte{"cert.pem": pki.PEM(p.Cert), "key.pem": p.KeyPEM()})
}

func (w *rotated) file(name string) string { return filepath.Join(w.dir, name) }

// start runs a node that looks at its files all the time.
func (w *rotated) start() {
	w.t.Helper()
	open := func(from certificates.Sources) *certificates.Store {
		s, err := certificates.Open(from, time.Now())
		if err != nil {
			w.t.Fatal(err)
		}
		return s
	}
	trust, own := open(certificates.Sources{Trust: w.file("ca.pem")}), open(certificates.Sources{Cert: w.file("cert.pem"), Key: w.file("key.pem")})
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
			AnnounceFor: &leave, DrainTimeout: &whole, AdminAPI: adminapi.Config{Socket: w.sock},
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

func (w *rotated) client() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(w.front.Cert)
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, TLSClientConfig: &tls.Config{RootCAs: pool, ClientSessionCache: tls.NewLRUClientSessionCache(8)}}}
}

// load sends requests until ctx ends; one connection in ten is not kept.
func (w *rotated) load(ctx context.Context, n int) *sync.WaitGroup {
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

func (w *rotated) request(client *http.Client, id string, ends bool, class policy.Class) {
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
		w.free[id] = class.Idempotency == policy.Idempotent // of which a copy may be sent
		if n := w.ran[id]; n == 0 || n > 1 && !w.free[id] {
			w.wrong = append(w.wrong, fmt.Sprintf("%s was served and ran %d times", id, w.ran[id]))
		}
	} else {
		w.others[class.Name+": "+answer]++
	}
}

// judge tells what was seen.
func (w *rotated) judge() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.ran {
		if n > 1 && !w.free[id] {
			w.t.Errorf("%s ran %d times", id, n)
		}
	}
	if len(w.wrong) > 0 {
		w.t.Errorf("%d requests over what was trusted no more, or not as answered: %v", len(w.wrong), w.wrong[:min(len(w.wrong), 8)])
	}
	if len(w.others) > 0 {
		w.t.Errorf("not served: %v", w.others)
	}
	w.t.Logf("%d requests served, each once", w.served)
}

// status asks the door.
func (w *rotated) status() (st TLSStatus) {
	w.t.Helper()
	c, base := adminapi.NewClient(w.sock, "", nil)
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

// wrongs are certificates with which no server can prove who it is.
func (w *rotated) wrongs() map[string]shown {
	by, name := w.old, []string{"127.0.0.1"}
	middle := by.Under("middle")
	return map[string]shown{
		"another name":            w.show(nil, by.Issue(pki.Leaf{Names: []string{"other.example"}}).TLS()),
		"expired":                 w.show(nil, by.Issue(pki.Leaf{Names: name, To: time.Now().Add(-time.Second)}).TLS()),
		"not yet valid":           w.show(nil, by.Issue(pki.Leaf{Names: name, From: time.Now().Add(time.Hour)}).TLS()),
		"unknown authority":       w.show(nil, pki.Year("a stranger").Issue(pki.Leaf{Names: name}).TLS()),
		"unknown authority (gap)": w.show(nil, middle.Issue(pki.Leaf{Names: name}).TLS()), // its chain lacks the middle
		"sends too much":          w.show(nil, by.Issue(pki.Leaf{Names: name, Padding: 100 << 10}).TLS()),
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
	w := newRotated(t, servers)
	w.start()
	ctx, stop := context.WithCancel(context.Background())
	all := w.load(ctx, 12)
	half := len(w.servers) / 2
	to := func(servers []*rotatedServer, by *pki.Authority, chain ...*x509.Certificate) {
		for _, s := range servers {
			s.show(w.leaf(by, chain...))
		}
	}
	turns := 0
	turn := func(do func()) {
		do()
		w.certify()
		turns++
		time.Sleep(step)
	}
	swap := func() { w.old, w.next = w.next, w.old }
	for began := time.Now(); ; {
		turn(func() { to(w.servers, w.old) }) // leaves alone
		// Both trusted, the servers one half after the other.
		turn(func() { w.trusts(w.old, w.next) })
		turn(func() { to(w.servers[:half], w.next) })
		turn(func() { to(w.servers[half:], w.next) })
		turn(func() { w.trusts(w.next) })
		swap()
		// The new one first at the servers: half of them are refused until it is trusted.
		turn(func() { to(w.servers[:half], w.next) })
		testkit.Await(t, "a server that is refused", func() bool { return w.status().Servers.Failures["unknown authority"] > 0 })
		turn(func() { w.trusts(w.old, w.next) })
		turn(func() { to(w.servers[half:], w.next) })
		turn(func() { w.trusts(w.next) })
		swap()
		// The old one withdrawn first: half of the servers still show it.
		turn(func() { w.trusts(w.old, w.next); to(w.servers[:half], w.next) })
		turn(func() { w.trusts(w.next) })
		turn(func() { to(w.servers[half:], w.next) })
		swap()
		// The old one signs for the new: both ways of trust hold.
		cross := w.old.Cross(w.next)
		turn(func() {
			for _, s := range w.servers {
				x := w.leaf(w.next, cross)
				x.under = append(x.under, w.old)
				s.show(x)
			}
		})
		turn(func() { w.trusts(w.next) })
		swap()
		if time.Since(began) >= whole {
			break
		}
	}
	stop()
	all.Wait()
	st := w.status()
	t.Logf("%d changes; handshakes with servers: %d full, %d resumed, failures %v; with clients: %d full, %d resumed, failures %v",
		turns, st.Servers.Full.Count, st.Servers.Resumed.Count, st.Servers.Failures, st.Clients.Full.Count, st.Clients.Resumed.Count, st.Clients.Failures)
	if st.RejectedFile != "" || st.Servers.Failures["unknown authority"] == 0 {
		t.Errorf("files refused: %q, failures %v: want none, and some servers refused on the way", st.RejectedFile, st.Servers.Failures)
	}
	w.judge()
}

// Certificates end while connections are open. Who replaced them in time notices nothing; the others get nothing more from
// that second on, over connections that are open either.
func TestCertificatesEnd(t *testing.T) {
	w := newRotated(t, 6)
	end := time.Now().Add(2500 * time.Millisecond).Truncate(time.Second).Add(time.Second)
	for _, s := range w.servers {
		x := w.show([]*pki.Authority{w.old}, w.old.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, To: end}).TLS())
		x.until = end.Add(time.Second) // X.509 counts whole seconds
		s.show(x)
	}
	w.start()
	ctx, stop := context.WithCancel(context.Background())
	all := w.load(ctx, 8)
	time.Sleep(time.Until(end.Add(-time.Second)))
	for _, s := range w.servers[:3] { // in time
		s.show(w.leaf(w.old))
	}
	late := w.servers[3]
	testkit.Await(t, "the refusal of who is late", func() bool {
		for _, p := range w.status().Servers.Peers {
			if p.Server == late.id && p.Why == "expired" {
				return true
			}
		}
		return time.Since(end) > 3*time.Second && late.came.Load() == 0 // it was never needed
	})
	time.Sleep(500 * time.Millisecond)
	stop()
	all.Wait()
	w.judge()
}

// A certificate that is wrong on one server only has that server refused, and no other; it is back within seconds of
// the day that it is mended, and nobody is looked at in a storm.
func TestWrongOnOneServer(t *testing.T) {
	w := newRotated(t, 4)
	w.start()
	ctx, stop := context.WithCancel(context.Background())
	all := w.load(ctx, 8)
	bad := w.servers[0] // the first that is packed
	var back time.Duration
	for why, x := range w.wrongs() {
		bad.show(x)
		want, _, _ := strings.Cut(why, " (")
		refused := func() string {
			for _, p := range w.status().Servers.Peers {
				if p.Server == bad.id {
					return p.Why
				}
			}
			return ""
		}
		// Connections that were made before go on: what they showed holds. New ones are made as they end.
		testkit.Await(t, why, func() bool { return refused() == want })
		time.Sleep(200 * time.Millisecond) // handshakes that were on their way
		before := w.status().Servers.Failures[want]
		time.Sleep(300 * time.Millisecond)
		if after := w.status().Servers.Failures[want]; after > before+2 {
			t.Errorf("%s: %d handshakes within 300 ms", why, after-before)
		}
		bad.show(w.leaf(w.old))
		mended := time.Now()
		testkit.Await(t, "the server's return", func() bool { return bad.last.Load() > mended.UnixNano() })
		back = max(back, time.Since(mended))
	}
	stop()
	all.Wait()
	t.Logf("back after %v at most", back.Round(time.Millisecond))
	if back > 8*time.Second {
		t.Error("that is no matter of seconds")
	}
	w.judge()
}

// Clients that begin a handshake and say no more hold up nobody: they are no work.
func TestStalledHandshakesHoldNobodyUp(t *testing.T) {
	w := newRotated(t, 1)
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
	testkit.Await(t, "the handshakes", func() bool { return w.status().Clients.Going >= int64(len(stalled)) })
	w.request(w.client(), "c0", true, drainSettings().Classes[0])
	if st := w.status(); st.Clients.Going < int64(len(stalled)) {
		t.Errorf("%d of %d stalled handshakes go on: it was served only once they had ended", st.Clients.Going, len(stalled))
	}
	w.judge()
}
