// Package merge makes one router.EndpointSource of several. A server is known by its address: where two
// sources list it, it is one server under the id of the first that does. One that any source drains, or
// has listed and taken away, gets nothing new: whoever is ahead of the others is right about that. What
// a source says of a later process at the address begins anew.
package merge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"cobaltward/drops"
	"cobaltward/policy"
	"cobaltward/router"
)

// Source is several memberships as one.
type Source struct {
	sources []router.EndpointSource

	mu      sync.Mutex
	servers map[string]*server  // by address
	ids     []map[string]string // by source: the address of each id that it lists
	drops   []drops.Parts       // by source
}

// server is what the sources say of the one at an address.
type server struct {
	said []router.Endpoint // by source; State Removed where it has taken it away
	has  []bool            // whether the source has said anything
	told router.Endpoint   // as the router knows it
	is   bool              // it was told
}

var _ router.EndpointSource = (*Source)(nil)

// New merges sources, the first of which names the servers that several list.
func New(sources ...router.EndpointSource) *Source {
	s := &Source{sources: sources, servers: make(map[string]*server), drops: make([]drops.Parts, len(sources))}
	for range sources {
		s.ids = append(s.ids, make(map[string]string))
	}
	return s
}

// SetPolling passes the wish on to every source.
func (s *Source) SetPolling(on bool) {
	for _, m := range s.sources {
		m.SetPolling(on)
	}
}

// Begin takes over the list that the router begins with, as if the source of that number had told it.
func (s *Source) Begin(source int, members []router.Endpoint) {
	s.learn(source, router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: members}, func(router.EndpointUpdate) {})
}

// Run follows all sources until ctx ends.
func (s *Source) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	var all sync.WaitGroup
	for i, m := range s.sources {
		all.Go(func() { m.Run(ctx, func(c router.EndpointUpdate) { s.learn(i, c, tell) }) })
	}
	all.Wait()
}

// learn takes over what a source tells, and tells what comes of it. Changes are told in the order in
// which they were learnt, so the lock is held while telling: it guards nothing else.
func (s *Source) learn(source int, c router.EndpointUpdate, tell func(router.EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Kind == policy.ListUnavailable {
		tell(c)
		return
	}
	touched := make(map[string]bool)
	if c.Kind != policy.ListUpdate { // what a whole list lacks is gone
		listed := make(map[string]bool, len(c.Endpoints))
		for _, m := range c.Endpoints {
			listed[m.Addr] = true
		}
		for addr, v := range s.servers {
			if v.has[source] && v.said[source].Availability != policy.Removed && !listed[addr] {
				s.takeAway(source, addr, touched)
			}
		}
	}
	for _, m := range c.Endpoints {
		addr := m.Addr
		if old, had := s.ids[source][m.ID]; had && (m.Availability == policy.Removed || old != addr) { // gone, or moved
			s.takeAway(source, old, touched)
		}
		if m.Availability == policy.Removed {
			continue
		}
		s.ids[source][m.ID] = addr
		v := s.servers[addr]
		if v == nil {
			v = &server{said: make([]router.Endpoint, len(s.sources)), has: make([]bool, len(s.sources))}
			s.servers[addr] = v
		}
		v.said[source], v.has[source] = m, true
		touched[addr] = true
	}
	out := router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: s.settle(touched)}
	if c.Drops != nil {
		s.drops[source] = c.Drops
		out.Drops = drops.Join(s.drops...)
	}
	if len(out.Endpoints) > 0 || out.Drops != nil {
		tell(out)
	}
}

// takeAway notes that a source lists the server at an address no more.
func (s *Source) takeAway(source int, addr string, touched map[string]bool) {
	said := &s.servers[addr].said[source]
	said.Availability = policy.Removed
	if s.ids[source][said.ID] == addr {
		delete(s.ids[source], said.ID)
	}
	touched[addr] = true
}

// settle works out what is to be told of the servers at the addresses. Those that are gone come first:
// another may bear an id by now.
func (s *Source) settle(touched map[string]bool) []router.Endpoint {
	var gone, rest []router.Endpoint
	for addr := range touched {
		v := s.servers[addr]
		m, ok := v.merged()
		if v.is && (!ok || m.ID != v.told.ID) {
			old := v.told
			old.Availability = policy.Removed
			gone = append(gone, old)
			v.is = false
		}
		switch {
		case !ok:
			delete(s.servers, addr)
		case !v.is || !equal(m, v.told):
			rest = append(rest, m)
			v.told, v.is = m, true
		}
	}
	byID := func(a, b router.Endpoint) int { return strings.Compare(a.ID, b.ID) }
	slices.SortFunc(gone, byID)
	slices.SortFunc(rest, byID)
	return append(gone, rest...)
}

// merged is what the sources together say; false where none lists it any more.
func (v *server) merged() (m router.Endpoint, ok bool) {
	var latest time.Time
	for i, said := range v.said {
		if v.has[i] && said.Availability != policy.Removed && said.Started.After(latest) {
			latest = said.Started
		}
	}
	drains := false
	var pools []string
	for i, said := range v.said {
		switch {
		case !v.has[i] || said.Started.Before(latest): // of a former process
			continue
		case said.Availability == policy.Removed:
			drains = true
			continue
		case said.Availability == policy.Draining:
			drains = true
		}
		if !ok {
			m, ok = said, true
		}
		pools = append(pools, said.Pools...)
	}
	if !ok {
		return m, false
	}
	slices.Sort(pools)
	m.Pools, m.Started, m.Availability = slices.Compact(pools), latest, policy.Running
	if drains {
		m.Availability = policy.Draining
	}
	return m, true
}

func equal(a, b router.Endpoint) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell && a.Weight == b.Weight &&
		a.Started.Equal(b.Started) && a.Availability == b.Availability && slices.Equal(a.Pools, b.Pools)
}
