// Package servers keeps what a transport holds for each server of the list: the same rules on moves,
// restarts and drains for every protocol.
package servers

import (
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// Server is one process of one server, with what the transport holds for it.
type Server[P any] struct {
	ID, Addr       string
	Started        time.Time
	Endpoint       router.Endpoint // as the list has it now; what is above does not change
	DrainStartedAt time.Time       // when the list said that it drains or is gone; zero while it runs
	removed        bool            // it is not listed any more, and no grace is known where none is told
	State          P
}

// Table is the servers of a list. It isn't safe for concurrent use.
type Table[P any] struct {
	onRemove func(*Server[P]) // ends what is held for one that is gone
	byID     map[string]*Server[P]
	idByAddr map[string]string // the server at each address
}

// New returns an empty table. drop is called for each server that leaves it.
func New[P any](drop func(*Server[P])) Table[P] {
	return Table[P]{onRemove: drop, byID: make(map[string]*Server[P]), idByAddr: make(map[string]string)}
}

// Get returns a server, or nil.
func (t *Table[P]) Get(id string) *Server[P] { return t.byID[id] }

// All are the servers by id. It must not be changed.
func (t *Table[P]) All() map[string]*Server[P] { return t.byID }

// Update follows the list. A server that moved or started anew is another one: what was open to its
// former process is of no use.
func (t *Table[P]) Update(c router.EndpointUpdate) {
	for _, m := range c.Endpoints {
		s := t.byID[m.ID]
		switch {
		case m.Availability == policy.Removed:
			t.remove(m.ID)
		case s == nil || s.Addr != m.Addr || !s.Started.Equal(m.Started):
			t.remove(m.ID)
			t.add(m)
		}
		t.updateEndpoint(m)
	}
	if c.Kind == policy.ListUpdate {
		return
	}
	listed := make(map[string]bool, len(c.Endpoints))
	for i := range c.Endpoints {
		listed[c.Endpoints[i].ID] = true
	}
	for id := range t.byID {
		if !listed[id] {
			t.remove(id)
		}
	}
}

// add puts m in, unless another server has its address by now: of two at one address the one that
// started last is there, and what is meant for the other must not reach it.
func (t *Table[P]) add(m router.Endpoint) {
	if id, taken := t.idByAddr[m.Addr]; taken {
		if t.byID[id].Started.After(m.Started) {
			return
		}
		t.remove(id)
	}
	t.byID[m.ID], t.idByAddr[m.Addr] = &Server[P]{ID: m.ID, Addr: m.Addr, Started: m.Started}, m.ID
}

// updateEndpoint notes what else the list says of m, and since when it drains.
func (t *Table[P]) updateEndpoint(m router.Endpoint) {
	s := t.byID[m.ID]
	if s != nil {
		s.Endpoint = m
	}
	switch {
	case s == nil:
	case m.Availability != policy.Draining:
		s.DrainStartedAt = time.Time{}
	case s.DrainStartedAt.IsZero():
		s.DrainStartedAt = time.Now()
	}
}

// remove drops a server. Attempts may still be making connections to it: for them it is as one that drains.
func (t *Table[P]) remove(id string) {
	if s := t.byID[id]; s != nil {
		if s.DrainStartedAt.IsZero() {
			s.DrainStartedAt, s.removed = time.Now(), true
		}
		t.onRemove(s)
		delete(t.byID, id)
		delete(t.idByAddr, s.Addr) // no two of them have one address
	}
}

// WritesForbidden tells whether nothing may be written to s any more: it has drained, or was gone, for the grace.
func (s *Server[P]) WritesForbidden(grace time.Duration) bool {
	return !s.DrainStartedAt.IsZero() && !(s.removed && grace == 0) && time.Since(s.DrainStartedAt) >= grace
}
