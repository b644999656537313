// Package hold takes servers out for one node alone, whatever the list says of them: what an operator has asked
// for stays until he lifts it, and a server that can't prove who it is stays out until it does. Source is a
// router.EndpointSource round another.
package hold

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"cobaltward/policy"
	"cobaltward/router"
)

// Most is how many servers may be held out at once.
const Most = 1000

// What Drain and Lift may be refused for.
var (
	ErrUnknown = errors.New("no such server in the list")
	ErrMany    = fmt.Errorf("%d servers are drained by hand, and no more can be", Most)
	ErrNot     = errors.New("the server is not drained by hand")
)

// Source is a membership. Its methods may be called at once from many goroutines.
type Source struct {
	router.EndpointSource

	mu      sync.Mutex
	held    map[string]bool            // by hand
	refused map[string]bool            // they can't prove who they are
	members map[string]router.Endpoint // as the inner source says
	wake    chan struct{}              // something is in pending
	pending []string                   // servers whose state by hand has changed; each once
}

// New returns a source that says what inner does, but for servers that are drained by hand.
func New(inner router.EndpointSource) *Source {
	return &Source{EndpointSource: inner, held: make(map[string]bool), refused: make(map[string]bool), members: make(map[string]router.Endpoint), wake: make(chan struct{}, 1)}
}

// Begin tells which servers the router knows from the start.
func (s *Source) Begin(members []router.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		s.members[m.ID] = m
	}
}

// Run passes on what the inner source tells. All goes through this goroutine, so that news by hand and by the
// list never overtake one another.
func (s *Source) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	news := make(chan router.EndpointUpdate)
	var inner sync.WaitGroup
	defer inner.Wait()
	inner.Go(func() {
		s.EndpointSource.Run(ctx, func(c router.EndpointUpdate) {
			select {
			case news <- c:
			case <-ctx.Done():
			}
		})
	})
	for {
		select {
		case c := <-news:
			tell(s.change(c))
		case <-s.wake:
			if c := s.byHand(); len(c.Endpoints) > 0 {
				tell(c)
			}
		case <-ctx.Done():
			return
		}
	}
}

// change notes what the list says, and puts what was asked for by hand over it.
func (s *Source) change(c router.EndpointUpdate) router.EndpointUpdate {
	if c.Kind == policy.ListUnavailable {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Kind != policy.ListUpdate {
		clear(s.members)
	}
	for _, m := range c.Endpoints {
		if m.Availability == policy.Removed {
			delete(s.members, m.ID)
		} else {
			s.members[m.ID] = m
		}
	}
	if len(s.held)+len(s.refused) == 0 {
		return c
	}
	c.Endpoints = slices.Clone(c.Endpoints) // only read by the router, and others may hold it
	for i := range c.Endpoints {
		c.Endpoints[i] = s.over(c.Endpoints[i])
	}
	return c
}

func (s *Source) over(m router.Endpoint) router.Endpoint {
	if (s.held[m.ID] || s.refused[m.ID]) && m.Availability == policy.Running {
		m.Availability = policy.Draining
	}
	return m
}

// byHand is the news of servers whose state by hand has changed.
func (s *Source) byHand() router.EndpointUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := router.EndpointUpdate{Kind: policy.ListUpdate}
	for _, id := range s.pending {
		if m, ok := s.members[id]; ok {
			c.Endpoints = append(c.Endpoints, s.over(m))
		}
	}
	s.pending = nil
	return c
}

// Drain has the server get nothing new, until Lift.
func (s *Source) Drain(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch _, known := s.members[id]; {
	case s.held[id]:
		return nil
	case !known:
		return ErrUnknown
	case len(s.held) >= Most:
		return ErrMany
	}
	s.held[id] = true
	s.changed(id)
	return nil
}

// Lift takes Drain back. The server gets what the list says.
func (s *Source) Lift(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held[id] {
		return ErrNot
	}
	delete(s.held, id)
	s.changed(id)
	return nil
}

func (s *Source) changed(id string) {
	if !slices.Contains(s.pending, id) {
		s.pending = append(s.pending, id)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Refuse has a server get nothing new while it can't prove who it is, and takes that back. It waits for nobody.
func (s *Source) Refuse(id string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refused {
		s.refused[id] = true
	} else {
		delete(s.refused, id)
	}
	s.changed(id)
}

// Refused is the servers that can't prove who they are, in order.
func (s *Source) Refused() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.refused))
}

// Zones is the servers of the list by zone, each zone's in order.
func (s *Source) Zones() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		zone := s.members[id].Zone
		all[zone] = append(all[zone], id)
	}
	return all
}

// Held is the servers that are drained by hand, in order.
func (s *Source) Held() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]string, 0, len(s.held))
	for id := range s.held {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
