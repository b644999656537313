package identity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAnonymousTenants_Invariants checks that a client keeps its name while the client is active. No two clients may
// have the same name except SharedTenant. The number of names must be bounded.
func TestAnonymousTenants_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxNames := rapid.IntRange(16, 200).Draw(t, "maxNames")
		tenants := NewAnonymousTenants(maxNames, time.Minute)
		type assignment struct {
			name string
			last time.Duration
		}
		names, now := make(map[netip.Prefix]assignment), time.Duration(0)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 500 {
			now += time.Duration(rng.IntN(2000)) * time.Millisecond
			network := netip.PrefixFrom(netip.AddrFrom4([4]byte{1, 2, 3, byte(rng.IntN(150))}), 32)
			name := tenants.Tenant(network, now)
			was, ok := names[network]
			if ok && was.name != SharedTenant && now-was.last < time.Minute && name != was.name {
				t.Fatalf("%v had the name %s %v ago, and now has %s", network, was.name, now-was.last, name)
			}
			if name != SharedTenant {
				for other, assigned := range names {
					if other != network && assigned.name == name && now-assigned.last < time.Minute {
						t.Fatalf("%v and %v both have the name %s", network, other, name)
					}
				}
			}
			names[network] = assignment{name, now}
			if n := tenants.Len(); n > max(maxNames, shardCount) {
				t.Fatalf("%d names, want at most %d", n, maxNames)
			}
		}
	})
}

// TestAnonymousTenants_MemoryIsBounded checks that a million distinct clients keep the number of names and their
// memory within bounds. The names must be released after the clients stop sending requests.
func TestAnonymousTenants_MemoryIsBounded(t *testing.T) {
	tenants := NewAnonymousTenants(10_000, time.Minute)
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc) / (1 << 20)
	}
	before, shared := heap(), 0
	for i := range 1_000_000 {
		network := netip.PrefixFrom(netip.AddrFrom16([16]byte{0x20, 1, byte(i >> 16), byte(i >> 8), byte(i)}), 64)
		if tenants.Tenant(network, time.Duration(i)*100*time.Microsecond) == SharedTenant { // 10,000 clients per second
			shared++
		}
	}
	if tenants.Len() > 10_000 {
		t.Errorf("%d names are kept, want at most 10,000", tenants.Len())
	}
	grown := heap() - before
	t.Logf("%d names kept, %.1f MB; %d of 1,000,000 clients shared a name", tenants.Len(), grown, shared)
	if grown > 16 {
		t.Errorf("the names occupy %.1f MB, want at most 16", grown)
	}
	last := netip.MustParsePrefix("2001:db8::/64")
	tenants.Tenant(last, time.Hour)
	for i := range tenants.shards { // a shard expires its names only when it is used
		for k := 0; tenants.shards[i].startedAt < time.Hour; k++ {
			tenants.Tenant(netip.MustParsePrefix(fmt.Sprintf("2001:db8:%x::/64", k&0xffff)), time.Hour)
		}
	}
	if n := tenants.Len(); n > 1000 {
		t.Errorf("%d names are kept an hour later, want at most 1000", n)
	}
}
