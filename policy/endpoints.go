package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const watchRetryDelay = 2 * time.Second // maximum mean delay before a failed watch is repeated; randomized

func (b *Balancer) watchEndpoints() { b.emit(Action{Kind: WatchEndpoints, On: true}) }

func (b *Balancer) onEndpointList(list EndpointList) {
	switch {
	case list.Kind == ListUnavailable:
		mean := min(watchRetryDelay, cmp.Or(2*b.settings.Rules.MaxPollInterval, watchRetryDelay))
		wait := time.Duration((0.5 + b.rng.Float64()) * float64(mean))
		b.emit(Action{Kind: SetTimer, Wait: wait, Token: endpointTimerToken})
		return
	case list.Kind == ListRestored && b.settings.Subscribe:
		b.watchEndpoints()
	}
	if list.Kind != ListUpdate { // remove servers that are missing from a complete list
		former := b.servers
		b.servers = make(map[string]*server, len(list.Endpoints))
		for _, endpoint := range list.Endpoints {
			if s := former[endpoint.Server]; s != nil {
				b.servers[endpoint.Server] = s
			}
		}
	}
	isSmall := len(list.Endpoints) <= maxIncrementalChanges && !b.linearScan
	if list.Kind == ListUpdate && isSmall && b.runningByZone != nil {
		b.applyChanges(list.Endpoints)
	} else {
		for _, endpoint := range list.Endpoints {
			b.applyEndpoint(endpoint)
		}
		b.rebuildOrder()
	}
	if !list.More { // wait for all parts, because a later part may drain a server
		b.dispatchQueued()
	}
}

func (b *Balancer) applyEndpoint(entry Endpoint) {
	if entry.Availability == Removed {
		delete(b.servers, entry.Server)
		return
	}
	s := b.servers[entry.Server]
	if s == nil || s.OnlineSince != entry.OnlineSince { // new server or new process: nothing is learned yet
		latency := b.settings.Classes[0].LatencyObjective.Seconds() / 4
		s = &server{lastLatency: latency, nameHash: hashString(entry.Server)}
		// Start with a random fraction of a token. Without it, all nodes that discover the server together would send
		// at the same time.
		s.slowStart = slowStartBucket{tokens: b.rng.Float64(), lastRefill: b.now}
		b.servers[entry.Server] = s
	}
	s.setEndpoint(entry, b.now)
}

// rebuildOrder rebuilds all pools. Servers in this node's zone come first, because traffic between zones is costly.
// Servers within the zone, and all other servers, are each ordered by ID, starting at the node's offset.
func (b *Balancer) rebuildOrder() {
	b.runningByZone = make(map[string]int)
	for p := range b.pools {
		p.partitions, p.ejectedCount = [2][]*server{}, 0
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		if s := b.servers[id]; s.inService() {
			b.addServer(s)
		}
	}
	b.updateOrder(nil)
}

// applyChanges applies a short list of changed endpoints without rebuilding the pools.
func (b *Balancer) applyChanges(endpoints []Endpoint) {
	added, changed := make([]*server, 0, maxIncrementalChanges), false
	for _, entry := range endpoints {
		former := b.servers[entry.Server]
		wasInService := former.inService()
		if wasInService && entry.Availability == Running && former.OnlineSince == entry.OnlineSince &&
			former.Zone == entry.Zone && former.Kind == entry.Kind && slices.Equal(former.Pools, entry.Pools) {
			former.setEndpoint(entry, b.now) // the other fields don't affect the order
			continue
		}
		if wasInService {
			b.removeServer(former)
			added = slices.DeleteFunc(added, func(s *server) bool { return s == former })
		}
		b.applyEndpoint(entry)
		s := b.servers[entry.Server]
		if s.inService() {
			b.addServer(s)
			added = append(added, s)
		}
		changed = changed || wasInService || s.inService()
	}
	if changed {
		b.updateOrder(added)
	}
}

// updateOrder recomputes the order of each pool after servers were added or removed, and assigns this node's subset.
// added lists the added servers. If added is nil, all servers count as added.
func (b *Balancer) updateOrder(added []*server) {
	b.forgetRetiredClasses()
	formerSubset, coveredZone := b.order[:b.subsetSize], b.subsetSize == b.localCount
	for p := range b.pools {
		b.arrangePool(p)
	}
	b.zoneCount = len(b.runningByZone)
	evenShare := (b.localCount*b.zoneCount + b.settings.Nodes - 1) / b.settings.Nodes
	b.subsetSize = min(b.localCount, max(minSubsetSize, evenShare))
	if b.settings.KeyAffinity { // all nodes of a zone send a key to the same servers
		b.subsetSize = b.localCount
	}
	if added == nil {
		for i, s := range b.order {
			b.assignSubset(s, i < b.subsetSize)
		}
		return
	}
	if !coveredZone || b.subsetSize < b.localCount { // skip if the subset was and still is the whole zone
		b.replaceSubset(formerSubset)
	}
	slices.SortFunc(added, func(x, y *server) int { return b.position(x) - b.position(y) })
	for _, s := range added {
		b.assignSubset(s, b.position(s) < b.subsetSize)
	}
}

// replaceSubset moves the inSubset mark from the former subset to the servers at the start of the order.
func (b *Balancer) replaceSubset(former []*server) {
	subset := b.order[:b.subsetSize]
	for _, s := range subset {
		s.inNewSubset = true
	}
	for _, s := range former {
		if !s.inNewSubset && b.servers[s.Server] == s && s.inService() { // skip servers whose process was replaced
			s.inSubset = false
		}
	}
	for _, s := range subset {
		s.inNewSubset = false
		b.assignSubset(s, true)
	}
}

// assignSubset records whether s is in this node's subset. If s joins the subset, its threshold is raised to at least
// the initial threshold. A server without a threshold gets the initial threshold.
func (b *Balancer) assignSubset(s *server, inSubset bool) {
	wasInSubset := s.inSubset
	s.inSubset = inSubset
	if inSubset && !wasInSubset { // the nodes that sent s most of its load may no longer do so
		s.threshold = max(s.threshold, b.initialThreshold(s))
	}
	if s.threshold == 0 {
		s.threshold = b.initialThreshold(s)
		s.lastSend = b.now - durationFromSeconds(b.rng.Float64()*s.lastLatency/s.threshold)
	}
}
