package certificates

import (
	"crypto/tls"
	"encoding/pem"
	"io"
	"os"
	"path/filepath"
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
	return authority{pki.New(name, from, to)}
}

// issue returns a certificate and its key, as PEM.
func (a authority) issue(from, to time.Time, names ...string) (cert, key []byte) {
	p := a.Issue(pki.Leaf{From: from, To: to, Names: names, Kind: pki.Ed25519})
	return pki.PEM(p.Cert), p.KeyPEM()
}

func (a authority) pem() []byte { return a.PEM() }

func block(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}

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

// What would not hold is refused with a line that names its file, and what was in force before goes on.
func TestRefused(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	other := newAuthority(t, "two", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	old := newAuthority(t, "old", day.AddDate(-2, 0, 0), day.AddDate(-1, 0, 0))
	cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
	expired, expiredKey := ca.issue(day.AddDate(0, 0, -3), day.Add(-time.Hour), "a.example")
	early, earlyKey := ca.issue(day.AddDate(0, 0, 3), day.AddDate(0, 0, 4), "a.example")
	_, wrongKey := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
	for name, x := range map[string]struct {
		cert, key []byte
		mode      os.FileMode
		trust     []byte
		want      string
	}{
		"no cert":             {nil, key, 0o600, ca.pem(), "cert.pem: no certificate"},
		"half a cert":         {cert[:len(cert)/2], key, 0o600, ca.pem(), "cert.pem: it ends in the midst"},
		"half of a second":    {append(append([]byte{}, cert...), ca.pem()[:80]...), key, 0o600, ca.pem(), "cert.pem: it ends in the midst"},
		"a key for a cert":    {key, key, 0o600, ca.pem(), `cert.pem: want certificates, got a block "PRIVATE KEY"`},
		"noise":               {block("CERTIFICATE", []byte("x")), key, 0o600, ca.pem(), "cert.pem: certificate 1"},
		"half a key":          {cert, key[:len(key)/2], 0o600, ca.pem(), "key.pem: want one key"},
		"a cert for a key":    {cert, cert, 0o600, ca.pem(), "key.pem: want a key"},
		"another's key":       {cert, wrongKey, 0o600, ca.pem(), "it is not the key of"},
		"key others can read": {cert, key, 0o644, ca.pem(), "key.pem: others may read it"},
		"expired":             {expired, expiredKey, 0o600, ca.pem(), "has expired at"},
		"not yet valid":       {early, earlyKey, 0o600, ca.pem(), "is not valid before"},
		"chain of others":     {append(append([]byte{}, cert...), other.pem()...), key, 0o600, ca.pem(), "not signed by the one behind it"},
		"trust in a leaf":     {cert, key, 0o600, cert, "ca.pem: certificate 1 () is no authority's"},
		"trust that is over":  {cert, key, 0o600, old.pem(), "ca.pem: no authority of it is in force"},
		"no trust":            {cert, key, 0o600, nil, "ca.pem: no certificate"},
	} {
		dir := t.TempDir()
		from := Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Trust: filepath.Join(dir, "ca.pem")}
		put(t, from.Cert, 0o644, cert, ca.pem())
		put(t, from.Key, 0o600, key)
		put(t, from.Trust, 0o644, old.pem(), ca.pem()) // one that is over beside one in force
		s, err := Open(from, day)
		if err != nil {
			t.Fatal(err)
		}
		was := s.Set()
		put(t, from.Cert, 0o644, x.cert)
		put(t, from.Key, x.mode, x.key)
		put(t, from.Trust, 0o644, x.trust)
		if _, err := s.Reload(day); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
		if s.Set() != was {
			t.Errorf("%s: the former set is gone", name)
		}
	}
}

func TestNames(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	dir := t.TempDir()
	for name, names := range map[string][]string{"a": {"a.example", "B.example"}, "any": {"*.rooms.example"}, "later": {"a.example"}} {
		days := 30
		if name == "later" {
			days = 60
		}
		cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, days), names...)
		put(t, filepath.Join(dir, name, "cert.pem"), 0o644, cert)
		put(t, filepath.Join(dir, name, "key.pem"), 0o600, key)
	}
	s, err := Load(Sources{Dir: dir}, day)
	if err != nil {
		t.Fatal(err)
	}
	for ask, want := range map[string]string{
		"a.example": "later", "A.EXAMPLE.": "later", "b.example": "a", "x.rooms.example": "any", "": "a",
		"rooms.example": "", "y.x.rooms.example": "", "c.example": "",
	} {
		got := ""
		if p := s.PairFor(ask); p != nil {
			got = filepath.Base(filepath.Dir(p.Source))
		}
		if got != want {
			t.Errorf("%q: %q, want %q", ask, got, want)
		}
	}
	if n := len(s.Summaries()); n != 3 {
		t.Errorf("%d entries, want 3", n)
	}
}

// Certificates are replaced again and again while handshakes go on: each handshake succeeds, and shows one of those that
// were in force, whole.
func TestReplacedUnderHandshakes(t *testing.T) {
	ca := newAuthority(t, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	dir := t.TempDir()
	from := Sources{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Trust: filepath.Join(dir, "ca.pem")}
	rotate := func() {
		cert, key := ca.issue(day.Add(-time.Hour), day.AddDate(0, 0, 30), "a.example")
		put(t, from.Cert, 0o644, cert)
		put(t, from.Key, 0o600, key)
	}
	rotate()
	put(t, from.Trust, 0o644, ca.pem())
	s, err := Open(from, day)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{GetCertificate: s.GetCertificate})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() { _, _ = io.Copy(c, c); c.Close() })
		}
	})
	serials := make(map[string]bool)
	for range 40 {
		c, err := tls.Dial("tcp", ln.Addr().String(), &tls.Config{RootCAs: s.Set().Pool, ServerName: "a.example"})
		if err != nil {
			t.Fatal(err)
		}
		serials[c.ConnectionState().PeerCertificates[0].SerialNumber.String()] = true
		c.Close()
		rotate()
		if trust, err := s.Reload(day); err != nil || trust {
			t.Fatalf("trust changed %v, %v", trust, err)
		}
	}
	if len(serials) != 40 {
		t.Errorf("%d certificates were shown in 40 handshakes", len(serials))
	}
	next := newAuthority(t, "two", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	put(t, from.Trust, 0o644, ca.pem(), next.pem())
	if trust, err := s.Reload(day); err != nil || !trust {
		t.Errorf("trust changed %v, %v", trust, err)
	}
	if _, err := tls.Dial("tcp", ln.Addr().String(), &tls.Config{RootCAs: s.Set().Pool, ServerName: "other.example"}); err == nil {
		t.Error("a name without a certificate was served")
	}
	ln.Close()
	all.Wait()
}

func FuzzBundles(f *testing.F) {
	ca := newAuthority(f, "one", day.AddDate(-1, 0, 0), day.AddDate(1, 0, 0))
	cert, key := ca.issue(day, day.AddDate(0, 0, 1), "a.example")
	f.Add(append(append([]byte{}, cert...), ca.pem()...))
	f.Add(key)
	f.Fuzz(func(t *testing.T, raw []byte) {
		all, err := parse(raw)
		if (err == nil) != (len(all) > 0) {
			t.Fatalf("%d certificates, %v", len(all), err)
		}
		if _, err := privateKey(raw); err == nil && len(all) > 0 {
			t.Fatal("the same bytes are a key and certificates")
		}
	})
}
