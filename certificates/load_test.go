package certificates

import (
	"crypto/tls"
	"encoding/pem"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/internal/pki"
)

var day = time.Now().Truncate(time.Hour)

// authority signs certificates of tests.
type authority struct{ *pki.Authority }

func newAuthority(_ testing.TB, name string, from, to time.Time) authority {
	return authority{pki.NewAuthorityBetween(name, from, to)}
}

// issue returns a certificate and its key, as PEM.
func (a authority) issue(from, to time.Time, names ...string) (cert, key []byte) {
	p := a.Issue(pki.Leaf{From: from, To: to, Names: names, KeyKind: pki.Ed25519})
	return pki.PEM(p.Cert), p.KeyPEM()
}

func (a authority) pem() []byte { return a.PEM() }

func block(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}

// put writes a file, in place of one that exists.
func put(t testing.TB, path string, mode os.FileMode, parts ...[]byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	_ = os.Remove(path)
	if err := os.WriteFile(path, []byte(joined(parts)), mode); err != nil {
		t.Fatal(err)
	}
}

func joined(parts [][]byte) string {
	var s strings.Builder
	for _, p := range parts {
		s.Write(p)
	}
	return s.String()
}

// testSources returns the paths of a certificate, its key and a bundle of authorities in a directory of the test.
func testSources(t *testing.T) Sources {
	t.Helper()
	dir := t.TempDir()
	return Sources{
		Cert:  filepath.Join(dir, "cert.pem"),
		Key:   filepath.Join(dir, "key.pem"),
		Trust: filepath.Join(dir, "ca.pem"),
	}
}

// A reload of invalid files fails with one line that names the file, and the previous set stays in use.
func TestStoreReload_InvalidFiles(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	other := newAuthority(t, "two", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	old := newAuthority(t, "old", day.AddDate(-2, 0, 0), day.AddDate(-1, 0, 0))
	cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
	expired, expiredKey := ca.issue(day.AddDate(0, 0, -3), day.Add(-time.Hour), "a.example")
	early, earlyKey := ca.issue(day.AddDate(0, 0, 3), day.AddDate(0, 0, 4), "a.example")
	_, wrongKey := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
	incompleteChain := append(append([]byte{}, cert...), ca.pem()[:80]...)
	foreignChain := append(append([]byte{}, cert...), other.pem()...)
	const secret, readable = 0o600, 0o644
	for name, test := range map[string]struct {
		cert, key []byte
		keyMode   os.FileMode
		trust     []byte
		want      string
	}{
		"no certificate":            {nil, key, secret, ca.pem(), "cert.pem: contains no certificate"},
		"half a certificate":        {cert[:len(cert)/2], key, secret, ca.pem(), "cert.pem: incomplete PEM block"},
		"half a second certificate": {incompleteChain, key, secret, ca.pem(), "cert.pem: incomplete PEM block"},
		"key as certificate":        {key, key, secret, ca.pem(), `cert.pem: want certificates, got PEM block "PRIVATE KEY"`},
		"invalid DER":               {block("CERTIFICATE", []byte("x")), key, secret, ca.pem(), "cert.pem: certificate 1"},
		"half a key":                {cert, key[:len(key)/2], secret, ca.pem(), "key.pem: want one complete private key"},
		"certificate as key":        {cert, cert, secret, ca.pem(), "key.pem: want a private key"},
		"key of another":            {cert, wrongKey, secret, ca.pem(), "key does not match certificate"},
		"key readable by others":    {cert, key, readable, ca.pem(), "key.pem: accessible to others"},
		"expired":                   {expired, expiredKey, secret, ca.pem(), "has expired at"},
		"not yet valid":             {early, earlyKey, secret, ca.pem(), "is not valid before"},
		"chain of another CA":       {foreignChain, key, secret, ca.pem(), "not signed by the next one"},
		"leaf as authority":         {cert, key, secret, cert, "ca.pem: certificate 1 () is not a CA certificate"},
		"expired authority":         {cert, key, secret, old.pem(), "ca.pem: no CA certificate is currently valid"},
		"no authority":              {cert, key, secret, nil, "ca.pem: contains no certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			from := testSources(t)
			put(t, from.Cert, 0o644, cert, ca.pem())
			put(t, from.Key, 0o600, key)
			put(t, from.Trust, 0o644, old.pem(), ca.pem()) // an expired authority beside a valid one
			store, err := Open(from, day)
			if err != nil {
				t.Fatal(err)
			}
			before := store.Set()
			put(t, from.Cert, 0o644, test.cert)
			put(t, from.Key, test.keyMode, test.key)
			put(t, from.Trust, 0o644, test.trust)
			_, err = store.Reload(day)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, test.want)
			}
			if store.Set() != before {
				t.Error("the previous set is not in use any more")
			}
		})
	}
}

