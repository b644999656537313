package identity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func hashed(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

func finder(t *testing.T, forwarded string) *Resolver {
	t.Helper()
	f, err := New(Config{
		Tenants: []string{"mlyn", "stol", "office"}, Trusted: []string{"10.0.0.0/8", "fd00::/16", "192.0.2.7"}, Forwarded: forwarded,
		Layers: []Layer{
			{Kind: Header, Name: "X-Tenant"},
			{Kind: Cookie, Name: "sid", Secrets: map[string]string{hashed("cookie-mlyn"): "mlyn"}},
			{Kind: Bearer, Secrets: map[string]string{hashed("token-stol"): "stol"}},
			{Kind: APIKey, Name: "X-Api-Key", Secrets: map[string]string{hashed("key-mlyn"): "mlyn"}},
			{Kind: Address, Networks: map[string]string{"198.51.100.0/24": "office", "198.51.100.9": "stol", "2001:db8:1::/48": "office"}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// What clients do to be taken for others, and what is found of them.
func TestFind(t *testing.T) {
	type h = map[string][]string
	const out, proxy = "203.0.113.5", "10.1.2.3"
	for name, c := range map[string]struct {
		forwarded, peer string
		header          h
		want            string // tenant, or the anonymous client's net
	}{
		"nobody":                       {"", out, nil, "203.0.113.5/32"},
		"header from outside":          {"", out, h{"X-Tenant": {"mlyn"}}, "203.0.113.5/32"},
		"header from a proxy":          {"", proxy, h{"X-Tenant": {"mlyn"}}, "mlyn"},
		"header twice":                 {"", proxy, h{"X-Tenant": {"mlyn", "stol"}}, "10.1.2.3/32"},
		"header of no tenant":          {"", proxy, h{"X-Tenant": {"other"}}, "10.1.2.3/32"},
		"cookie":                       {"", out, h{"Cookie": {"a=b; sid=cookie-mlyn"}}, "mlyn"},
		"cookie, quoted":               {"", out, h{"Cookie": {`sid="cookie-mlyn"`}}, "mlyn"},
		"cookie twice":                 {"", out, h{"Cookie": {"sid=x; sid=cookie-mlyn"}}, "203.0.113.5/32"},
		"cookie in two headers":        {"", out, h{"Cookie": {"sid=cookie-mlyn", "sid=x"}}, "203.0.113.5/32"},
		"cookie that is the hash":      {"", out, h{"Cookie": {"sid=" + hashed("cookie-mlyn")}}, "203.0.113.5/32"},
		"bearer":                       {"", out, h{"Authorization": {"bearer token-stol"}}, "stol"},
		"bearer of 16 KiB and more":    {"", out, h{"Authorization": {"Bearer " + strings.Repeat("x", 16<<10+1)}}, "203.0.113.5/32"},
		"bearer of nothing":            {"", out, h{"Authorization": {"Bearer "}}, "203.0.113.5/32"},
		"another scheme":               {"", out, h{"Authorization": {"Basic token-stol"}}, "203.0.113.5/32"},
		"key":                          {"", out, h{"X-Api-Key": {"key-mlyn"}}, "mlyn"},
		"the earlier layer":            {"", out, h{"X-Api-Key": {"key-mlyn"}, "Authorization": {"Bearer token-stol"}}, "stol"},
		"address":                      {"", "198.51.100.1", nil, "office"},
		"longest prefix":               {"", "198.51.100.9", nil, "stol"},
		"mapped address":               {"", "::ffff:198.51.100.1", nil, "office"},
		"IPv6 by prefix":               {"", "2001:db8:2:3:4:5:6:7", nil, "2001:db8:2:3::/64"},
		"XFF from outside":             {"X-Forwarded-For", out, h{"X-Forwarded-For": {"198.51.100.1"}}, "203.0.113.5/32"},
		"XFF from a proxy":             {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"203.0.113.9"}}, "203.0.113.9/32"},
		"XFF with a claim on the left": {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"198.51.100.1, 203.0.113.9"}}, "203.0.113.9/32"},
		"XFF over two proxies":         {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"198.51.100.1, 203.0.113.9, 10.9.9.9"}}, "203.0.113.9/32"},
		"XFF in two headers":           {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"198.51.100.1", "203.0.113.9"}}, "203.0.113.9/32"},
		"XFF of nonsense":              {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"198.51.100.1, unknown"}}, "10.1.2.3/32"},
		"XFF empty":                    {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {""}}, "10.1.2.3/32"},
		"XFF with ports":               {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"[2001:db8:2::1]:99, 10.9.9.9:1234"}}, "2001:db8:2::/64"},
		"XFF with a zone":              {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"fe80::1%eth0"}}, "10.1.2.3/32"},
		"XFF of ten thousand hops":     {"X-Forwarded-For", proxy, h{"X-Forwarded-For": {"198.51.100.1" + strings.Repeat(", 10.0.0.1", 10000)}}, "10.0.0.1/32"},
		"XFF not asked for":            {"", proxy, h{"X-Forwarded-For": {"198.51.100.1"}}, "10.1.2.3/32"},
		"the other header":             {"Forwarded", proxy, h{"X-Forwarded-For": {"198.51.100.1"}}, "10.1.2.3/32"},
		"Forwarded":                    {"Forwarded", proxy, h{"Forwarded": {`for=198.51.100.1, for="[2001:db8:1::7]:4711";proto=https`}}, "office"},
		"Forwarded, two fors":          {"Forwarded", proxy, h{"Forwarded": {`for=198.51.100.1;for=203.0.113.9`}}, "10.1.2.3/32"},
		"Forwarded, obfuscated":        {"Forwarded", proxy, h{"Forwarded": {`for=198.51.100.1, for=_hidden`}}, "10.1.2.3/32"},
	} {
		t.Run(name, func(t *testing.T) {
			got := finder(t, c.forwarded).Resolve(&Request{Peer: netip.MustParseAddr(c.peer), Header: c.header})
			found := got.Tenant
			if found == "" {
				found = got.Network.String()
			}
			if found != c.want || (got.Tenant == "") != (got.Layer < 0) {
				t.Errorf("%+v, want %s", got, c.want)
			}
		})
	}
}

