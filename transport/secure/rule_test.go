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

// TestRule_Verification checks that a handshake succeeds if and only if the server meets its rule. A server that
// fails verification must be untrusted afterwards.
func TestRule_Verification(t *testing.T) {
	for name, test := range newVerificationTests(t) {
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
				t.Errorf("got %v, want no error", err)
			case test.want != "" && (!errors.As(err, &untrusted) || untrusted.Reason != test.want):
				t.Errorf("got %v, want an UntrustedError with the reason %q", err, test.want)
			case test.want != "" && client.CheckTrusted(&router.Endpoint{ID: "s1"}) == nil:
				t.Error("the server is still trusted")
			}
		})
	}
}

type verificationTest struct {
	rule   Rule
	server *tls.Config
	want   string // reason of the UntrustedError; empty: the server is trusted
}

func newVerificationTests(t *testing.T) map[string]verificationTest {
	t.Helper()
	ca, other := pki.NewAuthority("ours"), pki.NewAuthority("others")
	intermediate := ca.NewIntermediate("middle")
	trust, _ := openTrust(t, ca)
	pin := func(p pki.Pair) string {
		sum := sha256.Sum256(p.Cert.RawSubjectPublicKeyInfo)
		return hex.EncodeToString(sum[:])
	}
	serverPair := ca.Issue(pki.Leaf{Names: []string{"127.0.0.1", "s1.a.example", "spiffe://site/app/rooms"}})
	otherPair := other.Issue(pki.Leaf{Names: []string{"other.example"}})
	intermediatePair := intermediate.Issue(pki.Leaf{Names: []string{"127.0.0.1"}})
	configWith := func(change func(*tls.Config)) *tls.Config {
		config := serverConfig(serverPair.TLS())
		change(config)
		return config
	}
	defaultConfig := configWith(func(*tls.Config) {})
	tls12Config := configWith(func(c *tls.Config) { c.MaxVersion = tls.VersionTLS12 })
	uris := func(uris ...string) Rule { return Rule{Trust: trust, URIs: uris} }
	return map[string]verificationTest{
		"address":           {Rule{Trust: trust}, defaultConfig, ""},
		"name by id, zone":  {Rule{Trust: trust, ServerName: "{id}.{zone}.example"}, defaultConfig, ""},
		"another name":      {Rule{Trust: trust, ServerName: "s2.a.example"}, defaultConfig, reasonWrongName},
		"uri":               {uris("spiffe://x/y", "spiffe://site/app/rooms"), defaultConfig, ""},
		"uri with a suffix": {uris("spiffe://site/app/*"), defaultConfig, ""},
		"another uri":       {uris("spiffe://site/app/roomsX", "spiffe://site/app/rooms/*"), defaultConfig, reasonWrongURI},
		"only pins": {
			Rule{PublicKeyPins: []string{pin(serverPair), pin(otherPair)}},
			serverConfig(otherPair.TLS()),
			"",
		},
		"another key": {Rule{PublicKeyPins: []string{pin(serverPair)}}, serverConfig(otherPair.TLS()), reasonWrongKey},
		"pin, not authority": {
			Rule{Trust: trust, PublicKeyPins: []string{pin(otherPair)}},
			serverConfig(otherPair.TLS()),
			reasonUnknownAuthority,
		},
		"chain":            {Rule{Trust: trust}, serverConfig(intermediatePair.TLS(intermediate.Cert)), ""},
		"gap in the chain": {Rule{Trust: trust}, serverConfig(intermediatePair.TLS()), reasonUnknownAuthority},
		"TLS 1.2":          {Rule{Trust: trust, AllowTLS12: true}, tls12Config, ""},
		"TLS 1.2 rejected": {Rule{Trust: trust}, tls12Config, reasonAlert},
		"ALPN": {
			Rule{Trust: trust, ALPN: []string{"http/1.1"}},
			configWith(func(c *tls.Config) { c.NextProtos = []string{"http/1.1"} }),
			"",
		},
		"another ALPN": {
			Rule{Trust: trust, ALPN: []string{"http/1.1"}},
			configWith(func(c *tls.Config) { c.NextProtos = []string{"other/1"} }),
			reasonAlert,
		},
	}
}

func TestRule_Validate(t *testing.T) {
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

// TestUsesTLS_FirstMatchingRule checks that the first matching rule decides whether a server uses TLS.
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
			t.Errorf("%+v: UsesTLS is %v", endpoint, !want)
		}
	}
}
