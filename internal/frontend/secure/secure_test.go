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

// files are a listener's, as an operator has them.
type files struct {
	t   testing.TB
	dir string
	ca  *pki.Authority
}

func newFiles(t testing.TB) *files { return &files{t, t.TempDir(), pki.Year("ours")} }

func (f *files) path(name string) string { return filepath.Join(f.dir, name) }

func (f *files) put(name string, text []byte) {
	f.t.Helper()
	if err := os.MkdirAll(filepath.Dir(f.path(name)), 0o700); err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(f.path(name), text, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *files) certify(dir string, names ...string) {
	p := f.ca.Issue(pki.Leaf{Names: names})
	f.put(dir+"/cert.pem", pki.PEM(p.Cert))
	f.put(dir+"/key.pem", p.KeyPEM())
}

// open reads the certificates.
func (f *files) open() *certificates.Store {
	return f.store(certificates.Sources{Dir: f.path("certs")})
}

func (f *files) store(from certificates.Sources) *certificates.Store {
	f.t.Helper()
	s, err := certificates.Open(from, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

func (f *files) trust(clients ...*pki.Authority) {
	var all []*x509.Certificate
	for _, a := range clients {
		all = append(all, a.Cert)
	}
	f.put("clients.pem", pki.PEM(all...))
}

// serve answers each line with the names that the client has proved, until the test ends.
func serve(t testing.TB, c Config) (*Layer, string) {
	t.Helper()
	l, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return l, testkit.RawServer(t, func(nc net.Conn, _ *bufio.Reader) {
		c := l.Wrap(nc.(*net.TCPConn), nil)
		defer c.Close()
		for in := bufio.NewReader(c); ; {
			if _, err := in.ReadString('\n'); err != nil {
				return
			}
			if _, err := io.WriteString(c, strings.Join(c.Names(), " ")+"\n"); err != nil {
				return
			}
		}
	})
}

// ask makes a connection and sends a line over it.
func ask(addr string, conf *tls.Config) (answer string, state tls.ConnectionState, err error) {
	c, err := tls.DialWithDialer(&net.Dialer{Timeout: testkit.Long}, "tcp", addr, conf)
	if err != nil {
		return "", state, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testkit.Long))
	if _, err := io.WriteString(c, "who am I\n"); err != nil {
		return "", state, err
	}
	answer, err = bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer), c.ConnectionState(), err
}

// Each name has its certificate, and who asks for one that is not there is told so by TLS.
func TestCertificatesByName(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	f.certify("certs/b", "*.b.example")
	l, addr := serve(t, Config{Keys: f.open(), ALPN: []string{"http/1.1"}})
	pool := x509.NewCertPool()
	pool.AddCert(f.ca.Cert)
	for name, want := range map[string]string{"a.example": "a.example", "x.b.example": "*.b.example"} {
		_, state, err := ask(addr, &tls.Config{RootCAs: pool, ServerName: name})
		if err != nil || !slices.Contains(state.PeerCertificates[0].DNSNames, want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for _, conf := range []*tls.Config{
		{RootCAs: pool, ServerName: "c.example"},
		{RootCAs: pool, ServerName: "a.example", NextProtos: []string{"h9"}},
		{RootCAs: pool, ServerName: "a.example", MaxVersion: tls.VersionTLS12},
	} {
		if _, _, err := ask(addr, conf); err == nil {
			t.Errorf("%+v: taken in", conf)
		}
	}
	testkit.Await(t, "the count of all three", func() bool { return l.Stats().Failures["no agreement"] == 3 })
}

// Who speaks HTTP to the port is told so in words, and noise or silence ends.
func TestWhoSpeaksNoTLS(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	l, addr := serve(t, Config{Keys: f.open(), Timeout: 200 * time.Millisecond})
	for _, c := range []struct{ send, want, why string }{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400 Bad Request", "plain HTTP"},
		{"\x00\x01\x02\x03\x04\x05\x06\x07", "", "no TLS"},
		{"", "", "not in time"},
		{"\x16\x03\x01\xff\xff", "", "no TLS"},
	} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(testkit.Long))
		_, _ = io.WriteString(nc, c.send)
		got, _ := io.ReadAll(nc) // it ends
		nc.Close()
		if !strings.HasPrefix(string(got), c.want) {
			t.Errorf("%q: got %q", c.send, got)
		}
		testkit.Await(t, c.why, func() bool { return l.Stats().Failures[c.why] > 0 })
	}
	testkit.Await(t, "the end of all handshakes", func() bool { return l.Stats().Going == 0 })
}

// A session may be taken up at another node that has the same file of keys, also after a rotation of it, until its key
// is gone. A key seals only once it could be read by all.
func TestSharedTickets(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	file := f.path("tickets")
	var nodes []string
	var layers []*Layer
	var files []*certificates.Tickets
	if err := certificates.RotateTickets(file); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		k, err := certificates.OpenTickets(file)
		if err != nil {
			t.Fatal(err)
		}
		l, addr := serve(t, Config{Keys: f.open(), Tickets: k})
		nodes, layers, files = append(nodes, addr), append(layers, l), append(files, k)
	}
	pool := x509.NewCertPool()
	pool.AddCert(f.ca.Cert)
	conf := &tls.Config{RootCAs: pool, ServerName: "a.example", ClientSessionCache: tls.NewLRUClientSessionCache(4)}
	read := func(node int) {
		if err := files[node].Reload(); err != nil {
			t.Fatal(err)
		}
		layers[node].Retake()
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
		{func() { rotate(); read(1) }, 1, true}, // sealed by the former key
		{func() {}, 0, true},                    // sealed by the next one, which this node has from the start
		{func() { read(0) }, 1, true},
		{func() { layers[0].conf.SetSessionTicketKeys([][32]byte{{1}}) }, 0, false},
	} {
		step.do()
		_, state, err := ask(nodes[step.node], conf)
		if err != nil || state.DidResume != step.resumed {
			t.Errorf("%d: resumed %v, %v", i, state.DidResume, err)
		}
	}
	f.put("tickets", []byte("abc\n"))
	if err := files[0].Reload(); err == nil || !strings.Contains(err.Error(), "tickets:1: want 64 hexadecimal digits") {
		t.Errorf("got %v", err)
	}
}

