package secure

import (
	"crypto/tls"
	"errors"
	"io"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/router"

	"pgregory.net/rapid"
)

func pairFiles(t *testing.T) certificates.Sources {
	t.Helper()
	dir := t.TempDir()
	return certificates.Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
}

// writePair issues a certificate for this node, and writes the certificate and its key to the files of sources.
func writePair(t *testing.T, ca *pki.Authority, sources certificates.Sources) {
	t.Helper()
	pair := ca.Issue(pki.Leaf{Names: []string{"node"}})
	err := errors.Join(
		os.WriteFile(sources.Cert, pki.PEM(pair.Cert), 0o600),
		os.WriteFile(sources.Key, pair.KeyPEM(), 0o600),
	)
	if err != nil {
		t.Fatal(err)
	}
}

// TestHandshake_SessionResumption checks that a session is resumed only while the server process, the authorities and
// the certificate of this node stay the same. A handshake must also succeed if the server rejects the ticket.
func TestHandshake_SessionResumption(t *testing.T) {
	ca, other := pki.NewAuthority("ours"), pki.NewAuthority("others")
	trust, trustFile := openTrust(t, ca)
	sources := pairFiles(t)
	writePair(t, ca, sources)
	clientCertificate, err := certificates.Open(sources, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	config := serverConfig(ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS())
	config.ClientAuth = tls.RequireAnyClientCert
	setTicketKey := func(key byte) { config.SetSessionTicketKeys([][32]byte{{key}}) }
	setTicketKey(1)
	addr := tlsServer(t, func() *tls.Config { return config }, echo)
	client := newClient(t, Config{Rules: []Rule{{Trust: trust, ClientCertificate: clientCertificate}}})
	endpoint := router.Endpoint{ID: "s1", Addr: addr}
	var lastConn *Conn
	for i, step := range []struct {
		name    string
		change  func()
		resumed bool
	}{
		{"first connection", func() {}, false},
		{"second connection", func() {}, true},
		{"the server rejects the ticket", func() { setTicketKey(2) }, false},
		{"after the rejected ticket", func() {}, true},
		{"other authorities", func() {
			writeTrust(t, trustFile, ca, other)
			if changed, err := trust.Reload(time.Now()); err != nil || !changed {
				t.Fatal(changed, err)
			}
			client.InvalidateTrust()
		}, false},
		{"after the other authorities", func() {}, true},
		{"another certificate of this node", func() {
			writePair(t, ca, sources)
			if _, err := clientCertificate.Reload(time.Now()); err != nil {
				t.Fatal(err)
			}
		}, false},
		{"another process of the server", func() { endpoint.Started = time.Now(); client.RemoveServer("s1") }, false},
	} {
		step.change()
		conn, err := connect(t, client, endpoint)
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if conn.Resumed() != step.resumed {
			t.Errorf("step %d, %s: resumed %v", i, step.name, conn.Resumed())
		}
		lastConn = conn
	}
	stats := client.Stats()
	if stats.Sessions != 1 || stats.Resumed.Count != 3 || stats.Full.Count != 5 || len(stats.Failures) != 0 {
		t.Errorf("stats %+v, want 1 session, 3 resumed and 5 full handshakes, and no failures", stats)
	}
	now := time.Now()
	if !lastConn.IsTrusted(now) || lastConn.IsTrusted(now.AddDate(1, 0, 0)) || lastConn.IsTrusted(now.AddDate(-1, 0, 0)) {
		t.Error("IsTrusted does not follow the validity period of the certificate")
	}
}

// TestConn_IsIdle checks that a connection is idle if its only unread bytes are messages of TLS itself. Unread data
// or a close_notify alert end the idle state.
func TestConn_IsIdle(t *testing.T) {
	ca := pki.NewAuthority("ours")
	trust, _ := openTrust(t, ca)
	config := serverConfig(ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS())
	actions := make(chan func(*tls.Conn))
	addr := tlsServer(t, func() *tls.Config { return config }, func(conn *tls.Conn) {
		action := <-actions
		action(conn)
		_, _ = io.Copy(io.Discard, conn)
	})
	client := newClient(t, Config{Rules: []Rule{{Trust: trust}}})
	endpoint := router.Endpoint{ID: "s1", Addr: addr}
	for name, action := range map[string]func(*tls.Conn){
		"the arrival of data":         func(conn *tls.Conn) { _, _ = conn.Write([]byte("x")) },
		"the arrival of close_notify": func(conn *tls.Conn) { _ = conn.Close() },
	} {
		client.UpdateServer(endpoint)
		conn, err := client.Handshake(t.Context(), t.Context(), &endpoint, true, dialer(addr))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		testkit.Await(t, "the session ticket", func() bool {
			if !conn.IsIdle() {
				t.Fatal("a connection without unread data is not idle")
			}
			return client.Stats().Sessions == 1
		})
		actions <- action
		testkit.Await(t, name, func() bool { return !conn.IsIdle() })
		client.RemoveServer(endpoint.ID)
	}
}

// trustModel has a server whose certificate changes, and a client whose authorities change.
type trustModel struct {
	client      *ClientTLS
	trust       *certificates.Store
	trustFile   string
	authorities []*pki.Authority
	trusted     []bool // by authority
	addr        string
	conns       []modelConn

	mu          *sync.Mutex
	presentedBy *int // index of the authority that issued the server's certificate; guarded by mu
}

type modelConn struct {
	conn      *Conn
	authority int
}

// TestConn_FollowsTrustChanges checks that connections follow random changes of trust and of certificates. A
// connection is trusted while the authority of its certificate is trusted. A handshake succeeds if and only if the
// certificate of the server is trusted.
func TestConn_FollowsTrustChanges(t *testing.T) {
	authorities := []*pki.Authority{pki.NewAuthority("a"), pki.NewAuthority("b"), pki.NewAuthority("c")}
	configs := make([]*tls.Config, len(authorities))
	for i, authority := range authorities {
		configs[i] = serverConfig(authority.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS())
	}
	var mu sync.Mutex
	presented := 0
	addr := tlsServer(t, func() *tls.Config { mu.Lock(); defer mu.Unlock(); return configs[presented] }, echo)
	rapid.Check(t, func(rt *rapid.T) {
		trust, trustFile := openTrust(t, authorities[0])
		client, err := New(Config{Rules: []Rule{{Trust: trust}}})
		if err != nil {
			rt.Fatal(err)
		}
		defer client.Close()
		model := &trustModel{
			client: client, trust: trust, trustFile: trustFile, authorities: authorities,
			trusted: []bool{true, false, false}, addr: addr, mu: &mu, presentedBy: &presented,
		}
		mu.Lock()
		presented = 0
		mu.Unlock()
		defer model.closeAll()
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "what") {
			case 0:
				model.changeTrust(t, rt)
			case 1:
				mu.Lock()
				presented = rapid.IntRange(0, len(authorities)-1).Draw(rt, "presented")
				mu.Unlock()
			case 2:
				model.connect(t, rt)
			}
			model.checkConns(rt)
		}
	})
}

