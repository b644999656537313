package secure

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a directory with the certificate files of a listener, and the authority that issues them.
type fixture struct {
	t   testing.TB
	dir string
	ca  *pki.Authority
}

func newFixture(t testing.TB) *fixture { return &fixture{t, t.TempDir(), pki.NewAuthority("ours")} }

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fixture) write(name string, text []byte) {
	f.t.Helper()
	if err := os.MkdirAll(filepath.Dir(f.path(name)), 0o700); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(f.path(name), text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) issue(dir string, names ...string) {
	p := f.ca.Issue(pki.Leaf{Names: names})
	f.write(dir+"/cert.pem", pki.PEM(p.Cert))
	f.write(dir+"/key.pem", p.KeyPEM())
}

// certificates opens a store with the certificates issued so far.
func (f *fixture) certificates() *certificates.Store {
	return f.store(certificates.Sources{Dir: f.path("certs")})
}

func (f *fixture) store(from certificates.Sources) *certificates.Store {
	f.t.Helper()
	s, err := certificates.Open(from, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *fixture) writeTrustedCAs(clients ...*pki.Authority) {
	var all []*x509.Certificate
	for _, a := range clients {
		all = append(all, a.Cert)
	}
	f.write("clients.pem", pki.PEM(all...))
}

// startServer starts a TLS server that answers each line with the names in the client's certificate. It returns the
// terminator and the server's address.
func startServer(t testing.TB, c Config) (*Terminator, string) {
	t.Helper()
	terminator, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return terminator, testkit.RawServer(t, func(nc net.Conn, _ *bufio.Reader) {
		c := terminator.Wrap(nc.(*net.TCPConn), nil)
		defer func() { _ = c.Close() }()
		for in := bufio.NewReader(c); ; {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if _, err := io.WriteString(c, strings.Join(c.PeerNames(), " ")+"\n"); err != nil {
				return
			}
		}
	})
}

// exchangeLine opens a connection, sends one line and returns the answer.
func exchangeLine(addr string, conf *tls.Config) (answer string, state tls.ConnectionState, err error) {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: testkit.MaxWait}, "tcp", addr, conf)
	if err != nil {
		return "", state, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testkit.MaxWait))
	if _, err := io.WriteString(c, "who am I\n"); err != nil {
		return "", state, err
	}
	answer, err = bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer), c.ConnectionState(), err
}

// TestHandshake_SelectsCertificateByServerName checks that the server name selects the certificate. The handshake
// fails for an unknown server name, protocol or TLS version.
func TestHandshake_SelectsCertificateByServerName(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	fixture.issue("certs/b", "*.b.example")
	terminator, addr := startServer(t, Config{Certificates: fixture.certificates(), ALPN: []string{"http/1.1"}})
	pool := x509.NewCertPool()
	pool.AddCert(fixture.ca.Cert)
	for name, want := range map[string]string{"a.example": "a.example", "x.b.example": "*.b.example"} {
		_, state, err := exchangeLine(addr, &tls.Config{RootCAs: pool, ServerName: name})
		if err != nil || !slices.Contains(state.PeerCertificates[0].DNSNames, want) {
			t.Errorf("server name %s: another certificate than expected, or error %v", name, err)
		}
	}
	for _, conf := range []*tls.Config{
		{RootCAs: pool, ServerName: "c.example"},
		{RootCAs: pool, ServerName: "a.example", NextProtos: []string{"h9"}},
		{RootCAs: pool, ServerName: "a.example", MaxVersion: tls.VersionTLS12},
	} {
		if _, _, err := exchangeLine(addr, conf); err == nil {
			t.Errorf("the handshake of a client with %+v succeeded, want a failure", conf)
		}
	}
	testkit.Await(t, "the three failures", func() bool { return terminator.Stats().Failures["no agreement"] == 3 })
}