func TestSetPairFor(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	dir := t.TempDir()
	for _, pair := range []struct {
		subdir     string
		dnsNames   []string
		daysToLive int
	}{
		{"a", []string{"a.example", "B.example"}, 30},
		{"any", []string{"*.rooms.example"}, 30},
		{"later", []string{"a.example"}, 60},
	} {
		cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, pair.daysToLive), pair.dnsNames...)
		put(t, filepath.Join(dir, pair.subdir, "cert.pem"), 0o644, cert)
		put(t, filepath.Join(dir, pair.subdir, "key.pem"), 0o600, key)
	}
	set, err := Load(Sources{Dir: dir}, day)
	if err != nil {
		t.Fatal(err)
	}
	for serverName, want := range map[string]string{
		"a.example": "later", "A.EXAMPLE.": "later", "b.example": "a", "x.rooms.example": "any", "": "a",
		"rooms.example": "", "y.x.rooms.example": "", "c.example": "",
	} {
		got := ""
		if pair := set.PairFor(serverName); pair != nil {
			got = filepath.Base(filepath.Dir(pair.Source))
		}
		if got != want {
			t.Errorf("%q: got %q, want %q", serverName, got, want)
		}
	}
	if n := len(set.Summaries()); n != 3 {
		t.Errorf("%d summaries, want 3", n)
	}
}

// Certificates are replaced repeatedly while handshakes take place. Each handshake succeeds, with the certificate that
// was in use when it began.
func TestStoreReload_DuringHandshakes(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	from := testSources(t)
	rotate := func() {
		cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
		put(t, from.Cert, 0o644, cert)
		put(t, from.Key, 0o600, key)
	}
	rotate()
	put(t, from.Trust, 0o644, ca.pem())
	store, err := Open(from, day)
	if err != nil {
		t.Fatal(err)
	}
	addr := startEchoServer(t, &tls.Config{GetCertificate: store.GetCertificate})
	serials := make(map[string]bool)
	for range 40 {
		conn, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: store.Set().Pool, ServerName: "a.example"})
		if err != nil {
			t.Fatal(err)
		}
		serials[conn.ConnectionState().PeerCertificates[0].SerialNumber.String()] = true
		_ = conn.Close()
		rotate()
		if trustChanged, err := store.Reload(day); err != nil || trustChanged {
			t.Fatalf("trust changed %v, %v", trustChanged, err)
		}
	}
	if len(serials) != 40 {
		t.Errorf("%d certificates were presented in 40 handshakes", len(serials))
	}
	next := newAuthority(t, "two", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	put(t, from.Trust, 0o644, ca.pem(), next.pem())
	if trustChanged, err := store.Reload(day); err != nil || !trustChanged {
		t.Errorf("trust changed %v, %v", trustChanged, err)
	}
	if _, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: store.Set().Pool, ServerName: "other.example"}); err == nil {
		t.Error("a handshake for a name without a certificate succeeded")
	}
}

// startEchoServer accepts TLS connections, and returns what it reads from them, until the test ends.
func startEchoServer(t *testing.T, config *tls.Config) (addr string) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			running.Go(func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		running.Wait()
	})
	return ln.Addr().String()
}

// Whatever is decoded is either certificates or a key, and never both.
func FuzzBundles(f *testing.F) {
	ca := newAuthority(f, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	cert, key := ca.issue(day, day.AddDate(0, 0, 1), "a.example")
	f.Add(append(append([]byte{}, cert...), ca.pem()...))
	f.Add(key)
	f.Fuzz(func(t *testing.T, raw []byte) {
		certs, err := decodeCertificates(raw)
		if (err == nil) != (len(certs) > 0) {
			t.Fatalf("%d certificates, %v", len(certs), err)
		}
		if _, err := decodePrivateKey(raw); err == nil && len(certs) > 0 {
			t.Fatal("the same bytes are a key and certificates")
		}
	})
}

// No input makes the decoders panic, and what they accept is complete.
func FuzzKeys(f *testing.F) {
	ca := newAuthority(f, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
	f.Add(cert)
	f.Add(key)
	f.Add(append(slices.Clone(cert), ca.pem()...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if certs, err := decodeCertificates(raw); err == nil && (len(certs) == 0 || len(certs) > maxBundleCertificates) {
			t.Errorf("%d certificates", len(certs))
		}
		if signer, err := decodePrivateKey(raw); err == nil && signer.Public() == nil {
			t.Error("a key without its public half")
		}
	})
}
