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
	"cobaltward/internal/cpuyield"
	"cobaltward/policy"
	"cobaltward/router"
)

// pauseInterval is after how many servers a large change may pause, as the decoder of assignments does.
const pauseInterval = 32

// snapshot is the list of servers as last published, so that each update holds only the changes. A server
// is identified by its address: it stays the same whichever clusters and localities list it. It is not safe for
// concurrent use.
type snapshot struct {
	clusters         map[string]clusterState
	published        map[string]router.Endpoint  // by address
	listings         map[string][]clusterListing // by address, in order of the clusters' names
	initialPublished bool                        // the first list of servers has been published
	drops            dropoverload.Fractions      // as published
	pacer            cpuyield.Yielder
}

// clusterState is a cluster as it was last applied.
type clusterState struct {
	assignment *resource.Assignment
	eligible   []bool // by index of the endpoint
}

// clusterListing is what one cluster says of a server.
type clusterListing struct {
	cluster  string
	endpoint resource.Endpoint
	eligible bool // for new work, by health and priority
}

// excluded reports whether the endpoint's health bars the server from new work in every cluster.
func (l clusterListing) excluded() bool {
	switch l.endpoint.Health {
	case resource.Draining, resource.Unhealthy, resource.Timeout:
		return true
	default:
		return false
	}
}

func newSnapshot() *snapshot {
	return &snapshot{
		clusters:  make(map[string]clusterState),
		published: make(map[string]router.Endpoint),
		listings:  make(map[string][]clusterListing),
	}
}

// apply takes over the clusters in force and returns the servers that have changed; those that are gone are Removed.
// Clusters whose assignment is the same object cost nothing, and of others only the endpoints that differ.
func (s *snapshot) apply(applied map[string]ads.AppliedCluster) []router.Endpoint {
	touched := make(map[string]bool) // addresses
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

// changes returns the updates to publish for the servers at the touched addresses, in order of address.
func (s *snapshot) changes(touched map[string]bool) []router.Endpoint {
	var changed []router.Endpoint
	for i, addr := range slices.Sorted(maps.Keys(touched)) {
		s.pauseAt(i)
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

// pauseAt lets other work run after every pauseInterval-th server.
func (s *snapshot) pauseAt(i int) {
	if i%pauseInterval == pauseInterval-1 {
		s.pacer.YieldIfDue()
	}
}

// dropOverloads is the part of the requests that each cluster in force asks to be dropped.
func (s *snapshot) dropOverloads() dropoverload.Fractions {
	fractions := make(dropoverload.Fractions)
	for name, cluster := range s.clusters {
		if cluster.assignment.Drop > 0 {
			fractions[name] = cluster.assignment.Drop
		}
	}
	return fractions
}

// endpointUpdate is what to publish of the servers that have changed and of drop overloads; nil for nothing. The first
// list of servers replaces the list that the router started with, which nothing else would ever remove.
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

// formerEndpoints finds endpoints in the former assignment of a cluster.
type formerEndpoints struct {
	endpoints []resource.Endpoint
	positions map[string]int // by address; built when the order of the new assignment first differs
}

// position is where the endpoint with an address is; guess is tried first.
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

// applyAssignment takes over the new assignment of a cluster, adds the addresses whose listings change to touched, and
// returns the cluster's new state.
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
		s.pauseAt(i)
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
		s.pauseAt(i)
		if !retained[i] {
			s.removeListing(cluster, endpoint.Addr)
			touched[endpoint.Addr] = true
		}
	}
	return next
}

// addListing adds what a cluster says of a server that it has no listing of.
func (s *snapshot) addListing(listing clusterListing) {
	listings := append(s.listings[listing.endpoint.Addr], listing)
	slices.SortFunc(listings, func(x, y clusterListing) int { return cmp.Compare(x.cluster, y.cluster) })
	s.listings[listing.endpoint.Addr] = listings
}

// removeListing removes what a cluster says of the server at an address.
func (s *snapshot) removeListing(cluster, addr string) {
	rest := slices.DeleteFunc(s.listings[addr], func(l clusterListing) bool { return l.cluster == cluster })
	if len(rest) == 0 {
		delete(s.listings, addr)
	} else {
		s.listings[addr] = rest
	}
}

// mergeListings is the server at an address as all clusters together have it, and whether any lists it. It is draining
// where any of them says that it drains or is unhealthy. Where one merely does not need it, another may still use it;
// it is then in the pool of that one alone. Its start time is the latest of all.
func (s *snapshot) mergeListings(addr string) (router.Endpoint, bool) {
	listings := s.listings[addr]
	if len(listings) == 0 {
		return router.Endpoint{}, false
	}
	first := listings[0].endpoint
	merged := router.Endpoint{
		ID: addr, Addr: addr, Zone: first.Zone, Kind: first.Kind, Cell: first.Cell, Weight: first.Weight,
		Started: first.Started, Availability: policy.Draining,
	}
	excluded := false
	for _, listing := range listings {
		if listing.endpoint.Started.After(merged.Started) {
			merged.Started = listing.endpoint.Started
		}
		excluded = excluded || listing.excluded()
		if listing.eligible {
			merged.Availability = policy.Running
			merged.Pools = append(merged.Pools, listing.cluster)
		}
	}
	if excluded {
		merged.Availability, merged.Pools = policy.Draining, nil
	}
	return merged, true
}

// endpoints is the whole list as published, in order of id.
func (s *snapshot) endpoints() []router.Endpoint {
	endpoints := make([]router.Endpoint, 0, len(s.published))
	for _, endpoint := range s.published {
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, func(x, y router.Endpoint) int { return cmp.Compare(x.ID, y.ID) })
	return endpoints
}
