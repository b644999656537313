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

var testNow = time.Now().Truncate(time.Hour)

// authority issues certificates for tests.
type authority struct{ *pki.Authority }

func newAuthority(_ testing.TB, name string, from, to time.Time) authority {
	return authority{pki.NewAuthorityBetween(name, from, to)}
}

// issue returns a new certificate and its private key in PEM.
func (a authority) issue(from, to time.Time, names ...string) (cert, key []byte) {
	p := a.Issue(pki.Leaf{From: from, To: to, Names: names, KeyKind: pki.Ed25519})
	return pki.PEM(p.Cert), p.KeyPEM()
}

func (a authority) pem() []byte { return a.PEM() }

func pemBlock(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}

// replaceFile writes a file and removes any previous file with the same path.
func replaceFile(t testing.TB, path string, mode os.FileMode, parts ...[]byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		t.Fatal(err)
	}
	_ = os.Remove(path)
	if err := os.WriteFile(path, []byte(concat(parts)), mode); err != nil {
		t.Fatal(err)
	}
}

func concat(parts [][]byte) string {
	var s strings.Builder
	for _, p := range parts {
		s.Write(p)
	}
	return s.String()
}

// testSources returns the paths of a certificate, its key and a bundle of authorities in a temporary directory. The
// files do not exist yet.
func testSources(t *testing.T) Sources {
	t.Helper()
	dir := t.TempDir()
	return Sources{
		Cert:  filepath.Join(dir, "cert.pem"),
		Key:   filepath.Join(dir, "key.pem"),
		Trust: filepath.Join(dir, "ca.pem"),
	}
}