// TestHandshake_ClientWithoutTLS checks that a client that sends plain HTTP gets status 400. A client that sends
// other bytes, or nothing, is disconnected.
func TestHandshake_ClientWithoutTLS(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	terminator, addr := startServer(t, Config{Certificates: fixture.certificates(), Timeout: 200 * time.Millisecond})
	for _, test := range []struct{ send, want, why string }{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400 Bad Request", "plain HTTP"},
		{"\x00\x01\x02\x03\x04\x05\x06\x07", "", "no TLS"},
		{"", "", "not in time"},
		{"\x16\x03\x01\xff\xff", "", "no TLS"},
	} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(testkit.MaxWait))
		_, _ = io.WriteString(nc, test.send)
		got, _ := io.ReadAll(nc) // returns when the server closes the connection
		_ = nc.Close()
		if !strings.HasPrefix(string(got), test.want) {
			t.Errorf("sent %q: got the response %q", test.send, got)
		}
		testkit.Await(t, test.why, func() bool { return terminator.Stats().Failures[test.why] > 0 })
	}
	testkit.Await(t, "the end of all handshakes", func() bool { return terminator.Stats().InProgress == 0 })
}

// TestSessionTickets_SharedByNodes checks that a session can be resumed at another node that shares the file of
// ticket keys. After a rotation, resumption still works if the other node has loaded the key of the ticket.
func TestSessionTickets_SharedByNodes(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	file := fixture.path("tickets")
	var nodes []string
	var terminators []*Terminator
	var files []*certificates.Tickets
	if err := certificates.RotateTickets(file); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		tickets, err := certificates.OpenTickets(file)
		if err != nil {
			t.Fatal(err)
		}
		terminator, addr := startServer(t, Config{Certificates: fixture.certificates(), Tickets: tickets})
		nodes, terminators, files = append(nodes, addr), append(terminators, terminator), append(files, tickets)
	}
	pool := x509.NewCertPool()
	pool.AddCert(fixture.ca.Cert)
	conf := &tls.Config{RootCAs: pool, ServerName: "a.example", ClientSessionCache: tls.NewLRUClientSessionCache(4)}
	reload := func(node int) {
		if err := files[node].Reload(); err != nil {
			t.Fatal(err)
		}
		terminators[node].ReloadTicketKeys()
	}
	rotate := func() {
		if err := certificates.RotateTickets(file); err != nil {
			t.Fatal(err)
		}
	}
	for i, step := range []struct {
		do      func()
		node    int
		resumed bool
	}{
		{func() {}, 0, false},
		{func() {}, 1, true},
		{func() { rotate(); reload(1) }, 1, true}, // ticket encrypted with the previous key
		{func() {}, 0, true},                      // ticket encrypted with the next key, which this node has already loaded
		{func() { reload(0) }, 1, true},
		{func() { terminators[0].tlsConfig.SetSessionTicketKeys([][32]byte{{1}}) }, 0, false},
	} {
		step.do()
		_, state, err := exchangeLine(nodes[step.node], conf)
		if err != nil || state.DidResume != step.resumed {
			t.Errorf("step %d: resumed %v, error %v", i, state.DidResume, err)
		}
	}
	fixture.write("tickets", []byte("abc\n"))
	if err := files[0].Reload(); err == nil || !strings.Contains(err.Error(), "tickets:1: want 64 hexadecimal digits") {
		t.Errorf("reload of a malformed file: got %v, want an error that names its line", err)
	}
}

// TestClientCertificates_FollowTrust checks that a client certificate is accepted only while its authority is
// trusted, even in resumed sessions.
func TestClientCertificates_FollowTrust(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	const uri = "spiffe://site/tenant/desk"
	partners, others := pki.NewAuthority("partners"), pki.NewAuthority("others")
	for _, require := range []bool{false, true} {
		fixture.writeTrustedCAs(partners)
		store := fixture.store(certificates.Sources{Trust: fixture.path("clients.pem")})
		terminator, addr := startServer(t, Config{Certificates: fixture.certificates(), Trust: store, Require: require})
		pool := x509.NewCertPool()
		pool.AddCert(fixture.ca.Cert)
		conf := func(pairs ...pki.Pair) *tls.Config {
			c := &tls.Config{RootCAs: pool, ServerName: "a.example", ClientSessionCache: tls.NewLRUClientSessionCache(4)}
			for _, p := range pairs {
				c.Certificates = append(c.Certificates, p.TLS())
			}
			return c
		}
		known := conf(partners.Issue(pki.Leaf{Names: []string{uri}, Subject: "desk"}))
		for range 2 {
			if names, _, err := exchangeLine(addr, known); err != nil || names != uri+" desk" {
				t.Errorf("require %v, trusted client: got names %q, error %v", require, names, err)
			}
		}
		if names, _, err := exchangeLine(addr, conf()); require != (err != nil) || names != "" {
			t.Errorf("require %v, client without a certificate: got names %q, error %v", require, names, err)
		}
		for what, p := range map[string]pki.Pair{
			"of an unknown CA": others.Issue(pki.Leaf{Names: []string{uri}}),
			"an expired one":   partners.Issue(pki.Leaf{Names: []string{uri}, To: time.Now().Add(-time.Minute)}),
		} {
			if names, _, err := exchangeLine(addr, conf(p)); err == nil {
				t.Errorf("require %v, %s: accepted as %q", require, what, names)
			}
		}
		testkit.Await(t, "the count of both rejected certificates", func() bool {
			return terminator.Stats().Failures["client's certificate"] == 2
		})
		if n := terminator.Stats().Resumed.Count; n != 1 {
			t.Errorf("require %v: %d sessions resumed, want 1", require, n)
		}
		fixture.writeTrustedCAs(others)
		if _, err := store.Reload(time.Now()); err != nil {
			t.Fatal(err)
		}
		if names, state, err := exchangeLine(addr, known); err == nil {
			t.Errorf("require %v: the authority is no longer trusted, but the client was accepted as %q, resumed %v",
				require, names, state.DidResume)
		}
	}
}

