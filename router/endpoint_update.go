package router

import (
	"time"

	"cobaltward/internal/cpuyield"
	"cobaltward/policy"
)

const (
	// updateBatchSize is the number of entries of an endpoint update that the loop handles at a time. The balancer
	// can sort so few entries in place, and the loop can handle requests between batches.
	updateBatchSize = 4
	// maxReusedEndpoints is the maximum capacity of loop.endpointBuffer that is kept for reuse.
	maxReusedEndpoints = 4 * updateBatchSize
)

// endpointSummary is the part of an endpoint that Stats counts.
type endpointSummary struct {
	availability policy.Availability
	pools        []string
}

// enqueueUpdate passes update to the loop. It blocks while the loop is busy. A large update is split into batches,
// with running servers first. This order keeps the number of running servers from dropping below the smaller of its
// old and new values.
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

// byAvailability returns endpoints sorted by their availability: running, draining, removed.
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

// sendUpdate queues update, which is a single batch. It returns false if the loop has ended.
func (l *loop) sendUpdate(update EndpointUpdate) bool {
	select {
	case l.endpointUpdates <- update:
		return true
	case <-l.done:
		return false
	}
}

// applyPendingUpdate applies the queued endpoint update, if there is one, before the event that the loop has taken.
// Requests queue up while the host does not run the loop. None of these requests may go to a server that is draining.
func (l *loop) applyPendingUpdate() {
	select {
	case update := <-l.endpointUpdates:
		l.updateEndpoints(update)
	default:
	}
}

// updateEndpoints applies update, to the transport first and then to the balancer.
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

// balancerEndpoint converts endpoint to the type that the balancer uses.
func (l *loop) balancerEndpoint(endpoint *Endpoint) policy.Endpoint {
	online := l.clock.serverStart(endpoint.Started)
	return policy.Endpoint{
		Server:        endpoint.ID,
		Zone:          endpoint.Zone,
		ZoneUncertain: endpoint.ZoneUncertain,
		Kind:          endpoint.Kind,
		Pools:         endpoint.Pools,
		Cell:          endpoint.Cell,
		Weight:        endpoint.Weight,
		OnlineSince:   online,
		SlowStartAt:   l.starts.slowStartSince(endpoint.ID, endpoint.Started, online, l.clock.now()),
		Availability:  endpoint.Availability,
		StartUnknown:  endpoint.StartUnknown,
	}
}

// recordEndpoints records the summaries of the endpoints in update for Stats.
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
