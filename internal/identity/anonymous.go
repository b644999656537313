package identity

import (
	"hash/maphash"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// SharedTenant is the tenant of the anonymous clients for which AnonymousTenants has no name left.
const SharedTenant = "anonymous"

// AnonymousTenants assigns tenant names to anonymous clients, so that one client does not use up the quota of
// another. It keeps a bounded number of names; clients beyond that share one. It is safe for concurrent use. Times
// are durations since a fixed start, given by the caller.
type AnonymousTenants struct {
	seed   maphash.Seed
	shards [shards]shard
}

const shards = 16

// shard has two generations of names. The older one is dropped as a whole, so that no entry has to be searched for by
// age.
type shard struct {
	mu        sync.Mutex
	maxNames  int // in both generations
	lifetime  time.Duration
	startedAt time.Duration // of the current generation
	current   map[netip.Prefix]uint32
	older     map[netip.Prefix]uint32
	lastID    uint32
	prefix    string // of the shard's names
}

// NewAnonymousTenants returns one that keeps about maxNames names, each for one to two lifetimes after its last use.
func NewAnonymousTenants(maxNames int, lifetime time.Duration) *AnonymousTenants {
	tenants := &AnonymousTenants{seed: maphash.MakeSeed()}
	for i := range tenants.shards {
		s := &tenants.shards[i]
		s.maxNames = max(1, maxNames/shards)
		s.lifetime = lifetime
		s.prefix = SharedTenant + "-" + strconv.FormatInt(int64(i), 36)
		s.current, s.older = make(map[netip.Prefix]uint32), make(map[netip.Prefix]uint32)
	}
	return tenants
}

// Tenant returns the tenant of an anonymous client's network.
func (a *AnonymousTenants) Tenant(network netip.Prefix, now time.Duration) string {
	s := &a.shards[maphash.Comparable(a.seed, network)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	id, ok := s.id(network)
	if !ok {
		return SharedTenant
	}
	return s.prefix + strconv.FormatUint(uint64(id), 36)
}

// expire starts a new generation if the current one has reached its lifetime. s.mu is held.
func (s *shard) expire(now time.Duration) {
	age := now - s.startedAt
	if age < s.lifetime {
		return
	}
	s.older, s.current = s.current, make(map[netip.Prefix]uint32)
	if age >= 2*s.lifetime {
		s.older = make(map[netip.Prefix]uint32)
	}
	s.startedAt = now
}

// id returns the id of a network in the current generation, and assigns one if there is space. s.mu is held.
func (s *shard) id(network netip.Prefix) (id uint32, ok bool) {
	if id, ok := s.current[network]; ok {
		return id, true
	}
	if id, ok = s.older[network]; ok {
		delete(s.older, network)
	} else {
		if len(s.current)+len(s.older) >= s.maxNames {
			return 0, false
		}
		s.lastID++
		id = s.lastID
	}
	s.current[network] = id
	return id, true
}

// Len returns the number of names that are kept.
func (a *AnonymousTenants) Len() (n int) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += len(s.current) + len(s.older)
		s.mu.Unlock()
	}
	return n
}
