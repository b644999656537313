package identity

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"
	"testing"
)

func hashed(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

func newResolver(t *testing.T, forwarded string) *Resolver {
	t.Helper()
	resolver, err := New(Config{
		Tenants:   []string{"mlyn", "stol", "office"},
		Trusted:   []string{"10.0.0.0/8", "fd00::/16", "192.0.2.7"},
		Forwarded: forwarded,
		Layers: []Layer{
			{Kind: Header, Name: "X-Tenant"},
			{Kind: Cookie, Name: "sid", Secrets: map[string]string{hashed("cookie-mlyn"): "mlyn"}},
			{Kind: Bearer, Secrets: map[string]string{hashed("token-stol"): "stol"}},
			{Kind: APIKey, Name: "X-Api-Key", Secrets: map[string]string{hashed("key-mlyn"): "mlyn"}},
			{Kind: Address, Networks: map[string]string{
				"198.51.100.0/24": "office", "198.51.100.9": "stol", "2001:db8:1::/48": "office",
			}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return resolver
}

type header = map[string][]string

// Addresses of peers, and the networks that identify the peers as anonymous clients.
const (
	client, proxy                   = "203.0.113.5", "10.1.2.3"
	clientNet, proxyNet, anotherNet = client + "/32", proxy + "/32", "203.0.113.9/32"
)

type resolveTest struct {
	forwarded, peer string
	header          header
	want            string // tenant, or network of an anonymous client
}

func runResolveTests(t *testing.T, tests map[string]resolveTest) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := newResolver(t, test.forwarded).Resolve(&Request{
				Peer: netip.MustParseAddr(test.peer), Header: test.header,
			})
			found := got.Tenant
			if found == "" {
				found = got.Network.String()
			}
			if found != test.want || (got.Tenant == "") != (got.Layer < 0) {
				t.Errorf("got %+v, want %s", got, test.want)
			}
		})
	}
}

// TestResolve_Layers checks that each kind of layer identifies clients and that a client cannot impersonate another
// tenant.
func TestResolve_Layers(t *testing.T) {
	longSecret := strings.Repeat("x", 16<<10+1)
	bearer := []string{"Bearer token-stol"}
	runResolveTests(t, map[string]resolveTest{
		"anonymous":                {"", client, nil, clientNet},
		"header from a client":     {"", client, header{"X-Tenant": {"mlyn"}}, clientNet},
		"header from a proxy":      {"", proxy, header{"X-Tenant": {"mlyn"}}, "mlyn"},
		"header twice":             {"", proxy, header{"X-Tenant": {"mlyn", "stol"}}, proxyNet},
		"header of unknown tenant": {"", proxy, header{"X-Tenant": {"other"}}, proxyNet},
		"cookie":                   {"", client, header{"Cookie": {"a=b; sid=cookie-mlyn"}}, "mlyn"},
		"cookie, quoted":           {"", client, header{"Cookie": {`sid="cookie-mlyn"`}}, "mlyn"},
		"cookie twice":             {"", client, header{"Cookie": {"sid=x; sid=cookie-mlyn"}}, clientNet},
		"cookie in two headers":    {"", client, header{"Cookie": {"sid=cookie-mlyn", "sid=x"}}, clientNet},
		"cookie with the hash":     {"", client, header{"Cookie": {"sid=" + hashed("cookie-mlyn")}}, clientNet},
		"bearer":                   {"", client, header{"Authorization": {"bearer token-stol"}}, "stol"},
		"bearer over 16 KiB":       {"", client, header{"Authorization": {"Bearer " + longSecret}}, clientNet},
		"empty bearer token":       {"", client, header{"Authorization": {"Bearer "}}, clientNet},
		"another scheme":           {"", client, header{"Authorization": {"Basic token-stol"}}, clientNet},
		"key":                      {"", client, header{"X-Api-Key": {"key-mlyn"}}, "mlyn"},
		"earlier layer":            {"", client, header{"X-Api-Key": {"key-mlyn"}, "Authorization": bearer}, "stol"},
		"address":                  {"", "198.51.100.1", nil, "office"},
		"longest prefix":           {"", "198.51.100.9", nil, "stol"},
		"mapped address":           {"", "::ffff:198.51.100.1", nil, "office"},
		"IPv6 by prefix":           {"", "2001:db8:2:3:4:5:6:7", nil, "2001:db8:2:3::/64"},
	})
}

// TestResolve_ForwardingHeaders checks that the client's address is read from the configured forwarding header, as
// far as the hops are trusted.
func TestResolve_ForwardingHeaders(t *testing.T) {
	const xffName = "X-Forwarded-For"
	manyHops := "198.51.100.1" + strings.Repeat(", 10.0.0.1", 10000)
	fwd := func(value string) header { return header{"Forwarded": {value}} }
	xff := func(values ...string) header { return header{xffName: values} }
	runResolveTests(t, map[string]resolveTest{
		"XFF from a client":            {xffName, client, xff("198.51.100.1"), clientNet},
		"XFF from a proxy":             {xffName, proxy, xff("203.0.113.9"), anotherNet},
		"XFF with a claim on the left": {xffName, proxy, xff("198.51.100.1, 203.0.113.9"), anotherNet},
		"XFF over two proxies":         {xffName, proxy, xff("198.51.100.1, 203.0.113.9, 10.9.9.9"), anotherNet},
		"XFF in two headers":           {xffName, proxy, xff("198.51.100.1", "203.0.113.9"), anotherNet},
		"XFF with an unknown hop":      {xffName, proxy, xff("198.51.100.1, unknown"), proxyNet},
		"XFF empty":                    {xffName, proxy, xff(""), proxyNet},
		"XFF with ports":               {xffName, proxy, xff("[2001:db8:2::1]:99, 10.9.9.9:1234"), "2001:db8:2::/64"},
		"XFF with a zone":              {xffName, proxy, xff("fe80::1%eth0"), proxyNet},
		"XFF of ten thousand hops":     {xffName, proxy, xff(manyHops), "10.0.0.1/32"},
		"XFF not configured":           {"", proxy, xff("198.51.100.1"), proxyNet},
		"XFF, Forwarded configured":    {"Forwarded", proxy, xff("198.51.100.1"), proxyNet},
		"Forwarded": {
			"Forwarded", proxy, fwd(`for=198.51.100.1, for="[2001:db8:1::7]:4711";proto=https`), "office",
		},
		"Forwarded, two fors":   {"Forwarded", proxy, fwd(`for=198.51.100.1;for=203.0.113.9`), proxyNet},
		"Forwarded, obfuscated": {"Forwarded", proxy, fwd(`for=198.51.100.1, for=_hidden`), proxyNet},
	})
}

func TestNew_InvalidConfig(t *testing.T) {
	for want, config := range map[string]Config{
		"no trusted proxies":     {Layers: []Layer{{Kind: Header, Name: "X-Tenant"}}},
		"layer 0 (cookie): name": {Layers: []Layer{{Kind: Cookie}}},
		"64 hexadecimal digits": {
			Tenants: []string{"a"},
			Layers:  []Layer{{Kind: Bearer, Secrets: map[string]string{"plain": "a"}}},
		},
		`unknown tenant "b"`:         {Layers: []Layer{{Kind: Address, Networks: map[string]string{"10.0.0.1": "b"}}}},
		"prefix without host bits":   {Trusted: []string{"10.0.0.1/8"}},
		"X-Forwarded-For, Forwarded": {Forwarded: "X-Real-Ip"},
		"bits":                       {IPv6Bits: 200},
	} {
		if _, err := New(config); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

func BenchmarkResolve(b *testing.B) {
	resolver, err := New(Config{
		Tenants: []string{"a"}, Trusted: []string{"10.0.0.0/8"}, Forwarded: "X-Forwarded-For",
		Layers: []Layer{
			{Kind: Cookie, Name: "sid", Secrets: map[string]string{hashed("x"): "a"}},
			{Kind: Bearer, Secrets: map[string]string{hashed("y"): "a"}},
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	req := &Request{Peer: netip.MustParseAddr("10.0.0.1"), Header: map[string][]string{
		"X-Forwarded-For": {"203.0.113.9, 10.0.0.2"}, "Authorization": {"Bearer y"},
	}}
	b.ReportAllocs()
	for b.Loop() {
		if resolver.Resolve(req).Tenant != "a" {
			b.Fatal("the tenant was not found")
		}
	}
}
