package standin

import (
	"maps"
	"slices"
	"strconv"

	"cobaltward/discovery/xds/resource"
	"cobaltward/discovery/xds/xdspb"

	"google.golang.org/protobuf/proto"
)

// subscription is the subscription of a stream to one type. It records the versions that the client has.
type subscription struct {
	requested bool
	names     map[string]bool // set of names subscribed to; nil: all
	sent      map[string]int  // versions sent, or reported by the client, by name
	responses int             // number of state-of-the-world responses sent so far
}

// update applies the subscriptions of a request.
func (s *subscription) update(request RecordedRequest, delta bool) {
	s.requested = true
	if request.Type == resource.AssignmentURL && (s.names == nil || !delta) {
		s.names = make(map[string]bool)
	}
	for _, name := range slices.Concat(request.Names, request.Subscribe) {
		if s.names != nil {
			s.names[name] = true
		}
	}
	for _, name := range request.Unsubscribe {
		delete(s.names, name)
		delete(s.sent, name)
	}
	if !delta && s.names != nil {
		maps.DeleteFunc(s.sent, func(name string, _ int) bool { return !s.names[name] })
	}
	for name, text := range request.Initial {
		if version, err := strconv.Atoi(text); err == nil {
			s.sent[name] = version
		}
	}
}

// includes reports whether a name is subscribed to.
func (s *subscription) includes(name string) bool { return s.names == nil || s.names[name] }

// nextResponse returns a response with the changes that s has not received yet, or nil if s is up to date.
func (p *ControlPlane) nextResponse(url string, s *subscription, delta bool) proto.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.requested {
		return nil
	}
	if delta {
		if response := p.deltaResponse(url, s); response != nil {
			return response
		}
	} else if response := p.sotwResponse(url, s); response != nil {
		return response
	}
	return nil
}

// sotwResponse returns the next state-of-the-world response, or nil if the subscription is up to date. The response
// contains all clusters, but only the changed resources of other types. The caller holds the lock.
func (p *ControlPlane) sotwResponse(url string, sub *subscription) *xdspb.DiscoveryResponse {
	response := &xdspb.DiscoveryResponse{VersionInfo: strconv.Itoa(p.version), TypeUrl: url}
	stale := url == resource.ClusterURL && sub.responses == 0
	for _, name := range slices.Sorted(maps.Keys(p.resources[url])) {
		current := p.resources[url][name]
		if !sub.includes(name) {
			continue
		}
		changed := sub.sent[name] != current.version
		if url == resource.ClusterURL || changed {
			response.Resources = append(response.Resources, current.body)
		}
		stale = stale || changed
		sub.sent[name] = current.version
	}
	removed := p.pruneRemoved(url, sub)
	stale = stale || len(removed) > 0 && url == resource.ClusterURL
	if !stale {
		return nil
	}
	sub.responses++
	return response
}

// deltaResponse returns the next incremental response, or nil if the subscription is up to date. The caller holds the
// lock.
func (p *ControlPlane) deltaResponse(url string, s *subscription) *xdspb.DeltaDiscoveryResponse {
	response := &xdspb.DeltaDiscoveryResponse{SystemVersionInfo: strconv.Itoa(p.version), TypeUrl: url}
	for _, name := range slices.Sorted(maps.Keys(p.resources[url])) {
		current := p.resources[url][name]
		if s.includes(name) && s.sent[name] != current.version {
			response.Resources = append(response.Resources,
				&xdspb.Resource{Name: name, Version: strconv.Itoa(current.version), Resource: current.body})
			s.sent[name] = current.version
		}
	}
	response.RemovedResources = p.pruneRemoved(url, s)
	if len(response.Resources)+len(response.RemovedResources) == 0 {
		return nil
	}
	return response
}

// pruneRemoved returns the names of sent resources that no longer exist, and deletes them from the sent versions.
func (p *ControlPlane) pruneRemoved(url string, s *subscription) []string {
	var removed []string
	for name := range s.sent {
		if _, ok := p.resources[url][name]; !ok {
			removed = append(removed, name)
			delete(s.sent, name)
		}
	}
	return removed
}
