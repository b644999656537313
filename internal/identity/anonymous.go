package identity

import (
	"hash/maphash"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// SharedTenant is the tenant of further anonymous clients after AnonymousTenants has reached its maximum number of
// names.
const SharedTenant = "anonymous"

// AnonymousTenants assigns tenant names to anonymous clients. Separate names keep one client from using up the quota
// of another. The number of names is bounded, and further clients share SharedTenant. AnonymousTenants is safe for
// concurrent use. The caller passes the current time as the duration since a fixed start.
type AnonymousTenants struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

const shardCount = 16

// shard has two generations of names. The previous generation is dropped as a whole. Expiry therefore does not scan
// the entries for their age.
type shard struct {
	mu        sync.Mutex
	maxNames  int // maximum number of names in both generations together
	lifetime  time.Duration
	startedAt time.Duration // start of the current generation
	current   map[netip.Prefix]uint32
	previous  map[netip.Prefix]uint32
	lastID    uint32
	prefix    string // prefix of the names that the shard assigns
}

// NewAnonymousTenants returns AnonymousTenants for about maxNames names. A name is kept for one to two lifetimes
// after its last use.
func NewAnonymousTenants(maxNames int, lifetime time.Duration) *AnonymousTenants {
	tenants := &AnonymousTenants{seed: maphash.MakeSeed()}
	for i := range tenants.shards {
		s := &tenants.shards[i]
		s.maxNames = max(1, maxNames/shardCount)
		s.lifetime = lifetime
		s.prefix = SharedTenant + "-" + strconv.FormatInt(int64(i), 36)
		s.current, s.previous = make(map[netip.Prefix]uint32), make(map[netip.Prefix]uint32)
	}
	return tenants
}

// Tenant returns the tenant name of the anonymous client that network identifies.
func (a *AnonymousTenants) Tenant(network netip.Prefix, now time.Duration) string {
	s := &a.shards[maphash.Comparable(a.seed, network)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	id, ok := s.id(network)
	if !ok {
		return SharedTenant
	}
	return s.prefix + strconv.FormatUint(uint64(id), 36)
}

// expire starts a new generation if the current generation has reached its lifetime. The caller holds s.mu.
func (s *shard) expire(now time.Duration) {
	age := now - s.startedAt
	if age < s.lifetime {
		return
	}
	s.previous, s.current = s.current, make(map[netip.Prefix]uint32)
	if age >= 2*s.lifetime {
		s.previous = make(map[netip.Prefix]uint32)
	}
	s.startedAt = now
}

// id returns the ID of a network. It moves an ID of the previous generation to the current generation. For an unknown
// network, it assigns a new ID, or returns false if the shard is full. The caller holds s.mu.
func (s *shard) id(network netip.Prefix) (id uint32, ok bool) {
	if id, ok := s.current[network]; ok {
		return id, true
	}
	if id, ok = s.previous[network]; ok {
		delete(s.previous, network)
	} else {
		if len(s.current)+len(s.previous) >= s.maxNames {
			return 0, false
		}
		s.lastID++
		id = s.lastID
	}
	s.current[network] = id
	return id, true
}

// Len returns the number of names in use.
func (a *AnonymousTenants) Len() (n int) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += len(s.current) + len(s.previous)
		s.mu.Unlock()
	}
	return n
}
