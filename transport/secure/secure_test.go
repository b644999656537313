package secure

import (
	"bufio"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/certificates"
	"cobaltward/handshakes"
	"cobaltward/internal/pki"
	"cobaltward/internal/testkit"
	"cobaltward/router"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peerServer is a server at the level of the connection: it makes a handshake by conf, then does as do says.
func peerServer(t testing.TB, conf func() *tls.Config, do func(*tls.Conn)) string {
	t.Helper()
	return testkit.RawServer(t, func(nc net.Conn, _ *bufio.Reader) {
		c := tls.Server(nc, conf())
		if c.Handshake() == nil {
			do(c)
		}
	})
}

func echo(c *tls.Conn) { _, _ = io.Copy(c, c) }

func trustIn(t testing.TB, file string, all ...*pki.Authority) {
	t.Helper()
	var certs []*x509.Certificate
	for _, a := range all {
		certs = append(certs, a.Cert)
	}
	if err := os.WriteFile(file, pki.PEM(certs...), 0o600); err != nil {
		t.Fatal(err)
	}
}

func openTrust(t testing.TB, all ...*pki.Authority) (*certificates.Store, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "ca.pem")
	trustIn(t, file, all...)
	s, err := certificates.Open(certificates.Sources{Trust: file}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return s, file
}

func newLayer(t testing.TB, c Config) *ClientTLS {
	t.Helper()
	l, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dialer(addr string) func() (*net.TCPConn, error) {
	return func() (*net.TCPConn, error) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return nil, err
		}
		return c.(*net.TCPConn), nil
	}
}

// shake makes one connection, and with it an exchange, so that tickets have come.
func shake(t testing.TB, l *ClientTLS, m router.Endpoint) (*Conn, error) {
	t.Helper()
	l.UpdateServer(m)
	ctx, cancel := context.WithTimeout(context.Background(), testkit.Long)
	defer cancel()
	c, err := l.Handshake(ctx, ctx, &m, true, dialer(m.Addr))
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(testkit.Long))
	if _, err := c.Write([]byte("x")); err != nil {
		return c, err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return c, err
}

// Who proves what a rule asks for is spoken to; everybody else is refused with the reason, and nothing is sent.
func TestRules(t *testing.T) {
	ca, other := pki.Year("ours"), pki.Year("others")
	middle := ca.Under("middle")
	trust, _ := openTrust(t, ca)
	pin := func(p pki.Pair) string {
		sum := sha256.Sum256(p.Cert.RawSubjectPublicKeyInfo)
		return hex.EncodeToString(sum[:])
	}
	plain := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1", "s1.a.example", "spiffe://site/app/rooms"}})
	self := other.Issue(pki.Leaf{Names: []string{"other.example"}})
	under := middle.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	for name, c := range map[string]struct {
		rule Rule
		conf *tls.Config
		want string // in the error; empty: it is spoken to
	}{
		"address":            {Rule{Trust: trust}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}}, ""},
		"name by id, zone":   {Rule{Trust: trust, ServerName: "{id}.{zone}.example"}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}}, ""},
		"another name":       {Rule{Trust: trust, ServerName: "s2.a.example"}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}}, reasonWrongName},
		"uri":                {Rule{Trust: trust, URIs: []string{"spiffe://x/y", "spiffe://site/app/rooms"}}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}}, ""},
		"uri with a rest":    {Rule{Trust: trust, URIs: []string{"spiffe://site/app/*"}}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}}, ""},
		"another uri":        {Rule{Trust: trust, URIs: []string{"spiffe://site/app/roomsX", "spiffe://site/app/rooms/*"}}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}}, reasonWrongURI},
		"pin alone":          {Rule{PublicKeyPins: []string{pin(plain), pin(self)}}, &tls.Config{Certificates: []tls.Certificate{self.TLS()}}, ""},
		"another key":        {Rule{PublicKeyPins: []string{pin(plain)}}, &tls.Config{Certificates: []tls.Certificate{self.TLS()}}, reasonWrongKey},
		"pin, not authority": {Rule{Trust: trust, PublicKeyPins: []string{pin(self)}}, &tls.Config{Certificates: []tls.Certificate{self.TLS()}}, reasonUnknownAuthority},
		"chain":              {Rule{Trust: trust}, &tls.Config{Certificates: []tls.Certificate{under.TLS(middle.Cert)}}, ""},
		"gap in the chain":   {Rule{Trust: trust}, &tls.Config{Certificates: []tls.Certificate{under.TLS()}}, reasonUnknownAuthority},
		"TLS 1.2":            {Rule{Trust: trust, AllowTLS12: true}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}, MaxVersion: tls.VersionTLS12}, ""},
		"TLS 1.2, not taken": {Rule{Trust: trust}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}, MaxVersion: tls.VersionTLS12}, reasonAlert},
		"ALPN":               {Rule{Trust: trust, ALPN: []string{"http/1.1"}}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}, NextProtos: []string{"http/1.1"}}, ""},
		"another ALPN":       {Rule{Trust: trust, ALPN: []string{"http/1.1"}}, &tls.Config{Certificates: []tls.Certificate{plain.TLS()}, NextProtos: []string{"other/1"}}, reasonAlert},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := peerServer(t, func() *tls.Config { return c.conf }, echo)
			l := newLayer(t, Config{Rules: []Rule{c.rule}})
			conn, err := shake(t, l, router.Endpoint{ID: "s1", Zone: "a", Addr: addr})
			if conn != nil {
				conn.Close()
			}
			var why *UntrustedError
			switch {
			case c.want == "" && err != nil:
				t.Errorf("%v", err)
			case c.want != "" && (!errors.As(err, &why) || why.Reason != c.want):
				t.Errorf("got %v, want %s", err, c.want)
			case c.want != "" && l.CheckTrusted(&router.Endpoint{ID: "s1"}) == nil:
				t.Error("it is not refused from then on")
			}
		})
	}
}

