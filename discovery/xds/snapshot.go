package xds

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/discovery"
	"cobaltward/discovery/xds/ads"
	"cobaltward/discovery/xds/priority"
	"cobaltward/discovery/xds/resource"
	"cobaltward/dropoverload"
	"cobaltward/internal/cpuyield"
	"cobaltward/policy"
	"cobaltward/router"
)

// yieldInterval is the number of servers after which a large change may yield the processor. The decoder of
// assignments uses the same interval.
const yieldInterval = 32

// snapshot contains the list of servers as last published. Each update contains the differences from this list. A
// server is identified by its address, regardless of which clusters and localities list the server. A snapshot is not
// safe for concurrent use.
type snapshot struct {
	clusters         map[string]clusterState
	published        map[string]router.Endpoint  // endpoints as last published, by address
	listings         map[string][]clusterListing // listings of each server, by address; sorted by cluster name
	initialPublished bool                        // whether the first list of servers has been published
	drops            dropoverload.Fractions      // fractions of requests to drop, as last published
	yielder          cpuyield.Yielder
}

// clusterState is the state of a cluster as last applied.
type clusterState struct {
	assignment *resource.Assignment
	eligible   []bool // whether each endpoint may get new work, by index in assignment.Endpoints
}

// clusterListing is the entry of a server in one cluster.
type clusterListing struct {
	cluster  string
	endpoint resource.Endpoint
	eligible bool // whether the server gets new work, by health and priority
}

// excluded reports whether the endpoint's health excludes the server from new work in all clusters.
func (l *clusterListing) excluded() bool {
	switch l.endpoint.Health {
	case resource.Draining, resource.Unhealthy, resource.Timeout:
		return true
	default:
		return false
	}
}

// reported returns what the listing says about the process at the address.
func (l *clusterListing) reported() router.Endpoint {
	endpoint := &l.endpoint
	return router.Endpoint{
		Zone: endpoint.Zone, Kind: endpoint.Kind, Cell: endpoint.KnownCell(), Started: endpoint.Started,
	}
}

func newSnapshot() *snapshot {
	return &snapshot{
		clusters:  make(map[string]clusterState),
		published: make(map[string]router.Endpoint),
		listings:  make(map[string][]clusterListing),
	}
}

// apply stores the clusters that are now in effect and returns the servers that have changed. Servers that are no
// longer listed have Availability Removed. A cluster whose assignment is still the same object is skipped. For other
// clusters, only the endpoints that differ are processed.
func (s *snapshot) apply(applied map[string]ads.AppliedCluster) []router.Endpoint {
	touched := make(map[string]bool) // set of addresses whose servers may have changed
	for name, former := range s.clusters {
		if applied[name].Assignment == nil {
			for _, endpoint := range former.assignment.Endpoints {
				s.removeListing(name, endpoint.Addr)
				touched[endpoint.Addr] = true
			}
			delete(s.clusters, name)
		}
	}
	for name, cluster := range applied {
		former := s.clusters[name]
		if cluster.Assignment != nil && cluster.Assignment != former.assignment {
			s.clusters[name] = s.applyAssignment(name, former, cluster.Assignment, touched)
		}
	}
	return s.changes(touched)
}

// changes returns the endpoints to publish for the touched addresses, sorted by address.
func (s *snapshot) changes(touched map[string]bool) []router.Endpoint {
	var changed []router.Endpoint
	for i, addr := range slices.Sorted(maps.Keys(touched)) {
		s.yieldAt(i)
		former, wasPublished := s.published[addr]
		endpoint, listed := s.mergeListings(addr)
		switch {
		case !listed && wasPublished:
			former.Availability = policy.Removed
			changed = append(changed, former)
			delete(s.published, addr)
		case listed && (!wasPublished || !discovery.Equal(former, endpoint)):
			changed = append(changed, endpoint)
			s.published[addr] = endpoint
		}
	}
	return changed
}

// yieldAt may yield the processor after every yieldInterval servers. i is the index of the current server.
func (s *snapshot) yieldAt(i int) {
	if i%yieldInterval == yieldInterval-1 {
		s.yielder.YieldIfDue()
	}
}

// dropOverloads returns the fraction of requests to drop for each cluster that has a drop overload.
func (s *snapshot) dropOverloads() dropoverload.Fractions {
	fractions := make(dropoverload.Fractions)
	for name, cluster := range s.clusters {
		if cluster.assignment.Drop > 0 {
			fractions[name] = cluster.assignment.Drop
		}
	}
	return fractions
}

// endpointUpdate returns the update with the changed servers and with changed drop overloads, or nil if nothing has
// changed. The first list of servers replaces the list that the router started with. No other update would remove the
// servers that the router started with.
func (s *snapshot) endpointUpdate(changed []router.Endpoint) *router.EndpointUpdate {
	update := &router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: changed}
	if drops := s.dropOverloads(); !drops.Equal(s.drops) {
		s.drops, update.Drops = drops, drops
	}
	if len(changed) == 0 && update.Drops == nil {
		return nil
	}
	if !s.initialPublished && len(changed) > 0 {
		s.initialPublished, update.Kind = true, policy.ListReplace
	}
	return update
}

