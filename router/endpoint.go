package router

import (
	"context"
	"time"

	"cobaltward/dropoverload"
	"cobaltward/policy"
)

// EndpointSource provides the list of servers and its changes.
type EndpointSource interface {
	// Run passes each update to publish until ctx ends. publish may block while the router is busy, but returns at
	// once after the router has ended. The router calls Run once, in a goroutine that Close waits for.
	Run(ctx context.Context, publish func(EndpointUpdate))
	// SetPolling turns polling for updates on or off, as the balancer requests. It must not block.
	SetPolling(on bool)
}

// EndpointUpdate is a change of the endpoint list.
type EndpointUpdate struct {
	Kind      policy.ListKind
	Endpoints []Endpoint // not changed by the router
	// Drops, if not nil, replaces the fractions of requests to drop, by pool. The router rejects these requests
	// without the balancer. The router does not change the map.
	Drops dropoverload.Fractions
	// Outage is the time, by the monotonic clock, for which the source received no answer before this update, because
	// its calls failed or got no response. It is 0 if there was no outage. The changes in this update may have
	// happened at any time during the outage.
	Outage time.Duration
	more   bool // whether other batches of the same update follow
}

// Endpoint describes one server.
type Endpoint struct {
	ID           string      // stable across updates, and the same on every node
	Addr         string      // host:port, or another form that the transport accepts
	Pools        []string    // pools that contain the server; nil: none
	Zone         string      // empty: unknown
	Kind         string      // empty: unknown
	Cell         policy.Cell // the zero value: unknown
	Weight       float64
	Started      time.Time // start of the server process; zero: long ago
	Availability policy.Availability
	// ZoneUncertain is whether the process may be in another zone, because reports contradict each other or describe an
	// earlier process. Zone is then used for placement, but not to find servers that discard duplicates.
	ZoneUncertain bool
	// StartUnknown is whether the start time of the process is unknown. Without a start time, the process otherwise
	// started long ago.
	StartUnknown bool
}

// StaticEndpoints is an EndpointSource that never publishes an update. Reload replaces the endpoint list.
type StaticEndpoints struct{}

var _ EndpointSource = StaticEndpoints{}

// Run waits until ctx ends.
func (StaticEndpoints) Run(ctx context.Context, _ func(EndpointUpdate)) { <-ctx.Done() }

// SetPolling does nothing: there is nothing to poll.
func (StaticEndpoints) SetPolling(bool) {}