// A client's certificate says who it is as long as its authority is trusted, in a session that is taken up again, too.
func TestClientCertificates(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	partners, others := pki.Year("partners"), pki.Year("others")
	for _, require := range []bool{false, true} {
		f.trust(partners)
		store := f.store(certificates.Sources{Trust: f.path("clients.pem")})
		l, addr := serve(t, Config{Keys: f.open(), Trust: store, Require: require})
		pool := x509.NewCertPool()
		pool.AddCert(f.ca.Cert)
		conf := func(pairs ...pki.Pair) *tls.Config {
			c := &tls.Config{RootCAs: pool, ServerName: "a.example", ClientSessionCache: tls.NewLRUClientSessionCache(4)}
			for _, p := range pairs {
				c.Certificates = append(c.Certificates, p.TLS())
			}
			return c
		}
		known := conf(partners.Issue(pki.Leaf{Names: []string{"spiffe://site/tenant/desk"}, Subject: "desk"}))
		for range 2 {
			if who, _, err := ask(addr, known); err != nil || who != "spiffe://site/tenant/desk desk" {
				t.Errorf("require %v: %q, %v", require, who, err)
			}
		}
		if who, _, err := ask(addr, conf()); require != (err != nil) || who != "" {
			t.Errorf("require %v, no certificate: %q, %v", require, who, err)
		}
		for what, p := range map[string]pki.Pair{
			"a stranger's":     others.Issue(pki.Leaf{Names: []string{"spiffe://site/tenant/desk"}}),
			"one that is over": partners.Issue(pki.Leaf{Names: []string{"spiffe://site/tenant/desk"}, To: time.Now().Add(-time.Minute)}),
		} {
			if who, _, err := ask(addr, conf(p)); err == nil {
				t.Errorf("require %v, %s: taken in as %q", require, what, who)
			}
		}
		testkit.Await(t, "the count of the two that do not hold", func() bool { return l.Stats().Failures["client's certificate"] == 2 })
		if n := l.Stats().Resumed.Count; n != 1 {
			t.Errorf("require %v: %d resumed", require, n)
		}
		f.trust(others)
		if _, err := store.Reload(time.Now()); err != nil {
			t.Fatal(err)
		}
		if who, state, err := ask(addr, known); err == nil {
			t.Errorf("require %v: who is trusted no more is taken in as %q, resumed %v", require, who, state.DidResume)
		}
	}
}

