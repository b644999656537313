// Package servers has the table in which a transport keeps its state for each server of the endpoint list. All
// transports use the table, so that moves, restarts and drains follow the same rules for every protocol.
package servers

import (
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// Server is one process of a listed server, with the state S that a transport keeps for the process.
type Server[S any] struct {
	ID, Addr string
	Started  time.Time

	Endpoint       router.Endpoint // current entry of the endpoint list; the fields above never change
	DrainStartedAt time.Time       // start of the drain, or time of the removal; zero: neither
	State          S               // state that the transport keeps

	removed bool // whether the server was removed from the endpoint list without a drain
}

// Table holds the servers of an endpoint list. It is not safe for concurrent use.
type Table[S any] struct {
	onRemove func(*Server[S])
	byID     map[string]*Server[S]
	idByAddr map[string]string
}

// New returns an empty table. onRemove is called for each server that is removed from the table.
func New[S any](onRemove func(*Server[S])) Table[S] {
	return Table[S]{onRemove: onRemove, byID: make(map[string]*Server[S]), idByAddr: make(map[string]string)}
}

// Get returns the server with the given ID; nil if the table does not have that server.
func (t *Table[S]) Get(id string) *Server[S] { return t.byID[id] }

// All returns the servers by ID. The caller must not change the map.
func (t *Table[S]) All() map[string]*Server[S] { return t.byID }

// Update applies a change of the endpoint list. A server that moved or restarted is removed and added again, since
// the connections to its former process are unusable.
func (t *Table[S]) Update(update router.EndpointUpdate) {
	for _, endpoint := range update.Endpoints {
		known := t.byID[endpoint.ID]
		switch {
		case endpoint.Availability == policy.Removed:
			t.remove(endpoint.ID)
		case known == nil || known.Addr != endpoint.Addr || !known.Started.Equal(endpoint.Started):
			t.remove(endpoint.ID)
			t.add(endpoint)
		}
		t.updateEndpoint(endpoint)
	}
	if update.Kind != policy.ListUpdate {
		t.removeUnlisted(update.Endpoints)
	}
}

// removeUnlisted removes the servers that are missing from endpoints, a complete endpoint list.
func (t *Table[S]) removeUnlisted(endpoints []router.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	for id := range t.byID {
		if !listed[id] {
			t.remove(id)
		}
	}
}

// add adds the server that endpoint describes. It does nothing if a server that started later has the same address.
// Only the last process at an address can be reached, and it must not receive requests for an earlier process.
func (t *Table[S]) add(endpoint router.Endpoint) {
	if id, taken := t.idByAddr[endpoint.Addr]; taken {
		if t.byID[id].Started.After(endpoint.Started) {
			return
		}
		t.remove(id)
	}
	t.byID[endpoint.ID] = &Server[S]{ID: endpoint.ID, Addr: endpoint.Addr, Started: endpoint.Started}
	t.idByAddr[endpoint.Addr] = endpoint.ID
}

// updateEndpoint stores endpoint, an entry of the endpoint list, and records the start of a drain.
func (t *Table[S]) updateEndpoint(endpoint router.Endpoint) {
	server := t.byID[endpoint.ID]
	if server == nil {
		return
	}
	server.Endpoint = endpoint
	switch {
	case endpoint.Availability != policy.Draining:
		server.DrainStartedAt = time.Time{}
	case server.DrainStartedAt.IsZero():
		server.DrainStartedAt = time.Now()
	}
}

// remove removes the server with the given ID. Attempts that still hold the Server see it as draining from now on.
func (t *Table[S]) remove(id string) {
	server := t.byID[id]
	if server == nil {
		return
	}
	if server.DrainStartedAt.IsZero() {
		server.DrainStartedAt, server.removed = time.Now(), true
	}
	t.onRemove(server)
	delete(t.byID, id)
	delete(t.idByAddr, server.Addr) // addresses are unique within the table
}

// WritesForbidden reports whether nothing more may be written to s, because grace has passed since its drain or
// removal. With a grace of 0, a server that was removed without a drain may still be written to. Nothing may be written
// once another process has the address: a connection that was being opened may have reached that process.
func (t *Table[S]) WritesForbidden(s *Server[S], grace time.Duration) bool {
	if id, taken := t.idByAddr[s.Addr]; taken && t.byID[id] != s {
		return true
	}
	if s.DrainStartedAt.IsZero() || s.removed && grace == 0 {
		return false
	}
	return time.Since(s.DrainStartedAt) >= grace
}
