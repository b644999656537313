package secure

import (
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"strings"
	"testing"

	"cobaltward/internal/pki"
	"cobaltward/router"
)

// TestRuleVerification checks that a server is trusted exactly if it proves what its rule asks for, and that it is
// untrusted from then on otherwise.
func TestRuleVerification(t *testing.T) {
	for name, test := range verificationTests(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := tlsServer(t, func() *tls.Config { return test.server }, echo)
			client := newClient(t, Config{Rules: []Rule{test.rule}})
			conn, err := connect(t, client, router.Endpoint{ID: "s1", Zone: "a", Addr: addr})
			if conn != nil {
				_ = conn.Close()
			}
			var untrusted *UntrustedError
			switch {
			case test.want == "" && err != nil:
				t.Errorf("%v", err)
			case test.want != "" && (!errors.As(err, &untrusted) || untrusted.Reason != test.want):
				t.Errorf("got %v, want %s", err, test.want)
			case test.want != "" && client.CheckTrusted(&router.Endpoint{ID: "s1"}) == nil:
				t.Error("the server is still trusted")
			}
		})
	}
}

type verificationTest struct {
	rule   Rule
	server *tls.Config
	want   string // reason of the error; empty: none
}

func verificationTests(t *testing.T) map[string]verificationTest {
	t.Helper()
	ca, other := pki.NewAuthority("ours"), pki.NewAuthority("others")
	middle := ca.NewIntermediate("middle")
	trust, _ := openTrust(t, ca)
	pin := func(p pki.Pair) string {
		sum := sha256.Sum256(p.Cert.RawSubjectPublicKeyInfo)
		return hex.EncodeToString(sum[:])
	}
	plain := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1", "s1.a.example", "spiffe://site/app/rooms"}})
	self := other.Issue(pki.Leaf{Names: []string{"other.example"}})
	under := middle.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	ofPlain := func(change func(*tls.Config)) *tls.Config {
		config := serverConfig(plain.TLS())
		change(config)
		return config
	}
	asIs := ofPlain(func(*tls.Config) {})
	only12 := ofPlain(func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 })
	uris := func(uris ...string) Rule { return Rule{Trust: trust, URIs: uris} }
	return map[string]verificationTest{
		"address":           {Rule{Trust: trust}, asIs, ""},
		"name by id, zone":  {Rule{Trust: trust, ServerName: "{id}.{zone}.example"}, asIs, ""},
		"another name":      {Rule{Trust: trust, ServerName: "s2.a.example"}, asIs, reasonWrongName},
		"uri":               {uris("spiffe://x/y", "spiffe://site/app/rooms"), asIs, ""},
		"uri with a suffix": {uris("spiffe://site/app/*"), asIs, ""},
		"another uri":       {uris("spiffe://site/app/roomsX", "spiffe://site/app/rooms/*"), asIs, reasonWrongURI},
		"pin alone":         {Rule{PublicKeyPins: []string{pin(plain), pin(self)}}, serverConfig(self.TLS()), ""},
		"another key":       {Rule{PublicKeyPins: []string{pin(plain)}}, serverConfig(self.TLS()), reasonWrongKey},
		"pin, not authority": {
			Rule{Trust: trust, PublicKeyPins: []string{pin(self)}},
			serverConfig(self.TLS()),
			reasonUnknownAuthority,
		},
		"chain":            {Rule{Trust: trust}, serverConfig(under.TLS(middle.Cert)), ""},
		"gap in the chain": {Rule{Trust: trust}, serverConfig(under.TLS()), reasonUnknownAuthority},
		"TLS 1.2":          {Rule{Trust: trust, AllowTLS12: true}, only12, ""},
		"TLS 1.2 rejected": {Rule{Trust: trust}, only12, reasonAlert},
		"ALPN": {
			Rule{Trust: trust, ALPN: []string{"http/1.1"}},
			ofPlain(func(c *tls.Config) { c.NextProtos = []string{"http/1.1"} }),
			"",
		},
		"another ALPN": {
			Rule{Trust: trust, ALPN: []string{"http/1.1"}},
			ofPlain(func(c *tls.Config) { c.NextProtos = []string{"other/1"} }),
			reasonAlert,
		},
	}
}

func TestRuleValidate(t *testing.T) {
	trust, _ := openTrust(t, pki.NewAuthority("ours"))
	for want, rule := range map[string]Rule{
		"trust: missing":           {},
		"plain: servers":           {Plaintext: true, Trust: trust},
		"not by both":              {Trust: trust, ServerName: "a", URIs: []string{"spiffe://a/b"}},
		`uris: want a URI`:         {Trust: trust, URIs: []string{"spiffe://*"}},
		`got "spiffe://a/*/b"`:     {Trust: trust, URIs: []string{"spiffe://a/*/b"}},
		`pins: want SHA-256 in 64`: {PublicKeyPins: []string{"abc"}},
	} {
		if _, err := New(Config{Rules: []Rule{rule}}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// TestUsesTLS_FirstMatchingRule checks which rule applies to a server.
func TestUsesTLS_FirstMatchingRule(t *testing.T) {
	trust, _ := openTrust(t, pki.NewAuthority("ours"))
	client := newClient(t, Config{Rules: []Rule{
		{Kinds: []string{"old"}, Plaintext: true},
		{Zones: []string{"a"}, Pools: []string{"p", "q"}, Trust: trust},
		{Servers: []string{"s9"}, Trust: trust},
	}})
	for endpoint, want := range map[*router.Endpoint]bool{
		{ID: "s1", Zone: "a", Pools: []string{"x", "q"}}: true,
		{ID: "s1", Zone: "a", Pools: []string{"x"}}:      false,
		{ID: "s1", Zone: "b", Pools: []string{"q"}}:      false,
		{ID: "s9"}: true,
		{ID: "s9", Kind: "old", Zone: "a", Pools: []string{"p", "q"}}: false,
	} {
		if client.UsesTLS(endpoint) != want {
			t.Errorf("%+v: TLS %v", endpoint, !want)
		}
	}
}