// Rules that make no sense, and which rule is for whom.
func TestRulesAreChecked(t *testing.T) {
	trust, _ := openTrust(t, pki.Year("ours"))
	for want, r := range map[string]Rule{
		"trust: missing":           {},
		"plain: servers":           {Plaintext: true, Trust: trust},
		"not by both":              {Trust: trust, ServerName: "a", URIs: []string{"spiffe://a/b"}},
		`uris: want a URI`:         {Trust: trust, URIs: []string{"spiffe://*"}},
		`got "spiffe://a/*/b"`:     {Trust: trust, URIs: []string{"spiffe://a/*/b"}},
		`pins: want SHA-256 in 64`: {PublicKeyPins: []string{"abc"}},
	} {
		if _, err := New(Config{Rules: []Rule{r}}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	l := newLayer(t, Config{Rules: []Rule{{Kinds: []string{"old"}, Plaintext: true}, {Zones: []string{"a"}, Pools: []string{"p", "q"}, Trust: trust}, {Servers: []string{"s9"}, Trust: trust}}})
	for m, want := range map[*router.Endpoint]bool{
		{ID: "s1", Zone: "a", Pools: []string{"x", "q"}}: true,
		{ID: "s1", Zone: "a", Pools: []string{"x"}}:      false,
		{ID: "s1", Zone: "b", Pools: []string{"q"}}:      false,
		{ID: "s9"}: true,
		{ID: "s9", Kind: "old", Zone: "a", Pools: []string{"p", "q"}}: false,
	} {
		if l.UsesTLS(m) != want {
			t.Errorf("%+v: TLS %v", m, !want)
		}
	}
}

// What goes wrong below TLS is the load's failure, not one of trust; what a server does out of order ends in time.
func TestHardServers(t *testing.T) {
	ca := pki.Year("ours")
	trust, _ := openTrust(t, ca)
	shown := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	for name, c := range map[string]struct {
		serve func(net.Conn)
		want  string
	}{
		"says nothing": {func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }, "no answer in time"},
		"closes":       {func(c net.Conn) { _, _ = c.Read(make([]byte, 64<<10)) }, "closed"},
		"resets":       {func(c net.Conn) { _, _ = c.Read(make([]byte, 100)); _ = c.(*net.TCPConn).SetLinger(0) }, "broken off"},
		"speaks plain HTTP": {func(c net.Conn) {
			_, _ = c.Read(make([]byte, 64<<10))
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\n\r\n")
		}, reasonNoTLS},
		"breaks off within": {func(c net.Conn) {
			_ = tls.Server(&cutConn{Conn: c, left: 200}, &tls.Config{Certificates: []tls.Certificate{shown.TLS()}}).Handshake()
		}, "closed"},
		"sends 100 KB": {func(c net.Conn) {
			big := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}, Padding: 100 << 10})
			_ = tls.Server(c, &tls.Config{Certificates: []tls.Certificate{big.TLS()}}).Handshake()
		}, reasonTooMuchData},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := testkit.RawServer(t, func(nc net.Conn, _ *bufio.Reader) { c.serve(nc) })
			l := newLayer(t, Config{Rules: []Rule{{Trust: trust}}, HandshakeTimeout: 300 * time.Millisecond})
			if _, err := shake(t, l, router.Endpoint{ID: "s1", Addr: addr}); err == nil {
				t.Fatal("it was spoken to")
			}
			if st := l.Stats(); st.Failures[c.want] != 1 {
				t.Errorf("counted as %v, want %s", st.Failures, c.want)
			}
		})
	}
}

