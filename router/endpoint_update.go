package router

import (
	"time"

	"cobaltward/internal/cpuyield"
	"cobaltward/policy"
)

const (
	// updateBatchSize is how many entries of an endpoint update the loop handles at a time. It is small enough for the
	// balancer to sort the entries in place, and for requests to be handled between batches.
	updateBatchSize = 4
	// maxReusedEndpoints is the largest capacity of loop.endpointBuffer that is kept.
	maxReusedEndpoints = 4 * updateBatchSize
)

// endpointSummary is the part of an endpoint that Stats counts.
type endpointSummary struct {
	availability policy.Availability
	pools        []string
}

// enqueueUpdate passes an endpoint update to the loop. A large update is split into batches, running servers first,
// so that at no time there are fewer of them than both before and after the update. It blocks while the loop is busy.
func (l *loop) enqueueUpdate(update EndpointUpdate) {
	endpoints := update.Endpoints
	if update.Kind == policy.ListUpdate && len(endpoints) > updateBatchSize {
		endpoints = byAvailability(endpoints)
		var yielder cpuyield.Yielder
		for len(endpoints) > updateBatchSize {
			batch := update
			batch.Endpoints, batch.Drops, batch.more = endpoints[:updateBatchSize], nil, true
			if !l.sendUpdate(batch) {
				return
			}
			endpoints = endpoints[updateBatchSize:]
			yielder.YieldIfDue()
		}
	}
	update.Endpoints = endpoints
	l.sendUpdate(update)
}

// byAvailability returns the endpoints in the order of their availability: running, draining, removed.
func byAvailability(endpoints []Endpoint) []Endpoint {
	ordered := make([]Endpoint, 0, len(endpoints))
	for availability := policy.Running; availability <= policy.Removed; availability++ {
		for i := range endpoints {
			if endpoints[i].Availability == availability {
				ordered = append(ordered, endpoints[i])
			}
		}
	}
	return ordered
}

// sendUpdate queues one batch; it returns false if the loop has ended.
func (l *loop) sendUpdate(update EndpointUpdate) bool {
	select {
	case l.endpointUpdates <- update:
		return true
	case <-l.done:
		return false
	}
}

// applyPendingUpdate applies the queued endpoint update, if there is one, before the event that the loop has taken.
// If the host has not run the loop for a while, requests have queued up, and none of them may go to a server that is
// draining.
func (l *loop) applyPendingUpdate() {
	select {
	case update := <-l.endpointUpdates:
		l.updateEndpoints(update)
	default:
	}
}

// updateEndpoints applies an endpoint update: to the transport first, then to the balancer.
func (l *loop) updateEndpoints(update EndpointUpdate) {
	if update.Kind == policy.ListUnavailable {
		l.stats.EndpointList.Failures++
	} else {
		l.transport.Update(update)
		l.stats.EndpointList.Updates++
		l.stats.EndpointList.LastUpdate = time.Now()
		l.recordEndpoints(update)
		if update.Drops != nil {
			l.drops = update.Drops
		}
	}
	l.starts.beginUpdate(update.Outage, l.clock.wallStep())
	endpoints := l.endpointBuffer[:0]
	for i := range update.Endpoints {
		endpoints = append(endpoints, l.balancerEndpoint(&update.Endpoints[i]))
	}
	l.starts.prune(l.endpoints)
	l.notify(policy.EndpointList{Kind: update.Kind, Endpoints: endpoints, More: update.more})
	if cap(endpoints) <= maxReusedEndpoints {
		l.endpointBuffer = endpoints
	}
}

// balancerEndpoint converts an endpoint to the form that the balancer uses.
func (l *loop) balancerEndpoint(endpoint *Endpoint) policy.Endpoint {
	online := l.clock.serverStart(endpoint.Started)
	return policy.Endpoint{
		Server:       endpoint.ID,
		Zone:         endpoint.Zone,
		Kind:         endpoint.Kind,
		Pools:        endpoint.Pools,
		Cell:         endpoint.Cell,
		Weight:       endpoint.Weight,
		OnlineSince:  online,
		SlowStartAt:  l.starts.slowStartSince(endpoint.ID, endpoint.Started, online, l.clock.now()),
		Availability: endpoint.Availability,
	}
}

// recordEndpoints updates the summaries of endpoints for Stats.
func (l *loop) recordEndpoints(update EndpointUpdate) {
	if update.Kind != policy.ListUpdate {
		clear(l.endpoints)
	}
	for i := range update.Endpoints {
		endpoint := &update.Endpoints[i]
		if endpoint.Availability == policy.Removed {
			delete(l.endpoints, endpoint.ID)
		} else {
			l.endpoints[endpoint.ID] = endpointSummary{endpoint.Availability, endpoint.Pools}
		}
	}
}
