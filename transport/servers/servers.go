// Package servers holds what a transport keeps for each server of the endpoint list. Moves, restarts and drains of
// servers thus follow the same rules for every protocol.
package servers

import (
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// Server is one process of one server, with the state that a transport keeps for it.
type Server[S any] struct {
	ID, Addr string
	Started  time.Time

	Endpoint       router.Endpoint // the current entry of the list; the fields above do not change
	DrainStartedAt time.Time       // when the list reported it as draining or removed; zero while it is running
	State          S

	removed bool // it was removed from the list without having been draining
}

// Table holds the servers of an endpoint list. It is not safe for concurrent use.
type Table[S any] struct {
	onRemove func(*Server[S])
	byID     map[string]*Server[S]
	idByAddr map[string]string
}

// New returns an empty table. onRemove is called for each server that leaves it.
func New[S any](onRemove func(*Server[S])) Table[S] {
	return Table[S]{onRemove: onRemove, byID: make(map[string]*Server[S]), idByAddr: make(map[string]string)}
}

// Get returns a server, or nil.
func (t *Table[S]) Get(id string) *Server[S] { return t.byID[id] }

// All returns the servers by ID. The caller must not change the map.
func (t *Table[S]) All() map[string]*Server[S] { return t.byID }

// Update applies a change of the list. A server that moved or restarted is removed and added, since the connections to
// its former process are of no use.
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

// removeUnlisted removes the servers that a complete list does not name.
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

// add adds a server, unless one that started later has its address: only the last process at an address can be reached
// there, and it must not get requests for the other one.
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

// updateEndpoint stores an entry of the list, and when its server began to drain.
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

// remove removes a server. For attempts that are still connecting to it, it is like one that is draining.
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

// WritesForbidden reports whether nothing may be written to the server any more: it has been draining or removed for
// the grace. A grace of 0 does not apply to a server that was removed without having been draining.
func (s *Server[S]) WritesForbidden(grace time.Duration) bool {
	if s.DrainStartedAt.IsZero() || s.removed && grace == 0 {
		return false
	}
	return time.Since(s.DrainStartedAt) >= grace
}