// cutConn breaks after so many bytes were written.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.left -= len(p); c.left < 0 {
		_, _ = c.Conn.Write(p[:max(0, len(p)+c.left)])
		c.Conn.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// A session is taken up again as long as what it came to be under holds, and no longer; a server that does not take it
// up is spoken to all the same.
func TestSessions(t *testing.T) {
	ca, other := pki.Year("ours"), pki.Year("others")
	trust, file := openTrust(t, ca)
	dir := t.TempDir()
	own := certificates.Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	show := func() {
		p := ca.Issue(pki.Leaf{Names: []string{"node"}})
		if err := errors.Join(os.WriteFile(own.Cert, pki.PEM(p.Cert), 0o600), os.WriteFile(own.Key, p.KeyPEM(), 0o600)); err != nil {
			t.Fatal(err)
		}
	}
	show()
	mine, err := certificates.Open(own, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	conf := &tls.Config{Certificates: []tls.Certificate{ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()}, ClientAuth: tls.RequireAnyClientCert}
	tickets := func(n byte) { conf.SetSessionTicketKeys([][32]byte{{n}}) }
	tickets(1)
	addr := peerServer(t, func() *tls.Config { return conf }, echo)
	l := newLayer(t, Config{Rules: []Rule{{Trust: trust, ClientCertificate: mine}}})
	m := router.Endpoint{ID: "s1", Addr: addr}
	var last *Conn
	for i, step := range []struct {
		what    string
		do      func()
		resumed bool
	}{
		{"the first", func() {}, false},
		{"the second", func() {}, true},
		{"a ticket that is not taken", func() { tickets(2) }, false},
		{"after that", func() {}, true},
		{"another trust", func() {
			trustIn(t, file, ca, other)
			if changed, err := trust.Reload(time.Now()); err != nil || !changed {
				t.Fatal(changed, err)
			}
			l.InvalidateTrust()
		}, false},
		{"under it", func() {}, true},
		{"another certificate of ours", func() {
			show()
			if _, err := mine.Reload(time.Now()); err != nil {
				t.Fatal(err)
			}
		}, false},
		{"another process", func() { m.Started = time.Now(); l.RemoveServer("s1") }, false},
	} {
		step.do()
		c, err := shake(t, l, m)
		if err != nil {
			t.Fatalf("%s: %v", step.what, err)
		}
		if last = c; c.Resumed() != step.resumed {
			t.Errorf("%d, %s: resumed %v", i, step.what, c.Resumed())
		}
		defer c.Close()
	}
	if st := l.Stats(); st.Sessions != 1 || st.Resumed.Count != 3 || st.Full.Count != 5 || len(st.Failures) != 0 {
		t.Errorf("%+v", st)
	}
	if !last.IsTrusted(time.Now()) || last.IsTrusted(time.Now().AddDate(1, 0, 0)) || last.IsTrusted(time.Now().AddDate(-1, 0, 0)) {
		t.Error("a connection goes by another clock than the wall's")
	}
}

// What belongs to TLS alone leaves a connection quiet; an answer, or the server's farewell, does not.
func TestQuiet(t *testing.T) {
	ca := pki.Year("ours")
	trust, _ := openTrust(t, ca)
	conf := &tls.Config{Certificates: []tls.Certificate{ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()}}
	next := make(chan func(*tls.Conn))
	addr := peerServer(t, func() *tls.Config { return conf }, func(c *tls.Conn) {
		do := <-next
		do(c)
		_, _ = io.Copy(io.Discard, c)
	})
	l := newLayer(t, Config{Rules: []Rule{{Trust: trust}}})
	m := router.Endpoint{ID: "s1", Addr: addr}
	for what, do := range map[string]func(*tls.Conn){"an answer": func(c *tls.Conn) { _, _ = c.Write([]byte("x")) }, "a farewell": func(c *tls.Conn) { c.Close() }} {
		l.UpdateServer(m)
		c, err := l.Handshake(t.Context(), t.Context(), &m, true, dialer(addr))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		testkit.Await(t, "the ticket", func() bool {
			if !c.IsIdle() {
				t.Fatal("a new connection with a ticket on its way is not quiet")
			}
			return l.Stats().Sessions == 1
		})
		next <- do
		testkit.Await(t, what, func() bool { return !c.IsIdle() })
		l.RemoveServer(m.ID)
	}
}

// However many requests want a connection at once, a server has few handshakes at a time, and a cold one fewer; who
// finds too many waiting is turned away at once.
func TestHandshakesAreBounded(t *testing.T) {
	ca := pki.Year("ours")
	trust, _ := openTrust(t, ca)
	shown := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()
	for _, cold := range []bool{false, true} {
		var mu sync.Mutex
		going, most := 0, 0
		conf := &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			mu.Lock()
			going++
			most = max(most, going)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			going--
			mu.Unlock()
			return &shown, nil
		}}
		addr := peerServer(t, func() *tls.Config { return conf }, echo)
		l := newLayer(t, Config{
			Rules: []Rule{{Trust: trust}}, SlowStart: time.Minute, HandshakeTimeout: testkit.Long,
			Limits: handshakes.Limits{MaxConcurrent: 16, MaxPerServer: 3, MaxPerWarmingServer: 1, MaxQueued: 20}, CPU: handshakes.NewCPUScheduler(0.5, 1, func() bool { return true }),
		})
		m := router.Endpoint{ID: "s1", Addr: addr}
		if cold {
			m.Started = time.Now()
		}
		l.UpdateServer(m)
		var all sync.WaitGroup
		var busy, well int
		for range 40 {
			all.Go(func() {
				c, err := l.Handshake(t.Context(), t.Context(), &m, true, dialer(addr))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case errors.Is(err, ErrTooManyHandshakes):
					busy++
				case err == nil:
					well++
					c.Close()
				default:
					t.Error(err)
				}
			})
		}
		all.Wait()
		if want := map[bool]int{false: 3, true: 1}[cold]; most > want || well < 20 || busy+well != 40 {
			t.Errorf("cold %v: %d at once, want %d at most; %d made, %d turned away", cold, most, want, well, busy)
		}
		if out, waiting := l.limiter.Usage(); out != 0 || waiting != 0 || len(l.admitted) != 0 {
			t.Errorf("%d go on and %d wait in the end", out, waiting)
		}
	}
}

