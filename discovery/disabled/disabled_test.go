package disabled

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"cobaltward/policy"
	"cobaltward/router"

	"pgregory.net/rapid"
)

// listSource publishes the updates that the test sends on its channel.
type listSource struct{ updates chan router.EndpointUpdate }

func (s *listSource) Run(ctx context.Context, publish func(router.EndpointUpdate)) {
	for {
		select {
		case update := <-s.updates:
			publish(update)
		case <-ctx.Done():
			return
		}
	}
}

func (s *listSource) SetPolling(bool) {}

// routerView records the availability of each endpoint, as a router does.
type routerView struct {
	mu     sync.Mutex
	states map[string]policy.Availability
}

func (v *routerView) apply(update router.EndpointUpdate) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if update.Kind != policy.ListUpdate {
		clear(v.states)
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Availability == policy.Removed {
			delete(v.states, endpoint.ID)
		} else {
			v.states[endpoint.ID] = endpoint.Availability
		}
	}
}

func (v *routerView) equal(want map[string]policy.Availability) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Equal(v.states, want)
}

// await waits until the router's view equals want.
func (v *routerView) await(t *rapid.T, want map[string]policy.Availability) {
	const timeout = 10 * time.Second
	for end := time.Now().Add(timeout); !v.equal(want); time.Sleep(50 * time.Microsecond) {
		if time.Now().After(end) {
			v.mu.Lock()
			defer v.mu.Unlock()
			t.Fatalf("the router sees %v, want %v", v.states, want)
		}
	}
}

// model is the expected state of a source: the endpoint list and the disabled servers.
type model struct {
	list     map[string]policy.Availability
	disabled map[string]bool
}

// published returns the availability of each endpoint that the router must see.
func (m *model) published() map[string]policy.Availability {
	want := maps.Clone(m.list)
	for id := range want {
		if m.disabled[id] {
			want[id] = policy.Draining
		}
	}
	return want
}

func (m *model) disable(t *rapid.T, source *Source, id string) {
	err := source.Disable(id)
	_, known := m.list[id]
	if !known && !m.disabled[id] != errors.Is(err, ErrUnknownServer) || known && err != nil {
		t.Fatalf("unexpected result of disabling %s: %v", id, err)
	}
	m.disabled[id] = m.disabled[id] || err == nil
}

func (m *model) enable(t *rapid.T, source *Source, id string) {
	err := source.Enable(id)
	if m.disabled[id] != (err == nil) {
		t.Fatalf("unexpected result of enabling %s: %v", id, err)
	}
	delete(m.disabled, id)
}

// publish makes the wrapped source publish a random state of an endpoint, either as a change or as a complete list.
func (m *model) publish(t *rapid.T, list *listSource, id string) {
	state := policy.Availability(rapid.IntRange(0, 2).Draw(t, "state"))
	kind := policy.ListUpdate
	if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
		kind, state = policy.ListReplace, policy.Running
		clear(m.list)
	}
	list.updates <- router.EndpointUpdate{
		Kind:      kind,
		Endpoints: []router.Endpoint{{ID: id, Availability: state}},
	}
	m.list[id] = state
	if state == policy.Removed {
		delete(m.list, id)
	}
	// The source handles updates one by one. Once the source has received this empty update, it has applied the
	// previous update.
	list.updates <- router.EndpointUpdate{Kind: policy.ListUpdate}
}

// TestSource_MatchesModel checks that a source behaves like a model, with random list updates and operator commands
// in any order. The router must see each endpoint with its availability from the list, except that disabled endpoints
// are draining.
func TestSource_MatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		list := &listSource{make(chan router.EndpointUpdate)}
		source := New(list)
		view := &routerView{states: make(map[string]policy.Availability)}
		want := &model{list: make(map[string]policy.Availability), disabled: make(map[string]bool)}
		done := make(chan struct{})
		defer func() { cancel(); <-done }()
		go func() {
			defer close(done)
			source.Run(ctx, view.apply)
		}()
		list.updates <- router.EndpointUpdate{Kind: policy.ListReplace}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				want.disable(t, source, id)
			case 1:
				want.enable(t, source, id)
			default:
				want.publish(t, list, id)
			}
			view.await(t, want.published())
		}
	})
}