// formerEndpoints looks up endpoints of a cluster's former assignment by address.
type formerEndpoints struct {
	endpoints []resource.Endpoint
	positions map[string]int // index of each endpoint, by address; built after the first wrong guess of an index
}

// position returns the index of the endpoint with address addr. It checks the index guess first.
func (f *formerEndpoints) position(addr string, guess int) (position int, found bool) {
	if guess < len(f.endpoints) && f.endpoints[guess].Addr == addr {
		return guess, true
	}
	if len(f.endpoints) == 0 {
		return 0, false
	}
	if f.positions == nil {
		f.positions = make(map[string]int, len(f.endpoints))
		for i := range f.endpoints {
			f.positions[f.endpoints[i].Addr] = i
		}
	}
	position, found = f.positions[addr]
	return position, found
}

// applyAssignment replaces the assignment of a cluster and returns the new state of the cluster. It adds the
// addresses whose listings change to touched.
func (s *snapshot) applyAssignment(
	cluster string, former clusterState, assignment *resource.Assignment, touched map[string]bool,
) clusterState {
	next := clusterState{assignment: assignment, eligible: priority.Eligible(assignment)}
	var before formerEndpoints
	if former.assignment != nil {
		before.endpoints = former.assignment.Endpoints
	}
	retained := make([]bool, len(before.endpoints))
	for i, endpoint := range assignment.Endpoints {
		s.yieldAt(i)
		position, had := before.position(endpoint.Addr, i)
		if had {
			retained[position] = true
			if before.endpoints[position] == endpoint && former.eligible[position] == next.eligible[i] {
				continue
			}
			s.removeListing(cluster, endpoint.Addr)
		}
		s.addListing(clusterListing{cluster, endpoint, next.eligible[i]})
		touched[endpoint.Addr] = true
	}
	for i, endpoint := range before.endpoints {
		s.yieldAt(i)
		if !retained[i] {
			s.removeListing(cluster, endpoint.Addr)
			touched[endpoint.Addr] = true
		}
	}
	return next
}

// addListing adds a cluster's listing of a server that the cluster does not list yet.
func (s *snapshot) addListing(listing clusterListing) {
	listings := append(s.listings[listing.endpoint.Addr], listing)
	slices.SortFunc(listings, func(x, y clusterListing) int { return cmp.Compare(x.cluster, y.cluster) })
	s.listings[listing.endpoint.Addr] = listings
}

// removeListing removes a cluster's listing of the server at an address.
func (s *snapshot) removeListing(cluster, addr string) {
	rest := slices.DeleteFunc(s.listings[addr], func(l clusterListing) bool { return l.cluster == cluster })
	if len(rest) == 0 {
		delete(s.listings, addr)
	} else {
		s.listings[addr] = rest
	}
}

// mergeListings combines the listings of the server at an address, and reports whether any cluster lists the server.
// The server is draining if any cluster marks it as draining or unhealthy. If the server is ineligible in a cluster
// only because of its priority level, other clusters may still use the server. The pools of the server are the
// clusters in which it is eligible. Its start time is the latest start time in the listings. Its zone, kind and cell
// come from the listings of that process.
func (s *snapshot) mergeListings(addr string) (router.Endpoint, bool) {
	listings := s.listings[addr]
	if len(listings) == 0 {
		return router.Endpoint{}, false
	}
	first := &listings[0].endpoint
	merged := router.Endpoint{
		ID: addr, Addr: addr, Weight: first.Weight, Started: latestStart(listings), Availability: policy.Draining,
	}
	merged.StartUnknown = merged.Started.IsZero()
	setAttributes(&merged, listings)
	excluded := false
	for i := range listings {
		excluded = excluded || listings[i].excluded()
		if listings[i].eligible {
			merged.Availability = policy.Running
			merged.Pools = append(merged.Pools, listings[i].cluster)
		}
	}
	if excluded {
		merged.Availability, merged.Pools = policy.Draining, nil
	}
	return merged, true
}

// latestStart returns the latest start time in listings.
func latestStart(listings []clusterListing) (latest time.Time) {
	for i := range listings {
		if started := listings[i].endpoint.Started; started.After(latest) {
			latest = started
		}
	}
	return latest
}

// setAttributes sets the zone, kind and cell of merged, which is the newest process in listings.
func setAttributes(merged *router.Endpoint, listings []clusterListing) {
	if len(listings) == 1 {
		endpoint := &listings[0].endpoint
		merged.Zone, merged.Kind, merged.Cell = endpoint.Zone, endpoint.Kind, endpoint.KnownCell()
		return
	}
	var attributes discovery.Attributes
	for i := range listings {
		if reported := listings[i].reported(); !discovery.IsEarlierProcess(reported.Started, merged.Started) {
			attributes.Add(&reported)
		}
	}
	for i := range listings {
		reported := listings[i].reported()
		attributes.AddEarlierProcess(&reported)
	}
	attributes.SetOn(merged)
}

// endpoints returns the complete list as last published, sorted by id.
func (s *snapshot) endpoints() []router.Endpoint {
	endpoints := make([]router.Endpoint, 0, len(s.published))
	for _, endpoint := range s.published {
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, func(x, y router.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return endpoints
}