func (m *trustModel) closeAll() {
	for _, open := range m.conns {
		_ = open.conn.Close()
	}
}

// changeTrust makes the client trust a random, non-empty subset of the authorities.
func (m *trustModel) changeTrust(t *testing.T, rt *rapid.T) {
	t.Helper()
	var trusted []*pki.Authority
	for i := range m.authorities {
		if m.trusted[i] = rapid.Bool().Draw(rt, "trusted"); m.trusted[i] {
			trusted = append(trusted, m.authorities[i])
		}
	}
	if len(trusted) == 0 {
		trusted, m.trusted[0] = m.authorities[:1], true
	}
	writeTrust(t, m.trustFile, trusted...)
	if _, err := m.trust.Reload(time.Now()); err != nil {
		rt.Fatal(err)
	}
	m.client.InvalidateTrust()
}

func (m *trustModel) connect(t *testing.T, rt *rapid.T) {
	t.Helper()
	m.mu.Lock()
	authority := *m.presentedBy
	m.mu.Unlock()
	conn, err := connect(t, m.client, router.Endpoint{ID: "s1", Addr: m.addr})
	var untrusted *UntrustedError
	if (err == nil) != m.trusted[authority] || err != nil && !errors.As(err, &untrusted) {
		rt.Fatalf("the server's certificate is from authority %d, trusted %v, got error %v", authority, m.trusted, err)
	}
	if err == nil {
		m.conns = append(m.conns, modelConn{conn, authority})
	}
}

func (m *trustModel) checkConns(rt *rapid.T) {
	for _, open := range m.conns {
		if trusted := open.conn.IsTrusted(time.Now()); trusted != m.trusted[open.authority] {
			rt.Fatalf("connection verified by authority %d: IsTrusted %v; trusted authorities %v",
				open.authority, trusted, m.trusted)
		}
	}
}
