package identity

import (
	"hash/maphash"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

// SharedTenant is the tenant of the anonymous clients that there is no place for.
const SharedTenant = "anonymous"

// AnonymousTenants gives anonymous clients names of their own, so that one does not spend what is another's, in bounded
// memory: so many at once, each until it has been silent for a while. Those for whom there is no place share one
// name. Its methods may be called at once from many goroutines; they take the moment from who calls.
type AnonymousTenants struct {
	seed   maphash.Seed
	shards [shards]shard
}

const shards = 16

// shard holds some of the names in two generations: the older one is dropped whole, so that nothing is ever
// searched. A name is kept for one to two spans after it was last asked for.
type shard struct {
	mu         sync.Mutex
	most       int // of both generations together
	span       time.Duration
	began      time.Duration
	now, older map[netip.Prefix]uint32
	next       uint32
	mark       string
}

// NewAnonymousTenants holds at most about most names, each for one to two spans after its last request.
func NewAnonymousTenants(most int, span time.Duration) *AnonymousTenants {
	a := &AnonymousTenants{seed: maphash.MakeSeed()}
	for i := range a.shards {
		s := &a.shards[i]
		s.most, s.span, s.mark = max(1, most/shards), span, strconv.FormatInt(int64(i), 36)
		s.now, s.older = make(map[netip.Prefix]uint32), make(map[netip.Prefix]uint32)
	}
	return a
}

// Tenant is the tenant that an anonymous client's net stands for at a moment.
func (a *AnonymousTenants) Tenant(net netip.Prefix, now time.Duration) string {
	s := &a.shards[maphash.Comparable(a.seed, net)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-s.began >= s.span {
		s.older, s.now = s.now, make(map[netip.Prefix]uint32)
		if now-s.began >= 2*s.span {
			s.older = make(map[netip.Prefix]uint32)
		}
		s.began = now
	}
	n, there := s.now[net]
	if !there {
		if n, there = s.older[net]; there {
			delete(s.older, net)
		} else if len(s.now)+len(s.older) >= s.most {
			return SharedTenant
		} else {
			s.next++
			n = s.next
		}
		s.now[net] = n
	}
	return SharedTenant + "-" + s.mark + strconv.FormatUint(uint64(n), 36)
}

// Len is the number of names held.
func (a *AnonymousTenants) Len() (n int) {
	for i := range a.shards {
		s := &a.shards[i]
		s.mu.Lock()
		n += len(s.now) + len(s.older)
		s.mu.Unlock()
	}
	return n
}
