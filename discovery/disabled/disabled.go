// Package disabled takes servers out of service at a single node, regardless of their state in the endpoint list. A
// server that an operator has disabled stays out of service until an operator enables it again. A server that could
// not prove its identity stays out of service until its identity is proven. Source wraps another endpoint source.
package disabled

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

// MaxDisabled is the maximum number of servers that may be disabled at the same time.
const MaxDisabled = 1000

// Errors of Disable and Enable. A call that returns one of these errors changes nothing.
var (
	// ErrUnknownServer is returned if the endpoint list does not contain the server.
	ErrUnknownServer = errors.New("no such server in the list")
	// ErrTooManyDisabled is returned if MaxDisabled servers are already disabled.
	ErrTooManyDisabled = fmt.Errorf("cannot disable more than %d servers", MaxDisabled)
	// ErrNotDisabled is returned if the server to enable is not disabled.
	ErrNotDisabled = errors.New("the server is not drained by hand")
)

// Source publishes the updates of the wrapped source, with disabled and untrusted servers marked as draining. Its
// methods are safe for concurrent use.
type Source struct {
	router.EndpointSource

	mu            sync.Mutex
	disabled      map[string]bool            // ids of servers that an operator has disabled
	untrusted     map[string]bool            // ids of servers that could not prove their identity
	endpoints     map[string]router.Endpoint // last published endpoints of the wrapped source, by id
	pending       []string                   // ids of servers with unpublished changes, without duplicates
	pendingSignal chan struct{}              // contains a token while pending is not empty
}

// New returns a source that wraps another source. Initially no servers are disabled.
func New(wrapped router.EndpointSource) *Source {
	return &Source{
		EndpointSource: wrapped,
		disabled:       make(map[string]bool),
		untrusted:      make(map[string]bool),
		endpoints:      make(map[string]router.Endpoint),
		pendingSignal:  make(chan struct{}, 1),
	}
}

// SetInitial sets the endpoints that the router knows before the first update of the wrapped source.
func (s *Source) SetInitial(endpoints []router.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range endpoints {
		s.endpoints[endpoint.ID] = endpoint
	}
}

// Run publishes the updates of the wrapped source and the changes made by Disable, Enable and SetUntrusted. It
// returns when ctx ends, after the wrapped source has returned. All updates are published by the calling goroutine,
// in order.
func (s *Source) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	updates := make(chan router.EndpointUpdate)
	var wrapped sync.WaitGroup
	defer wrapped.Wait()
	wrapped.Go(func() {
		s.EndpointSource.Run(ctx, func(update router.EndpointUpdate) {
			select {
			case updates <- update:
			case <-ctx.Done():
			}
		})
	})
	for {
		select {
		case update := <-updates:
			publish(s.applyUpdate(update))
		case <-s.pendingSignal:
			if update := s.pendingUpdate(); len(update.Endpoints) > 0 {
				publish(update)
			}
		case <-ctx.Done():
			return
		}
	}
}

// applyUpdate stores an update of the wrapped source. It returns the update with disabled and untrusted servers as
// draining.
func (s *Source) applyUpdate(update router.EndpointUpdate) router.EndpointUpdate {
	if update.Kind == policy.ListUnavailable {
		return update
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Kind != policy.ListUpdate {
		clear(s.endpoints)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Availability == policy.Removed {
			delete(s.endpoints, endpoint.ID)
		} else {
			s.endpoints[endpoint.ID] = endpoint
		}
	}
	if len(s.disabled)+len(s.untrusted) == 0 {
		return update
	}
	update.Endpoints = slices.Clone(update.Endpoints) // the wrapped source may still use the slice
	for i := range update.Endpoints {
		update.Endpoints[i] = s.override(update.Endpoints[i])
	}
	return update
}

// override returns the endpoint with the availability to publish. A disabled or untrusted server is draining.
func (s *Source) override(endpoint router.Endpoint) router.Endpoint {
	if (s.disabled[endpoint.ID] || s.untrusted[endpoint.ID]) && endpoint.Availability == policy.Running {
		endpoint.Availability = policy.Draining
	}
	return endpoint
}

// pendingUpdate returns the update for all pending ids and clears the pending ids.
func (s *Source) pendingUpdate() router.EndpointUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := router.EndpointUpdate{Kind: policy.ListUpdate}
	for _, id := range s.pending {
		if endpoint, ok := s.endpoints[id]; ok {
			update.Endpoints = append(update.Endpoints, s.override(endpoint))
		}
	}
	s.pending = nil
	return update
}

// Disable takes the server with the given id out of service until Enable is called. Disabling a disabled server has
// no effect.
func (s *Source) Disable(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disabled[id] {
		return nil
	}
	if _, known := s.endpoints[id]; !known {
		return ErrUnknownServer
	}
	if len(s.disabled) >= MaxDisabled {
		return ErrTooManyDisabled
	}
	s.disabled[id] = true
	s.enqueue(id)
	return nil
}

// Enable reverses Disable for the server with the given id. The server gets the availability from the endpoint list
// again.
func (s *Source) Enable(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.disabled[id] {
		return ErrNotDisabled
	}
	delete(s.disabled, id)
	s.enqueue(id)
	return nil
}

// SetUntrusted marks the server with the given id as untrusted, or as trusted again. The caller has checked the
// server's identity. An untrusted server is out of service. SetUntrusted does not wait for Run.
func (s *Source) SetUntrusted(id string, untrusted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if untrusted {
		s.untrusted[id] = true
	} else {
		delete(s.untrusted, id)
	}
	s.enqueue(id)
}

// enqueue makes Run publish the current state of the endpoint with the given id. The caller holds mu.
func (s *Source) enqueue(id string) {
	if !slices.Contains(s.pending, id) {
		s.pending = append(s.pending, id)
	}
	select {
	case s.pendingSignal <- struct{}{}:
	default: // Run has not received the previous token yet
	}
}

// Untrusted returns the sorted ids of the servers that could not prove their identity.
func (s *Source) Untrusted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.untrusted))
}

// Disabled returns the sorted ids of the servers that operators have disabled. The result is never nil.
func (s *Source) Disabled() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.disabled))
	for id := range s.disabled {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// ServersByZone returns the sorted ids of all listed servers, by zone.
func (s *Source) ServersByZone() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	byZone := make(map[string][]string)
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		zone := s.endpoints[id].Zone
		byZone[zone] = append(byZone[zone], id)
	}
	return byZone
}
