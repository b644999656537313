package xds

import (
	"cmp"
	"maps"
	"slices"

	"cobaltward/discovery"
	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/priority"
	"cobaltward/discovery/xds/resource"
	"cobaltward/dropoverload"
	"cobaltward/internal/pace"
	"cobaltward/policy"
	"cobaltward/router"
)

// book keeps the servers that were told, so that each update tells what changed and no more. A server
// is known by its address: it stays the same whichever clusters and localities list it.
type book struct {
	clusters map[string]entry
	members  map[string]router.Endpoint // as told
	listed   map[string][]listing       // by address, in the order of the clusters' names
	told     bool
	drops    dropoverload.Fractions // as told
	pace     pace.Pacer
}

// entry is a cluster as it was last looked at.
type entry struct {
	assignment *resource.Assignment
	open       []bool // by endpoint
}

// listing is what one cluster says of a server.
type listing struct {
	cluster string
	e       resource.Endpoint
	open    bool
}

func newBook() *book {
	return &book{clusters: make(map[string]entry), members: make(map[string]router.Endpoint), listed: make(map[string][]listing)}
}

// update takes over what is in force, and returns the servers that changed; those that are gone are
// Removed. Clusters whose endpoints are as they were cost nothing, and of others those that changed.
func (b *book) update(applied map[string]ads.Applied) []router.Endpoint {
	touched := make(map[string]bool)
	for name, old := range b.clusters {
		if applied[name].Assignment == nil {
			for _, e := range old.assignment.Endpoints {
				b.unlist(name, e.Addr)
				touched[e.Addr] = true
			}
			delete(b.clusters, name)
		}
	}
	for name, a := range applied {
		if old := b.clusters[name]; a.Assignment != nil && a.Assignment != old.assignment {
			b.clusters[name] = b.list(name, old, a.Assignment, touched)
		}
	}
	var changed []router.Endpoint
	for i, addr := range slices.Sorted(maps.Keys(touched)) { // ids are addresses
		if i%pauseEvery == pauseEvery-1 {
			b.pace.Pause()
		}
		old, had := b.members[addr]
		m, has := b.member(addr)
		switch {
		case !has && had:
			old.Availability = policy.Removed
			changed = append(changed, old)
			delete(b.members, addr)
		case has && (!had || !discovery.Equal(old, m)):
			changed = append(changed, m)
			b.members[addr] = m
		}
	}
	return changed
}

// pauseEvery is after how many servers a large change may pause, as the reader of the resources does.
const pauseEvery = 32

// asked is what the clusters in force want dropped.
func (b *book) asked() dropoverload.Fractions {
	asked := make(dropoverload.Fractions)
	for name, e := range b.clusters {
		if e.assignment.Drop > 0 {
			asked[name] = e.assignment.Drop
		}
	}
	return asked
}

// change is what to tell of the servers that changed, and of requests to be dropped; nil for nothing. The
// first takes the place of whatever list the router began with, which nobody would ever take away
// otherwise.
func (b *book) change(members []router.Endpoint) *router.EndpointUpdate {
	c := &router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: members}
	if asked := b.asked(); !asked.Equal(b.drops) {
		b.drops, c.Drops = asked, asked
	}
	if len(members) == 0 && c.Drops == nil {
		return nil
	}
	if !b.told && len(members) > 0 {
		b.told, c.Kind = true, policy.ListReplace
	}
	return c
}

// unlist takes away what a cluster says of the server at an address.
func (b *book) unlist(name, addr string) {
	left := slices.DeleteFunc(b.listed[addr], func(l listing) bool { return l.cluster == name })
	if len(left) == 0 {
		delete(b.listed, addr)
	} else {
		b.listed[addr] = left
	}
}

// list takes over the endpoints of a cluster; old is what it had.
func (b *book) list(name string, old entry, a *resource.Assignment, touched map[string]bool) entry {
	next := entry{assignment: a, open: priority.Open(a)}
	var before []resource.Endpoint
	if old.assignment != nil {
		before = old.assignment.Endpoints
	}
	var places map[string]int // of those before, made where the order is another
	still := make([]bool, len(before))
	for i, e := range a.Endpoints {
		if i%pauseEvery == pauseEvery-1 {
			b.pace.Pause()
		}
		at, had := i, i < len(before) && before[i].Addr == e.Addr
		if !had && len(before) > 0 {
			if places == nil {
				places = make(map[string]int, len(before))
				for j := range before {
					places[before[j].Addr] = j
				}
			}
			at, had = places[e.Addr]
		}
		if had {
			still[at] = true
			if before[at] == e && old.open[at] == next.open[i] {
				continue
			}
			b.unlist(name, e.Addr)
		}
		all := append(b.listed[e.Addr], listing{name, e, next.open[i]})
		slices.SortFunc(all, func(x, y listing) int { return cmp.Compare(x.cluster, y.cluster) })
		b.listed[e.Addr] = all
		touched[e.Addr] = true
	}
	for j, e := range before {
		if j%pauseEvery == pauseEvery-1 {
			b.pace.Pause()
		}
		if !still[j] {
			b.unlist(name, e.Addr)
			touched[e.Addr] = true
		}
	}
	return next
}

// member puts together what the clusters say of a server. It drains where any of them says so, or where
// it is unhealthy; where it is merely not needed in one cluster, another may still open it, and it is
// then of that one's pool. It started when the latest of them says.
func (b *book) member(addr string) (router.Endpoint, bool) {
	all := b.listed[addr]
	if len(all) == 0 {
		return router.Endpoint{}, false
	}
	first := all[0].e
	m := router.Endpoint{
		ID: addr, Addr: addr, Zone: first.Zone, Kind: first.Kind, Cell: first.Cell, Weight: first.Weight,
		Started: first.Started, Availability: policy.Draining,
	}
	barred := false
	for _, l := range all {
		if l.e.Started.After(m.Started) {
			m.Started = l.e.Started
		}
		switch l.e.Health {
		case resource.Draining, resource.Unhealthy, resource.Timeout:
			barred = true
		}
		if l.open {
			m.Availability = policy.Running
			m.Pools = append(m.Pools, l.cluster)
		}
	}
	if barred {
		m.Availability, m.Pools = policy.Draining, nil
	}
	return m, true
}

// whole is all that is told, in order of id.
func (b *book) whole() []router.Endpoint {
	all := make([]router.Endpoint, 0, len(b.members))
	for _, m := range b.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b router.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// endpoints tells of each endpoint of each cluster whether it is used, or why not.
func (b *book) endpoints() (all []EndpointStatus) {
	for addr, listed := range b.listed {
		for _, l := range listed {
			use := "yes"
			switch {
			case l.e.Health == resource.Draining || l.e.Health == resource.Unhealthy || l.e.Health == resource.Timeout:
				use = "no: " + l.e.Health.String()
			case b.members[addr].Availability == policy.Draining && l.open:
				use = "no: another cluster bars it"
			case !l.open && l.e.Health == resource.Degraded:
				use = "no: enough others are healthy"
			case !l.open:
				use = "no: a higher priority has enough"
			}
			all = append(all, EndpointStatus{l.cluster, l.e, use})
		}
	}
	slices.SortFunc(all, func(x, y EndpointStatus) int {
		return cmp.Or(cmp.Compare(x.Cluster, y.Cluster), cmp.Compare(x.Addr, y.Addr))
	})
	return all
}
