package main

import (
	"context"
	"time"

	"cobaltward/discovery/xds"
	"cobaltward/discovery/xds/xdspb"
	"cobaltward/policy"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

// node is a router in this process that gets its endpoints from a control plane.
type node struct {
	router  *router.Router
	updates <-chan time.Time // times at which the router had applied the updates
}

func newNode(addr string, delta bool) (*node, error) {
	source, err := xds.New(xds.Config{
		Servers: []xds.Server{{Addr: addr}}, Node: &xdspb.Node{Id: "bench"}, Delta: delta,
	})
	if err != nil {
		return nil, err
	}
	updates := make(chan time.Time, 1<<12)
	observed := &observedSource{EndpointSource: source, updates: updates}
	settings := policy.Settings{
		Nodes: 1, Zone: "a",
		Classes: []policy.Class{{
			Name: "read", LatencyObjective: time.Second, Deadline: 3 * time.Second, Idempotency: policy.Idempotent,
		}},
		Capabilities: policy.Capabilities{MaxAttempts: 3}, Rules: policy.Rules{DrainGrace: 500 * time.Millisecond},
	}
	engine, err := router.New(router.Config{Settings: settings},
		router.WithEndpointSource(observed), router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		return nil, err
	}
	observed.router = engine
	return &node{router: engine, updates: updates}, nil
}

// observedSource is an endpoint source that reports when the router has applied each update.
type observedSource struct {
	router.EndpointSource
	router  *router.Router
	updates chan<- time.Time
}

// Run runs the wrapped source. It sends to updates the time at which the router has applied each update.
func (s *observedSource) Run(ctx context.Context, notify func(router.EndpointUpdate)) {
	s.EndpointSource.Run(ctx, func(update router.EndpointUpdate) {
		notify(update)
		s.router.Stats() // returns once the event loop has applied the update
		s.updates <- time.Now()
	})
}