// TestStoreReload_InvalidFiles checks that a reload of invalid files fails and that the previous set stays in use.
// The error must be one line that contains the reason.
func TestStoreReload_InvalidFiles(t *testing.T) {
	ca := newAuthority(t, "one", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	otherCA := newAuthority(t, "two", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	expiredCA := newAuthority(t, "old", testNow.AddDate(-2, 0, 0), testNow.AddDate(-1, 0, 0))
	cert, key := ca.issue(testNow.Add(-time.Hour), testNow.AddDate(0, 0, 30), "a.example")
	expired, expiredKey := ca.issue(testNow.AddDate(0, 0, -3), testNow.Add(-time.Hour), "a.example")
	notYetValid, notYetValidKey := ca.issue(testNow.AddDate(0, 0, 3), testNow.AddDate(0, 0, 4), "a.example")
	_, wrongKey := ca.issue(testNow.Add(-time.Hour), testNow.AddDate(0, 0, 30), "a.example")
	incompleteChain := append(append([]byte{}, cert...), ca.pem()[:80]...)
	foreignChain := append(append([]byte{}, cert...), otherCA.pem()...)
	const ownerOnly, worldReadable = 0o600, 0o644
	for name, test := range map[string]struct {
		cert, key []byte
		keyMode   os.FileMode
		trust     []byte
		want      string
	}{
		"no certificate":         {nil, key, ownerOnly, ca.pem(), "cert.pem: contains no certificate"},
		"truncated certificate":  {cert[:len(cert)/2], key, ownerOnly, ca.pem(), "cert.pem: incomplete PEM block"},
		"truncated intermediate": {incompleteChain, key, ownerOnly, ca.pem(), "cert.pem: incomplete PEM block"},
		"key as certificate":     {key, key, ownerOnly, ca.pem(), `cert.pem: want certificates, got PEM block "PRIVATE KEY"`},
		"invalid DER":            {pemBlock("CERTIFICATE", []byte("x")), key, ownerOnly, ca.pem(), "cert.pem: certificate 1"},
		"truncated key":          {cert, key[:len(key)/2], ownerOnly, ca.pem(), "key.pem: want one complete private key"},
		"certificate as key":     {cert, cert, ownerOnly, ca.pem(), "key.pem: want a private key"},
		"key of another leaf":    {cert, wrongKey, ownerOnly, ca.pem(), "key does not match certificate"},
		"key readable by others": {cert, key, worldReadable, ca.pem(), "key.pem: accessible to others"},
		"expired":                {expired, expiredKey, ownerOnly, ca.pem(), "has expired at"},
		"not yet valid":          {notYetValid, notYetValidKey, ownerOnly, ca.pem(), "is not valid before"},
		"chain of another CA":    {foreignChain, key, ownerOnly, ca.pem(), "not signed by the next one"},
		"leaf as authority":      {cert, key, ownerOnly, cert, "ca.pem: certificate 1 () is not a CA certificate"},
		"expired authority":      {cert, key, ownerOnly, expiredCA.pem(), "ca.pem: no CA certificate is currently valid"},
		"no authority":           {cert, key, ownerOnly, nil, "ca.pem: contains no certificate"},
	} {
		t.Run(name, func(t *testing.T) {
			from := testSources(t)
			replaceFile(t, from.Cert, 0o644, cert, ca.pem())
			replaceFile(t, from.Key, 0o600, key)
			replaceFile(t, from.Trust, 0o644, expiredCA.pem(), ca.pem()) // an expired authority beside a valid one
			store, err := Open(from, testNow)
			if err != nil {
				t.Fatal(err)
			}
			before := store.Set()
			replaceFile(t, from.Cert, 0o644, test.cert)
			replaceFile(t, from.Key, test.keyMode, test.key)
			replaceFile(t, from.Trust, 0o644, test.trust)
			_, err = store.Reload(testNow)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %q", err, test.want)
			}
			if store.Set() != before {
				t.Error("the previous set is no longer in use")
			}
		})
	}
}

func TestSetPairFor(t *testing.T) {
	ca := newAuthority(t, "one", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
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
		cert, key := ca.issue(testNow.Add(-time.Hour), testNow.AddDate(0, 0, pair.daysToLive), pair.dnsNames...)
		replaceFile(t, filepath.Join(dir, pair.subdir, "cert.pem"), 0o644, cert)
		replaceFile(t, filepath.Join(dir, pair.subdir, "key.pem"), 0o600, key)
	}
	set, err := Load(Sources{Dir: dir}, testNow)
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

// TestStoreReload_DuringHandshakes checks that handshakes succeed while a listener's certificate is replaced
// repeatedly. Each handshake must use the certificate in use. A reload must report whether the authorities changed.
func TestStoreReload_DuringHandshakes(t *testing.T) {
	ca := newAuthority(t, "one", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	from := testSources(t)
	rotate := func() {
		cert, key := ca.issue(testNow.Add(-time.Hour), testNow.AddDate(0, 0, 30), "a.example")
		replaceFile(t, from.Cert, 0o644, cert)
		replaceFile(t, from.Key, 0o600, key)
	}
	rotate()
	replaceFile(t, from.Trust, 0o644, ca.pem())
	store, err := Open(from, testNow)
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
		if trustChanged, err := store.Reload(testNow); err != nil || trustChanged {
			t.Fatalf("reload with the same authorities: trustChanged %v, error %v", trustChanged, err)
		}
	}
	if len(serials) != 40 {
		t.Errorf("%d different certificates in 40 handshakes, want 40", len(serials))
	}
	next := newAuthority(t, "two", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	replaceFile(t, from.Trust, 0o644, ca.pem(), next.pem())
	if trustChanged, err := store.Reload(testNow); err != nil || !trustChanged {
		t.Errorf("reload with a new authority: trustChanged %v, error %v", trustChanged, err)
	}
	if _, err := tls.Dial("tcp", addr, &tls.Config{RootCAs: store.Set().Pool, ServerName: "other.example"}); err == nil {
		t.Error("a handshake for a name without a certificate succeeded")
	}
}

// startEchoServer starts a TLS server that sends all received bytes back, until the test ends.
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

// FuzzBundles checks that no input decodes both as certificates and as a private key.
func FuzzBundles(f *testing.F) {
	ca := newAuthority(f, "one", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	cert, key := ca.issue(testNow, testNow.AddDate(0, 0, 1), "a.example")
	f.Add(append(append([]byte{}, cert...), ca.pem()...))
	f.Add(key)
	f.Fuzz(func(t *testing.T, raw []byte) {
		certs, err := decodeCertificates(raw)
		if (err == nil) != (len(certs) > 0) {
			t.Fatalf("got %d certificates with error %v", len(certs), err)
		}
		if _, err := decodePrivateKey(raw); err == nil && len(certs) > 0 {
			t.Fatal("the same input decodes as a private key and as certificates")
		}
	})
}

// FuzzKeys checks that no input makes the decoders panic. A decoded bundle must have a valid number of certificates,
// and a decoded key must have a public key.
func FuzzKeys(f *testing.F) {
	ca := newAuthority(f, "one", testNow.AddDate(-1, 0, 0), testNow.AddDate(1, 0, 0))
	cert, key := ca.issue(testNow.Add(-time.Hour), testNow.AddDate(0, 0, 30), "a.example")
	f.Add(cert)
	f.Add(key)
	f.Add(append(slices.Clone(cert), ca.pem()...))
	f.Add([]byte("-----BEGIN CERTIFICATE-----\n-----END CERTIFICATE-----"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if certs, err := decodeCertificates(raw); err == nil && (len(certs) == 0 || len(certs) > maxBundleCertificates) {
			t.Errorf("decoded %d certificates, want at least 1 and at most maxBundleCertificates", len(certs))
		}
		if signer, err := decodePrivateKey(raw); err == nil && signer.Public() == nil {
			t.Error("decoded a private key without a public key")
		}
	})
}
