// Package mixed combines several transports into one router.Transport, for servers that use different protocols.
package mixed

import (
	"context"
	"sync"

	"cobaltward/policy"
	"cobaltward/router"
)

// Transport assigns each server to one of several transports. Its methods may be called concurrently.
type Transport struct {
	selectTransport func(router.Endpoint) int
	transports      []router.Transport

	mu       sync.RWMutex
	byServer map[string]int // index into transports, by server ID
}

var (
	_ router.Transport         = (*Transport)(nil)
	_ router.ConnectionCounter = (*Transport)(nil)
	_ router.WriteCounter      = (*Transport)(nil)
)

// New returns a transport that assigns each endpoint to transports[selectTransport(endpoint)]. The returned transport
// owns transports, and closes them in Close.
func New(selectTransport func(router.Endpoint) int, transports ...router.Transport) *Transport {
	return &Transport{
		selectTransport: selectTransport,
		transports:      transports,
		byServer:        make(map[string]int),
	}
}

// Attempt makes an attempt at server with server's transport.
func (t *Transport) Attempt(ctx context.Context, server string, r *router.Request) router.Result {
	transport := t.transportOf(server)
	if transport == nil {
		return router.Result{Code: policy.ConnectFailed} // not in the endpoint list
	}
	return transport.Attempt(ctx, server, r)
}

// transportOf returns the transport of server; nil if the server is not in the endpoint list.
func (t *Transport) transportOf(server string) router.Transport {
	t.mu.RLock()
	defer t.mu.RUnlock()
	i, ok := t.byServer[server]
	if !ok {
		return nil
	}
	return t.transports[i]
}

// Configure passes s to all transports.
func (t *Transport) Configure(s policy.Settings) {
	for _, transport := range t.transports {
		transport.Configure(s)
	}
}

// Update passes each transport the changes of its own servers. If a server moves to another transport, it is removed
// from its former transport.
func (t *Transport) Update(update router.EndpointUpdate) {
	for i, endpoints := range t.assign(update) {
		if len(endpoints) > 0 || update.Kind != policy.ListUpdate {
			t.transports[i].Update(router.EndpointUpdate{Kind: update.Kind, Endpoints: endpoints})
		}
	}
}

// assign groups the endpoints of update by the index of their transport.
func (t *Transport) assign(update router.EndpointUpdate) [][]router.Endpoint {
	assigned := make([][]router.Endpoint, len(t.transports))
	t.mu.Lock()
	defer t.mu.Unlock()
	if update.Kind != policy.ListUpdate {
		clear(t.byServer)
	}
	for _, endpoint := range update.Endpoints {
		i := t.selectTransport(endpoint)
		if former, ok := t.byServer[endpoint.ID]; ok && former != i {
			removed := endpoint
			removed.Availability = policy.Removed
			assigned[former] = append(assigned[former], removed)
		}
		if endpoint.Availability == policy.Removed {
			delete(t.byServer, endpoint.ID)
		} else {
			t.byServer[endpoint.ID] = i
		}
		assigned[i] = append(assigned[i], endpoint)
	}
	return assigned
}

// CloseIdle closes the idle connections to server.
func (t *Transport) CloseIdle(server string) {
	if transport := t.transportOf(server); transport != nil {
		transport.CloseIdle(server)
	}
}

// Conns returns the number of open connections of all transports.
func (t *Transport) Conns() (total int) {
	for _, transport := range t.transports {
		if counter, ok := transport.(router.ConnectionCounter); ok {
			total += counter.Conns()
		}
	}
	return total
}

// Written returns the total number of written attempts, as counted by the transports.
func (t *Transport) Written() (total uint64) {
	for _, transport := range t.transports {
		if counter, ok := transport.(router.WriteCounter); ok {
			total += counter.Written()
		}
	}
	return total
}

// Close closes all transports.
func (t *Transport) Close() {
	for _, transport := range t.transports {
		transport.Close()
	}
}