// A storm of handshakes has the core in turn: each ends well or in its time, and clients that have left cost nothing.
func TestStormInTurn(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	core := handshakes.NewCPUScheduler(0.5, 1, func() bool { return true })
	l, addr := serve(t, Config{Keys: f.open(), Core: core, Timeout: testkit.Long})
	pool := x509.NewCertPool()
	pool.AddCert(f.ca.Cert)
	var all sync.WaitGroup
	for i := range 60 {
		all.Go(func() {
			if i%3 == 0 { // leaves with its hello on the way
				nc, err := net.Dial("tcp", addr)
				if err != nil {
					t.Error(err)
					return
				}
				defer nc.Close()
				_ = nc.SetDeadline(time.Now().Add(testkit.Long))
				_ = tls.Client(&once{Conn: nc}, &tls.Config{RootCAs: pool, ServerName: "a.example"}).Handshake()
				return
			}
			if _, _, err := ask(addr, &tls.Config{RootCAs: pool, ServerName: "a.example"}); err != nil {
				t.Error(err)
			}
		})
	}
	all.Wait()
	testkit.Await(t, "the end of all", func() bool { st := l.Stats(); return st.Full.Count == 40 && st.Failures["left"] == 20 && st.Going == 0 })
	if pieces, worked := core.Totals(); pieces < 80 || worked <= 0 {
		t.Errorf("%d pieces in %v", pieces, worked)
	}
}

// once writes once, and then hangs up.
type once struct{ net.Conn }

func (o *once) Read([]byte) (int, error) { return 0, io.EOF }

// Bad configurations end with one line.
func TestConfig(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	if _, err := New(Config{}); err == nil || errors.Is(err, io.EOF) {
		t.Error("a listener without a certificate")
	}
	if _, err := New(Config{Keys: f.open(), Require: true}); err == nil || !strings.Contains(err.Error(), "by which authorities") {
		t.Errorf("got %v", err)
	}
}

// A listener hands out connections without waiting for their handshakes.
func TestListener(t *testing.T) {
	f := newFiles(t)
	f.certify("certs/a", "a.example")
	l, err := New(Config{Keys: f.open()})
	if err != nil {
		t.Fatal(err)
	}
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := l.Listener(raw)
	defer ln.Close()
	silent, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	first, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	served := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			defer c.Close()
			_, err = io.CopyN(c, c, int64(len("who am I\n")))
		}
		served <- err
	}()
	pool := x509.NewCertPool()
	pool.AddCert(f.ca.Cert)
	if got, _, err := ask(raw.Addr().String(), &tls.Config{RootCAs: pool, ServerName: "a.example"}); err != nil || got != "who am I" {
		t.Errorf("%q, %v", got, err)
	}
	if err := testkit.Receive(t, "the end", served); err != nil || !first.(*Conn).Silent() {
		t.Errorf("%v; the silent one is silent: %v", err, first.(*Conn).Silent())
	}
}