// A connection may be used exactly as long as what its server showed is trusted, whatever the order in which
// authorities come and go and servers change; and a server is spoken to exactly if what it shows is trusted.
func TestConnectionsFollowTrust(t *testing.T) {
	all := []*pki.Authority{pki.Year("a"), pki.Year("b"), pki.Year("c")}
	shown := make([]*tls.Config, len(all))
	for i, a := range all {
		shown[i] = &tls.Config{Certificates: []tls.Certificate{a.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()}}
	}
	var mu sync.Mutex
	now := 0
	addr := peerServer(t, func() *tls.Config { mu.Lock(); defer mu.Unlock(); return shown[now] }, echo)
	rapid.Check(t, func(rt *rapid.T) {
		trust, file := openTrust(t, all[0])
		l, err := New(Config{Rules: []Rule{{Trust: trust}}})
		if err != nil {
			rt.Fatal(err)
		}
		defer l.Close()
		trusted := []bool{true, false, false}
		mu.Lock()
		now = 0
		mu.Unlock()
		type open struct {
			c  *Conn
			by int
		}
		var conns []open
		defer func() {
			for _, o := range conns {
				o.c.Close()
			}
		}()
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			switch rapid.IntRange(0, 2).Draw(rt, "what") {
			case 0: // what is trusted changes
				var in []*pki.Authority
				for i := range all {
					if trusted[i] = rapid.Bool().Draw(rt, "trusted"); trusted[i] {
						in = append(in, all[i])
					}
				}
				if len(in) == 0 {
					in, trusted[0] = all[:1], true
				}
				trustIn(t, file, in...)
				if _, err := trust.Reload(time.Now()); err != nil {
					rt.Fatal(err)
				}
				l.InvalidateTrust()
			case 1: // what the server shows changes
				mu.Lock()
				now = rapid.IntRange(0, len(all)-1).Draw(rt, "shows")
				mu.Unlock()
			case 2:
				c, err := shake(t, l, router.Endpoint{ID: "s1", Addr: addr})
				var why *UntrustedError
				if (err == nil) != trusted[now] || err != nil && !errors.As(err, &why) {
					rt.Fatalf("the server shows %d, trusted are %v: %v", now, trusted, err)
				}
				if err == nil {
					conns = append(conns, open{c, now})
				}
			}
			for _, o := range conns {
				if o.c.IsTrusted(time.Now()) != trusted[o.by] {
					rt.Fatalf("a connection by %d may be used: %v; trusted are %v", o.by, !trusted[o.by], trusted)
				}
			}
		}
	})
}

