// Package merge combines several endpoint sources into one. A server is identified by its address. If several sources
// list the same address, they describe the same server, and its id comes from the first of these sources. An attribute
// that a source leaves out comes from the first source that reports it. If any source drains or removes a server, the
// server gets no new work. The source that drains or removes the server is assumed to have the newest data.
//
// Reports about an earlier process at the address neither drain the current process nor say in which zone or cell it
// is. A report is about an earlier process if its start time is earlier, or if the current process started after the
// report was received. A report without a start time may be about any process that started before it was received.
package merge

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"cobaltward/discovery"
	"cobaltward/dropoverload"
	"cobaltward/policy"
	"cobaltward/router"
)

// Source merges several endpoint sources. Its methods are safe for concurrent use.
type Source struct {
	// Log receives a warning when sources contradict each other. It must be set before Run is called.
	Log *slog.Logger

	sources []router.EndpointSource

	mu        sync.Mutex
	servers   map[string]*mergedServer // reports about each server, by address
	addresses []map[string]string      // for each source: address of each listed endpoint, by endpoint ID
	drops     []dropoverload.Fractions // for each source: drop fractions of its last update
}

var _ router.EndpointSource = (*Source)(nil)

// New merges sources. If several sources list a server, the first of these sources determines its id.
func New(sources ...router.EndpointSource) *Source {
	s := &Source{
		Log:     slog.New(slog.DiscardHandler),
		sources: sources,
		servers: make(map[string]*mergedServer),
		drops:   make([]dropoverload.Fractions, len(sources)),
	}
	for range sources {
		s.addresses = append(s.addresses, make(map[string]string))
	}
	return s
}

// SetPolling passes the router's request to every source.
func (s *Source) SetPolling(on bool) {
	for _, source := range s.sources {
		source.SetPolling(on)
	}
}

// SetInitial records endpoints as already published by the source with the given index. endpoints is the list that
// the router starts with.
func (s *Source) SetInitial(source int, endpoints []router.Endpoint) {
	update := router.EndpointUpdate{Kind: policy.ListReplace, Endpoints: endpoints}
	s.apply(source, update, func(router.EndpointUpdate) {})
}

// Run runs every source in a separate goroutine. It returns after ctx has ended and all sources have returned.
func (s *Source) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	var running sync.WaitGroup
	for i, source := range s.sources {
		running.Go(func() {
			source.Run(ctx, func(update router.EndpointUpdate) { s.apply(i, update, publish) })
		})
	}
	running.Wait()
}

// apply stores an update of the source with the given index and publishes the resulting changes. It holds the lock
// while publishing. Updates are therefore published in the order in which they are applied.
func (s *Source) apply(source int, update router.EndpointUpdate, publish func(router.EndpointUpdate)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Kind == policy.ListUnavailable {
		publish(update)
		return
	}
	touched := make(map[string]bool) // set of addresses whose servers may have changed
	now := time.Now()
	if update.Kind != policy.ListUpdate {
		s.removeUnlisted(source, update.Endpoints, now, touched)
	}
	for i := range update.Endpoints {
		s.applyEndpoint(source, &update.Endpoints[i], now, touched)
	}
	merged := router.EndpointUpdate{Kind: policy.ListUpdate, Endpoints: s.changes(touched)}
	if update.Drops != nil {
		s.drops[source] = update.Drops
		merged.Drops = dropoverload.Merge(s.drops...)
	}
	if len(merged.Endpoints) > 0 || merged.Drops != nil {
		publish(merged)
	}
}

// removeUnlisted handles endpoints, a complete list of the source with the given index. If the source listed a server
// earlier and endpoints does not contain the server, removeUnlisted marks the server as removed.
func (s *Source) removeUnlisted(source int, endpoints []router.Endpoint, now time.Time, touched map[string]bool) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.Addr] = true
	}
	for addr, server := range s.servers {
		if server.reports[source].isListed() && !listed[addr] {
			s.markRemoved(source, addr, now, touched)
		}
	}
}

// applyEndpoint stores the data that a source reports about one endpoint.
func (s *Source) applyEndpoint(source int, endpoint *router.Endpoint, now time.Time, touched map[string]bool) {
	removed := endpoint.Availability == policy.Removed
	former, had := s.addresses[source][endpoint.ID]
	if had && (removed || former != endpoint.Addr) { // the server was removed or has moved to another address
		s.markRemoved(source, former, now, touched)
	}
	if removed {
		return
	}
	s.addresses[source][endpoint.ID] = endpoint.Addr
	server := s.servers[endpoint.Addr]
	if server == nil {
		server = &mergedServer{reports: make([]sourceReport, len(s.sources))}
		s.servers[endpoint.Addr] = server
	}
	server.reports[source].set(endpoint, now)
	touched[endpoint.Addr] = true
}

// markRemoved records that a source no longer lists the server at an address.
func (s *Source) markRemoved(source int, addr string, now time.Time, touched map[string]bool) {
	report := &s.servers[addr].reports[source]
	report.remove(now)
	if id := report.endpoint.ID; s.addresses[source][id] == addr {
		delete(s.addresses[source], id)
	}
	touched[addr] = true
}

// changes returns the endpoints to publish for the touched addresses. Removals come first, because the id of a
// removed server may now belong to another server.
func (s *Source) changes(touched map[string]bool) []router.Endpoint {
	var removals, others, contradicted []router.Endpoint
	for addr := range touched {
		server := s.servers[addr]
		wasContradicted := server.contradicted
		endpoint, listed := server.merge()
		if server.contradicted && !wasContradicted {
			contradicted = append(contradicted, endpoint)
		}
		if server.isPublished && (!listed || endpoint.ID != server.published.ID) {
			former := server.published
			former.Availability = policy.Removed
			removals = append(removals, former)
			server.isPublished = false
		}
		switch {
		case !listed:
			delete(s.servers, addr)
		case !server.isPublished || !discovery.Equal(server.published, endpoint):
			others = append(others, endpoint)
			server.published, server.isPublished = endpoint, true
		}
	}
	byID := func(a, b router.Endpoint) int { return strings.Compare(a.ID, b.ID) }
	s.logContradictions(contradicted)
	slices.SortFunc(removals, byID)
	slices.SortFunc(others, byID)
	return append(removals, others...)
}

// logContradictions logs one line for the servers about which the sources have begun to contradict each other.
func (s *Source) logContradictions(servers []router.Endpoint) {
	if len(servers) == 0 {
		return
	}
	first := servers[0]
	s.Log.Warn("discovery: sources contradict each other, keyed requests that may have run there are not retried",
		"servers", len(servers), "first", first.ID, "address", first.Addr, "zone", first.Zone, "cell", first.Cell.String())
}
