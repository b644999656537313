// Package mixed is a router.Transport of several: each server is spoken to in the protocol that it speaks.
package mixed

import (
	"context"
	"sync"

	"cobaltward/policy"
	"cobaltward/router"
)

// Transport hands each server to one of several transports.
type Transport struct {
	selectTransport func(router.Endpoint) int
	transports      []router.Transport

	mu       sync.RWMutex
	byServer map[string]int // by server
}

var (
	_ router.Transport         = (*Transport)(nil)
	_ router.ConnectionCounter = (*Transport)(nil)
	_ router.WriteCounter      = (*Transport)(nil)
)

// New returns a transport that has server m spoken to by transports[of(m)]. It closes them all.
func New(of func(m router.Endpoint) int, transports ...router.Transport) *Transport {
	return &Transport{selectTransport: of, transports: transports, byServer: make(map[string]int)}
}

// Attempt has the server's own transport make the attempt.
func (t *Transport) Attempt(ctx context.Context, server string, r *router.Request) router.Result {
	t.mu.RLock()
	i, ok := t.byServer[server]
	t.mu.RUnlock()
	if !ok {
		return router.Result{Code: policy.ConnectFailed} // not in the list
	}
	return t.transports[i].Attempt(ctx, server, r)
}

// Configure tells all of them.
func (t *Transport) Configure(s policy.Settings) {
	for _, x := range t.transports {
		x.Configure(s)
	}
}

// Update tells each of its servers. One that comes to speak another protocol leaves the former transport.
func (t *Transport) Update(c router.EndpointUpdate) {
	parts := make([][]router.Endpoint, len(t.transports))
	t.mu.Lock()
	if c.Kind != policy.ListUpdate {
		clear(t.byServer)
	}
	for _, m := range c.Endpoints {
		i := t.selectTransport(m)
		if was, ok := t.byServer[m.ID]; ok && was != i {
			gone := m
			gone.Availability = policy.Removed
			parts[was] = append(parts[was], gone)
		}
		if m.Availability == policy.Removed {
			delete(t.byServer, m.ID)
		} else {
			t.byServer[m.ID] = i
		}
		parts[i] = append(parts[i], m)
	}
	t.mu.Unlock()
	for i, x := range t.transports {
		if len(parts[i]) > 0 || c.Kind != policy.ListUpdate {
			x.Update(router.EndpointUpdate{Kind: c.Kind, Endpoints: parts[i]})
		}
	}
}

// CloseIdle passes it on to the server's own.
func (t *Transport) CloseIdle(server string) {
	t.mu.RLock()
	i, ok := t.byServer[server]
	t.mu.RUnlock()
	if ok {
		t.transports[i].CloseIdle(server)
	}
}

// Conns is the number of connections of those that tell.
func (t *Transport) Conns() (n int) {
	for _, x := range t.transports {
		if c, ok := x.(router.ConnectionCounter); ok {
			n += c.Conns()
		}
	}
	return n
}

// Written is the number of attempts that went out whole, by those that tell.
func (t *Transport) Written() (n uint64) {
	for _, x := range t.transports {
		if w, ok := x.(router.WriteCounter); ok {
			n += w.Written()
		}
	}
	return n
}

// Close closes all of them.
func (t *Transport) Close() {
	for _, x := range t.transports {
		x.Close()
	}
}
