package identity

import (
	"hash/maphash"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// SharedTenant is the tenant of all anonymous clients for which AnonymousTenants has no name left.
const SharedTenant = "anonymous"

// AnonymousTenants assigns tenant names to anonymous clients, so that one client does not use up the quota of
// another. It keeps a bounded number of names; further clients share SharedTenant. It is safe for concurrent use. The
// caller passes the current time as the duration since a fixed start.
type AnonymousTenants struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

const shardCount = 16

// shard has two generations of names. The previous generation is dropped as a whole, so that expiry does not have to
// scan the entries for their age.
type shard struct {
	mu        sync.Mutex
	maxNames  int // in both generations together
	lifetime  time.Duration
	startedAt time.Duration // start of the current generation
	current   map[netip.Prefix]uint32
	previous  map[netip.Prefix]uint32
	lastID    uint32
	prefix    string // of the names that the shard assigns
}

// NewAnonymousTenants keeps about maxNames names, each for one to two lifetimes after its last use.
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

// Tenant returns the tenant name of an anonymous client, which its network identifies.
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

// expire starts a new generation if the current one has reached its lifetime. The caller holds s.mu.
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

// id returns the ID of a network. It moves an ID of the previous generation to the current one, and assigns a new ID
// if there is space. The caller holds s.mu.
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

// Len returns the number of names that are in use.
func (a *AnonymousTenants) Len() (n int) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += len(s.current) + len(s.previous)
		s.mu.Unlock()
	}
	return n
}
