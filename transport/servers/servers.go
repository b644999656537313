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
	ID, Addr string
	Started  time.Time
	Listed   router.Endpoint // as the list has it now; what is above does not change
	Drained  time.Time       // when the list said that it drains or is gone; zero while it runs
	gone     bool            // it is not listed any more, and no grace is known where none is told
	Pool     P
}

// Table is the servers of a list. It isn't safe for concurrent use.
type Table[P any] struct {
	drop func(*Server[P]) // ends what is held for one that is gone
	byID map[string]*Server[P]
	at   map[string]string // the server at each address
}

// New returns an empty table. drop is called for each server that leaves it.
func New[P any](drop func(*Server[P])) Table[P] {
	return Table[P]{drop: drop, byID: make(map[string]*Server[P]), at: make(map[string]string)}
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
			t.forget(m.ID)
		case s == nil || s.Addr != m.Addr || !s.Started.Equal(m.Started):
			t.forget(m.ID)
			t.take(m)
		}
		t.drain(m)
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
			t.forget(id)
		}
	}
}

// take puts m in, unless another server has its address by now: of two at one address the one that
// started last is there, and what is meant for the other must not reach it.
func (t *Table[P]) take(m router.Endpoint) {
	if id, taken := t.at[m.Addr]; taken {
		if t.byID[id].Started.After(m.Started) {
			return
		}
		t.forget(id)
	}
	t.byID[m.ID], t.at[m.Addr] = &Server[P]{ID: m.ID, Addr: m.Addr, Started: m.Started}, m.ID
}

// drain notes what else the list says of m, and since when it drains.
func (t *Table[P]) drain(m router.Endpoint) {
	s := t.byID[m.ID]
	if s != nil {
		s.Listed = m
	}
	switch {
	case s == nil:
	case m.Availability != policy.Draining:
		s.Drained = time.Time{}
	case s.Drained.IsZero():
		s.Drained = time.Now()
	}
}

// forget drops a server. Attempts may still be making connections to it: for them it is as one that drains.
func (t *Table[P]) forget(id string) {
	if s := t.byID[id]; s != nil {
		if s.Drained.IsZero() {
			s.Drained, s.gone = time.Now(), true
		}
		t.drop(s)
		delete(t.byID, id)
		delete(t.at, s.Addr) // no two of them have one address
	}
}

// Closed tells whether nothing may be written to s any more: it has drained, or was gone, for the grace.
func (s *Server[P]) Closed(grace time.Duration) bool {
	return !s.Drained.IsZero() && !(s.gone && grace == 0) && time.Since(s.Drained) >= grace
}
