package xds

import (
	"cmp"
	"slices"

	"cobaltward/membership/xds/ads"
	"cobaltward/membership/xds/priority"
	"cobaltward/membership/xds/resource"
	"cobaltward/policy"
	"cobaltward/router"
)

// book keeps the servers that were told, so that each update tells what changed and no more. A server
// is known by its address: it stays the same whichever clusters and localities list it.
type book struct {
	clusters map[string]entry
	members  map[string]router.Member // as told
	listed   map[string][]listing     // by address, in the order of the clusters' names
	told     bool
}

// entry is a cluster as it was last looked at.
type entry struct {
	assignment *resource.Assignment
	addrs      []string
}

// listing is what one cluster says of a server.
type listing struct {
	cluster string
	e       resource.Endpoint
	open    bool
}

func newBook() *book {
	return &book{clusters: make(map[string]entry), members: make(map[string]router.Member), listed: make(map[string][]listing)}
}

// update takes over what is in force, and returns the servers that changed; those that are gone are
// Removed. Clusters whose endpoints are as they were cost nothing.
func (b *book) update(applied map[string]ads.Applied) []router.Member {
	touched := make(map[string]bool)
	for name, old := range b.clusters {
		if a, ok := applied[name]; !ok || a.Assignment != old.assignment {
			b.unlist(name, old, touched)
			delete(b.clusters, name)
		}
	}
	for name, a := range applied {
		if _, same := b.clusters[name]; !same && a.Assignment != nil {
			b.clusters[name] = b.list(name, a.Assignment, touched)
		}
	}
	var changed []router.Member
	for addr := range touched {
		old, had := b.members[addr]
		m, has := b.member(addr)
		switch {
		case !has && had:
			old.State = policy.Removed
			changed = append(changed, old)
			delete(b.members, addr)
		case has && (!had || !same(old, m)):
			changed = append(changed, m)
			b.members[addr] = m
		}
	}
	slices.SortFunc(changed, func(a, b router.Member) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// change is what to tell of the servers that changed. The first takes the place of whatever list the
// router began with, which nobody would ever take away otherwise.
func (b *book) change(members []router.Member) *router.Change {
	kind := policy.ListUpdate
	if !b.told {
		b.told, kind = true, policy.ListReplace
	}
	return &router.Change{Kind: kind, Members: members}
}

func (b *book) unlist(name string, old entry, touched map[string]bool) {
	for _, addr := range old.addrs {
		touched[addr] = true
		left := slices.DeleteFunc(b.listed[addr], func(l listing) bool { return l.cluster == name })
		if len(left) == 0 {
			delete(b.listed, addr)
		} else {
			b.listed[addr] = left
		}
	}
}

func (b *book) list(name string, a *resource.Assignment, touched map[string]bool) entry {
	e := entry{assignment: a, addrs: make([]string, len(a.Endpoints))}
	open := priority.Open(a)
	for i, ep := range a.Endpoints {
		e.addrs[i] = ep.Addr
		touched[ep.Addr] = true
		all := append(b.listed[ep.Addr], listing{name, ep, open[i]})
		slices.SortFunc(all, func(x, y listing) int { return cmp.Compare(x.cluster, y.cluster) })
		b.listed[ep.Addr] = all
	}
	return e
}

// member puts together what the clusters say of a server. It drains where any of them says so, or where
// it is unhealthy; where it is merely not needed in one cluster, another may still open it, and it is
// then of that one's pool. It started when the latest of them says.
func (b *book) member(addr string) (router.Member, bool) {
	all := b.listed[addr]
	if len(all) == 0 {
		return router.Member{}, false
	}
	first := all[0].e
	m := router.Member{ID: addr, Addr: addr, Zone: first.Zone, Kind: first.Kind, Cell: first.Cell, Weight: first.Weight,
		Started: first.Started, State: policy.Draining}
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
			m.State = policy.Running
			m.Pools = append(m.Pools, l.cluster)
		}
	}
	if barred {
		m.State, m.Pools = policy.Draining, nil
	}
	return m, true
}

func same(a, b router.Member) bool {
	return a.ID == b.ID && a.Addr == b.Addr && slices.Equal(a.Pools, b.Pools) && a.Zone == b.Zone && a.Kind == b.Kind &&
		a.Cell == b.Cell && a.Weight == b.Weight && a.Started.Equal(b.Started) && a.State == b.State
}

// whole is all that is told, in order of id.
func (b *book) whole() []router.Member {
	all := make([]router.Member, 0, len(b.members))
	for _, m := range b.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b router.Member) int { return cmp.Compare(a.ID, b.ID) })
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
			case b.members[addr].State == policy.Draining && l.open:
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
