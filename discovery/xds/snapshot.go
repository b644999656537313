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

// snapshot keeps the servers that were told, so that each update tells what changed and no more. A server
// is known by its address: it stays the same whichever clusters and localities list it.
type snapshot struct {
	clusters map[string]clusterState
	published  map[string]router.Endpoint // as told
	listings   map[string][]clusterListing       // by address, in the order of the clusters' names
	initialPublished     bool
	drops    dropoverload.Fractions // as told
	pacer     pace.Pacer
}

// clusterState is a cluster as it was last looked at.
type clusterState struct {
	assignment *resource.Assignment
	eligible       []bool // by endpoint
}

// clusterListing is what one cluster says of a server.
type clusterListing struct {
	cluster string
	endpoint       resource.Endpoint
	eligible    bool
}

func newSnapshot() *snapshot {
	return &snapshot{clusters: make(map[string]clusterState), published: make(map[string]router.Endpoint), listings: make(map[string][]clusterListing)}
}

// apply takes over what is in force, and returns the servers that changed; those that are gone are
// Removed. Clusters whose endpoints are as they were cost nothing, and of others those that changed.
func (b *snapshot) apply(applied map[string]ads.AppliedCluster) []router.Endpoint {
	touched := make(map[string]bool)
	for name, old := range b.clusters {
		if applied[name].Assignment == nil {
			for _, e := range old.assignment.Endpoints {
				b.removeListing(name, e.Addr)
				touched[e.Addr] = true
			}
			delete(b.clusters, name)
		}
	}
	for name, a := range applied {
		if old := b.clusters[name]; a.Assignment != nil && a.Assignment != old.assignment {
			b.clusters[name] = b.applyAssignment(name, old, a.Assignment, touched)
		}
	}
	var changed []router.Endpoint
	for i, addr := range slices.Sorted(maps.Keys(touched)) { // ids are addresses
		if i%pauseInterval == pauseInterval-1 {
			b.pacer.Pause()
		}
		old, had := b.published[addr]
		m, has := b.mergeListings(addr)
		switch {
		case !has && had:
			old.Availability = policy.Removed
			changed = append(changed, old)
			delete(b.published, addr)
		case has && (!had || !discovery.Equal(old, m)):
			changed = append(changed, m)
			b.published[addr] = m
		}
	}
	return changed
}

// pauseInterval is after how many servers a large change may pause, as the reader of the resources does.
const pauseInterval = 32

// dropOverloads is what the clusters in force want dropped.
func (b *snapshot) dropOverloads() dropoverload.Fractions {
	asked := make(dropoverload.Fractions)
	for name, e := range b.clusters {
		if e.assignment.Drop > 0 {
			asked[name] = e.assignment.Drop
		}
	}
	return asked
}

// endpointUpdate is what to tell of the servers that changed, and of requests to be dropped; nil for nothing. The
// first takes the place of whatever list the router began with, which nobody would ever take away
// otherwise.
func (b *snapshot) endpointUpdate(members []router.Endpoint) *router.EndpointUpdate {
	c := &router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: members}
	if asked := b.dropOverloads(); !asked.Equal(b.drops) {
		b.drops, c.Drops = asked, asked
	}
	if len(members) == 0 && c.Drops == nil {
		return nil
	}
	if !b.initialPublished && len(members) > 0 {
		b.initialPublished, c.Kind = true, policy.ListReplace
	}
	return c
}

// removeListing takes away what a cluster says of the server at an address.
func (b *snapshot) removeListing(name, addr string) {
	left := slices.DeleteFunc(b.listings[addr], func(l clusterListing) bool { return l.cluster == name })
	if len(left) == 0 {
		delete(b.listings, addr)
	} else {
		b.listings[addr] = left
	}
}

// applyAssignment takes over the endpoints of a cluster; old is what it had.
func (b *snapshot) applyAssignment(name string, old clusterState, a *resource.Assignment, touched map[string]bool) clusterState {
	next := clusterState{assignment: a, eligible: priority.Eligible(a)}
	var before []resource.Endpoint
	if old.assignment != nil {
		before = old.assignment.Endpoints
	}
	var places map[string]int // of those before, made where the order is another
	still := make([]bool, len(before))
	for i, e := range a.Endpoints {
		if i%pauseInterval == pauseInterval-1 {
			b.pacer.Pause()
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
			if before[at] == e && old.eligible[at] == next.eligible[i] {
				continue
			}
			b.removeListing(name, e.Addr)
		}
		all := append(b.listings[e.Addr], clusterListing{name, e, next.eligible[i]})
		slices.SortFunc(all, func(x, y clusterListing) int { return cmp.Compare(x.cluster, y.cluster) })
		b.listings[e.Addr] = all
		touched[e.Addr] = true
	}
	for j, e := range before {
		if j%pauseInterval == pauseInterval-1 {
			b.pacer.Pause()
		}
		if !still[j] {
			b.removeListing(name, e.Addr)
			touched[e.Addr] = true
		}
	}
	return next
}

// mergeListings puts together what the clusters say of a server. It drains where any of them says so, or where
// it is unhealthy; where it is merely not needed in one cluster, another may still open it, and it is
// then of that one's pool. It started when the latest of them says.
func (b *snapshot) mergeListings(addr string) (router.Endpoint, bool) {
	all := b.listings[addr]
	if len(all) == 0 {
		return router.Endpoint{}, false
	}
	first := all[0].endpoint
	m := router.Endpoint{
		ID: addr, Addr: addr, Zone: first.Zone, Kind: first.Kind, Cell: first.Cell, Weight: first.Weight,
		Started: first.Started, Availability: policy.Draining,
	}
	barred := false
	for _, l := range all {
		if l.endpoint.Started.After(m.Started) {
			m.Started = l.endpoint.Started
		}
		switch l.endpoint.Health {
		case resource.Draining, resource.Unhealthy, resource.Timeout:
			barred = true
		}
		if l.eligible {
			m.Availability = policy.Running
			m.Pools = append(m.Pools, l.cluster)
		}
	}
	if barred {
		m.Availability, m.Pools = policy.Draining, nil
	}
	return m, true
}

// endpoints is all that is told, in order of id.
func (b *snapshot) endpoints() []router.Endpoint {
	all := make([]router.Endpoint, 0, len(b.published))
	for _, m := range b.published {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b router.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// endpointStatuses tells of each endpoint of each cluster whether it is used, or why not.
func (b *snapshot) endpointStatuses() (all []EndpointStatus) {
	for addr, listed := range b.listings {
		for _, l := range listed {
			use := "yes"
			switch {
			case l.endpoint.Health == resource.Draining || l.endpoint.Health == resource.Unhealthy || l.endpoint.Health == resource.Timeout:
				use = "no: " + l.endpoint.Health.String()
			case b.published[addr].Availability == policy.Draining && l.eligible:
				use = "no: another cluster bars it"
			case !l.eligible && l.endpoint.Health == resource.Degraded:
				use = "no: enough others are healthy"
			case !l.eligible:
				use = "no: a higher priority has enough"
			}
			all = append(all, EndpointStatus{l.cluster, l.endpoint, use})
		}
	}
	slices.SortFunc(all, func(x, y EndpointStatus) int {
		return cmp.Or(cmp.Compare(x.Cluster, y.Cluster), cmp.Compare(x.Addr, y.Addr))
	})
	return all
}