// TestHandshakes_ShareTheCPU checks that many concurrent handshakes share the CPU and succeed. Clients that
// disconnect are counted as failed handshakes.
func TestHandshakes_ShareTheCPU(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	cpu := handshakes.NewCPUScheduler(0.5, 1, func() bool { return true })
	terminator, addr := startServer(t, Config{Certificates: fixture.certificates(), CPU: cpu, Timeout: testkit.MaxWait})
	pool := x509.NewCertPool()
	pool.AddCert(fixture.ca.Cert)
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			if i%3 == 0 { // the client disconnects after its ClientHello
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = nc.Close() }()
				_ = nc.SetDeadline(time.Now().Add(testkit.MaxWait))
				_ = tls.Client(&eofConn{Conn: nc}, &tls.Config{RootCAs: pool, ServerName: "a.example"}).Handshake()
				return
			}
			if _, _, err := exchangeLine(addr, &tls.Config{RootCAs: pool, ServerName: "a.example"}); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	testkit.Await(t, "the end of all handshakes", func() bool {
		st := terminator.Stats()
		return st.Full.Count == 40 && st.Failures["left"] == 20 && st.InProgress == 0
	})
	if pieces, worked := cpu.Totals(); pieces < 80 || worked <= 0 {
		t.Errorf("the CPU scheduler ran %d computations in %v, want 80 or more", pieces, worked)
	}
}

// eofConn is a connection with working writes whose reads return io.EOF.
type eofConn struct{ net.Conn }

func (o *eofConn) Read([]byte) (int, error) { return 0, io.EOF }

func TestNew_InvalidConfig(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	if _, err := New(Config{}); err == nil || errors.Is(err, io.EOF) {
		t.Error("a configuration without certificates was accepted")
	}
	_, err := New(Config{Certificates: fixture.certificates(), Require: true})
	if err == nil || !strings.Contains(err.Error(), "needs trusted authorities") {
		t.Errorf("got %v, want an error about trusted authorities", err)
	}
}

// TestListener_AcceptsBeforeHandshake checks that Accept returns a connection without waiting for its handshake.
// If Accept waited, a silent client would block the other clients.
func TestListener_AcceptsBeforeHandshake(t *testing.T) {
	fixture := newFixture(t)
	fixture.issue("certs/a", "a.example")
	terminator, err := New(Config{Certificates: fixture.certificates()})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := terminator.Listener(raw)
	defer func() { _ = ln.Close() }()
	silent, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	first, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	served := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			defer func() { _ = c.Close() }()
			_, err = io.CopyN(c, c, int64(len("who am I\n")))
		}
		served <- err
	}()
	pool := x509.NewCertPool()
	pool.AddCert(fixture.ca.Cert)
	got, _, err := exchangeLine(raw.Addr().String(), &tls.Config{RootCAs: pool, ServerName: "a.example"})
	if err != nil || got != "who am I" {
		t.Errorf("got the answer %q, error %v", got, err)
	}
	if err := testkit.Receive(t, "the served connection", served); err != nil || !first.(*Conn).NothingReceived() {
		t.Errorf("serving the second client: %v; the silent client has sent nothing: %v",
			err, first.(*Conn).NothingReceived())
	}
}
