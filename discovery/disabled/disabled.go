// Package disabled takes servers out of service at one node alone, whatever the endpoint list says of them. A server
// that an operator has disabled stays out until it is enabled; one that could not prove its identity stays out until
// it can. Source wraps another endpoint source.
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

// MaxDisabled is how many servers may be disabled at once.
const MaxDisabled = 1000

// Errors of Disable and Enable, which change nothing then.
var (
	// ErrUnknownServer says that the endpoint list has no such server.
	ErrUnknownServer = errors.New("no such server in the list")
	// ErrTooManyDisabled says that MaxDisabled servers are disabled already.
	ErrTooManyDisabled = fmt.Errorf("cannot disable more than %d servers", MaxDisabled)
	// ErrNotDisabled says that the server to be enabled is not disabled.
	ErrNotDisabled = errors.New("the server is not drained by hand")
)

// Source publishes what the wrapped source does, with disabled and untrusted servers shown as draining. Its methods
// are safe for concurrent use.
type Source struct {
	router.EndpointSource

	mu            sync.Mutex
	disabled      map[string]bool            // by an operator
	untrusted     map[string]bool            // could not prove their identity
	endpoints     map[string]router.Endpoint // as the wrapped source has published them
	pending       []string                   // ids whose state was changed here and is not published; each once
	pendingSignal chan struct{}              // holds a token while pending is not empty
}

// New returns a source that wraps another.
func New(wrapped router.EndpointSource) *Source {
	return &Source{
		EndpointSource: wrapped,
		disabled:       make(map[string]bool),
		untrusted:      make(map[string]bool),
		endpoints:      make(map[string]router.Endpoint),
		pendingSignal:  make(chan struct{}, 1),
	}
}

// SetInitial says which endpoints the router knows before the wrapped source has published any.
func (s *Source) SetInitial(endpoints []router.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range endpoints {
		s.endpoints[endpoint.ID] = endpoint
	}
}

// Run publishes the wrapped source's updates and changes made here until ctx ends. All of them are published by this
// goroutine, in order; the goroutine that runs the wrapped source has ended when Run returns.
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

// applyUpdate remembers what the wrapped source says and returns it with the states set here laid over it.
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
	update.Endpoints = slices.Clone(update.Endpoints) // others may hold the slice
	for i := range update.Endpoints {
		update.Endpoints[i] = s.override(update.Endpoints[i])
	}
	return update
}

// override returns an endpoint in the state that the router shall see.
func (s *Source) override(endpoint router.Endpoint) router.Endpoint {
	if (s.disabled[endpoint.ID] || s.untrusted[endpoint.ID]) && endpoint.Availability == policy.Running {
		endpoint.Availability = policy.Draining
	}
	return endpoint
}

// pendingUpdate is the update for the endpoints whose state was changed here since the last one.
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

// Disable takes a server out of service until Enable. Disabling it again changes nothing.
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

// Enable takes Disable back: the server is in the state that the endpoint list says.
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

// SetUntrusted takes a server that could not prove its identity out of service, or takes that back. It does not
// block.
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

// enqueue has Run publish the state of an endpoint. The caller holds mu.
func (s *Source) enqueue(id string) {
	if !slices.Contains(s.pending, id) {
		s.pending = append(s.pending, id)
	}
	select {
	case s.pendingSignal <- struct{}{}:
	default: // Run has not taken the last token yet
	}
}

// Untrusted is the ids of the servers that could not prove their identity, sorted.
func (s *Source) Untrusted() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.untrusted))
}

// Disabled is the ids of the servers that operators have disabled, sorted; never nil.
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

// ServersByZone is the ids of all listed servers by zone, each zone's sorted.
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