func TestErrors(t *testing.T) {
	for want, c := range map[string]Config{
		"nobody is trusted":          {Layers: []Layer{{Kind: Header, Name: "X-Tenant"}}},
		"layer 0 (cookie): name":     {Layers: []Layer{{Kind: Cookie}}},
		"64 hexadecimal digits":      {Tenants: []string{"a"}, Layers: []Layer{{Kind: Bearer, Secrets: map[string]string{"plain": "a"}}}},
		`there is no tenant "b"`:     {Layers: []Layer{{Kind: Address, Networks: map[string]string{"10.0.0.1": "b"}}}},
		"without bits behind it":     {Trusted: []string{"10.0.0.1/8"}},
		"X-Forwarded-For, Forwarded": {Forwarded: "X-Real-Ip"},
		"bits":                       {Bits6: 200},
	} {
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// Names of anonymous clients: one keeps its name while it comes, two never have the same at once but the shared one,
// and never are more held than may be.
func TestAnonymous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(16, 200).Draw(t, "most")
		a := NewAnonymousTenants(most, time.Minute)
		type held struct {
			name string
			last time.Duration
		}
		names, now := make(map[netip.Prefix]held), time.Duration(0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 500 {
			now += time.Duration(rng.IntN(2000)) * time.Millisecond
			net := netip.PrefixFrom(netip.AddrFrom4([4]byte{1, 2, 3, byte(rng.IntN(150))}), 32)
			name := a.Tenant(net, now)
			if was, ok := names[net]; ok && was.name != SharedTenant && now-was.last < time.Minute && name != was.name {
				t.Fatalf("%v was %s %v ago, and is %s", net, was.name, now-was.last, name)
			}
			if name != SharedTenant {
				for other, h := range names {
					if other != net && h.name == name && now-h.last < time.Minute {
						t.Fatalf("%v and %v are both %s", net, other, name)
					}
				}
			}
			names[net] = held{name, now}
			if n := a.Len(); n > max(most, shards) {
				t.Fatalf("%d names, %d may be", n, most)
			}
		}
	})
}

// A million distinct clients: what is held stays within its bound, and goes once they are silent.
func TestAMillionClients(t *testing.T) {
	a := NewAnonymousTenants(10_000, time.Minute)
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	before, shared := heap(), 0
	for i := range 1_000_000 {
		net := netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 1, byte(i >> 16), byte(i >> 8), byte(i)}), 64)
		if a.Tenant(net, time.Duration(i)*100*time.Microsecond) == SharedTenant { // ten thousand a second
			shared++
		}
	}
	if a.Len() > 10_000 {
		t.Errorf("%d names", a.Len())
	}
	grown := heap() - before
	t.Logf("%d names held, %.1f MB; %d of 1,000,000 shared one", a.Len(), grown, shared)
	if grown > 16 {
		t.Errorf("%.1f MB are held", grown)
	}
	last := netip.MustParsePrefix("2001:db8::/64")
	a.Tenant(last, time.Hour)
	for i := range a.shards { // each looks at its time when it is next asked
		for k := 0; a.shards[i].began < time.Hour; k++ {
			a.Tenant(netip.MustParsePrefix(fmt.Sprintf("2001:db8:%x::/64", k&0xffff)), time.Hour)
		}
	}
	if n := a.Len(); n > 1000 {
		t.Errorf("%d names an hour later", n)
	}
}

func BenchmarkFind(b *testing.B) {
	f, err := New(Config{
		Tenants: []string{"a"}, Trusted: []string{"10.0.0.0/8"}, Forwarded: "X-Forwarded-For",
		Layers: []Layer{{Kind: Cookie, Name: "sid", Secrets: map[string]string{hashed("x"): "a"}}, {Kind: Bearer, Secrets: map[string]string{hashed("y"): "a"}}},
	})
	if err != nil {
		b.Fatal(err)
	}
	r := &Request{Peer: netip.MustParseAddr("10.0.0.1"), Header: map[string][]string{"X-Forwarded-For": {"203.0.113.9, 10.0.0.2"}, "Authorization": {"Bearer y"}}}
	b.ReportAllocs()
	for b.Loop() {
		if f.Resolve(r).Tenant != "a" {
			b.Fatal("not found")
		}
	}
}
