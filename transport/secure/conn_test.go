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

// writePair issues a certificate for this node, and writes it to the files of sources.
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

// TestSessionResumption checks that a session is resumed as long as the server process, the authorities and the
// certificate of this node are the same, and that a server which does not resume it serves all the same.
func TestSessionResumption(t *testing.T) {
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
	var last *Conn
	for i, step := range []struct {
		what    string
		change  func()
		resumed bool
	}{
		{"the first", func() {}, false},
		{"the second", func() {}, true},
		{"a ticket that is not accepted", func() { setTicketKey(2) }, false},
		{"after that", func() {}, true},
		{"other authorities", func() {
			writeTrust(t, trustFile, ca, other)
			if changed, err := trust.Reload(time.Now()); err != nil || !changed {
				t.Fatal(changed, err)
			}
			client.InvalidateTrust()
		}, false},
		{"after that", func() {}, true},
		{"another certificate of this node", func() {
			writePair(t, ca, sources)
			if _, err := clientCertificate.Reload(time.Now()); err != nil {
				t.Fatal(err)
			}
		}, false},
		{"another process", func() { endpoint.Started = time.Now(); client.RemoveServer("s1") }, false},
	} {
		step.change()
		conn, err := connect(t, client, endpoint)
		if err != nil {
			t.Fatalf("%s: %v", step.what, err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if conn.Resumed() != step.resumed {
			t.Errorf("%d, %s: resumed %v", i, step.what, conn.Resumed())
		}
		last = conn
	}
	stats := client.Stats()
	if stats.Sessions != 1 || stats.Resumed.Count != 3 || stats.Full.Count != 5 || len(stats.Failures) != 0 {
		t.Errorf("%+v", stats)
	}
	now := time.Now()
	if !last.IsTrusted(now) || last.IsTrusted(now.AddDate(1, 0, 0)) || last.IsTrusted(now.AddDate(-1, 0, 0)) {
		t.Error("the validity of a connection does not follow the wall clock")
	}
}

// TestConnIsIdle checks that a connection with unread messages of TLS itself is idle, and that one with data of the
// server or its closing alert is not.
func TestConnIsIdle(t *testing.T) {
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
	for what, action := range map[string]func(*tls.Conn){
		"data":          func(conn *tls.Conn) { _, _ = conn.Write([]byte("x")) },
		"closing alert": func(conn *tls.Conn) { _ = conn.Close() },
	} {
		client.UpdateServer(endpoint)
		conn, err := client.Handshake(t.Context(), t.Context(), &endpoint, true, dialer(addr))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		testkit.Await(t, "the session ticket", func() bool {
			if !conn.IsIdle() {
				t.Fatal("a new connection on which a session ticket arrives is not idle")
			}
			return client.Stats().Sessions == 1
		})
		actions <- action
		testkit.Await(t, what, func() bool { return !conn.IsIdle() })
		client.RemoveServer(endpoint.ID)
	}
}

// trustModel is a server whose certificate changes, and a client whose authorities change.
type trustModel struct {
	client      *ClientTLS
	trust       *certificates.Store
	trustFile   string
	authorities []*pki.Authority
	trusted     []bool // by authority
	addr        string
	conns       []modelConn

	mu        *sync.Mutex
	presented *int // the authority of the server's certificate; guarded by mu
}

type modelConn struct {
	conn      *Conn
	authority int
}

// TestConnectionsFollowTrust checks that a connection may be used exactly as long as the certificate on it is trusted,
// and that a handshake succeeds exactly if the certificate presented is trusted, whatever the order of changes.
func TestConnectionsFollowTrust(t *testing.T) {
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
			trusted: []bool{true, false, false}, addr: addr, mu: &mu, presented: &presented,
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
				presented = rapid.IntRange(0, len(authorities)-1).Draw(rt, "shows")
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

// changeTrust trusts some of the authorities, at least one.
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
	authority := *m.presented
	m.mu.Unlock()
	conn, err := connect(t, m.client, router.Endpoint{ID: "s1", Addr: m.addr})
	var untrusted *UntrustedError
	if (err == nil) != m.trusted[authority] || err != nil && !errors.As(err, &untrusted) {
		rt.Fatalf("the server presents %d, trusted are %v: %v", authority, m.trusted, err)
	}
	if err == nil {
		m.conns = append(m.conns, modelConn{conn, authority})
	}
}

func (m *trustModel) checkConns(rt *rapid.T) {
	for _, open := range m.conns {
		if trusted := open.conn.IsTrusted(time.Now()); trusted != m.trusted[open.authority] {
			rt.Fatalf("a connection by %d is trusted: %v; trusted are %v", open.authority, trusted, m.trusted)
		}
	}
}