// A server that is refused is looked at again without a request, and is back once it proves who it is.
func TestRefusedComesBack(t *testing.T) {
	ca := pki.Year("ours")
	trust, _ := openTrust(t, ca)
	good := &tls.Config{Certificates: []tls.Certificate{ca.Issue(pki.Leaf{Names: []string{"127.0.0.1"}}).TLS()}}
	bad := &tls.Config{Certificates: []tls.Certificate{ca.Issue(pki.Leaf{Names: []string{"127.0.0.2"}}).TLS()}}
	var mu sync.Mutex
	conf := bad
	addr := peerServer(t, func() *tls.Config { mu.Lock(); defer mu.Unlock(); return conf }, echo)
	news := make(chan bool, 10)
	l := newLayer(t, Config{Rules: []Rule{{Trust: trust}}, OnTrustChange: func(_ string, refused bool) { news <- refused }})
	m := router.Endpoint{ID: "s1", Addr: addr}
	if _, err := shake(t, l, m); err == nil {
		t.Fatal("it was spoken to")
	}
	if !testkit.Receive(t, "the refusal", news) {
		t.Error("it is back at once")
	}
	testkit.Await(t, "a look in vain", func() bool {
		s := l.Stats()
		return s.Untrusted == 1 && s.Servers[0].Rechecks == 1 && s.Servers[0].UntrustedReason == reasonWrongName
	})
	mu.Lock()
	conf = good
	mu.Unlock()
	if testkit.Receive(t, "the return", news) || l.CheckTrusted(&m) != nil {
		t.Error("it is still refused")
	}
	l.RemoveServer(m.ID)
	if len(news) != 0 || len(l.servers) != 0 {
		t.Errorf("%d more news, %d peers kept", len(news), len(l.servers))
	}
}
