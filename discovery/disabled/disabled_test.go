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

type told struct{ news chan router.EndpointUpdate }

func (s *told) Run(ctx context.Context, tell func(router.EndpointUpdate)) {
	for {
		select {
		case c := <-s.news:
			tell(c)
		case <-ctx.Done():
			return
		}
	}
}

func (s *told) SetPolling(bool) {}

// Whatever the list says and the operator asks for, in any order: the router holds each server in the state of the
// list, but for those that are drained by hand, which get nothing new.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		inner := &told{make(chan router.EndpointUpdate)}
		s := New(inner)
		var mu sync.Mutex
		holds, list, held := map[string]policy.Availability{}, map[string]policy.Availability{}, map[string]bool{}
		done := make(chan struct{})
		defer func() { cancel(); <-done }()
		go func() {
			defer close(done)
			s.Run(ctx, func(c router.EndpointUpdate) {
				mu.Lock()
				defer mu.Unlock()
				if c.Kind != policy.ListUpdate {
					clear(holds)
				}
				for _, m := range c.Endpoints {
					if m.Availability == policy.Removed {
						delete(holds, m.ID)
					} else {
						holds[m.ID] = m.Availability
					}
				}
			})
		}()
		inner.news <- router.EndpointUpdate{Kind: policy.ListReplace}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				err := s.Drain(id)
				if _, known := list[id]; !known && !held[id] != errors.Is(err, ErrUnknown) || known && err != nil {
					t.Fatalf("drain %s: %v", id, err)
				}
				held[id] = held[id] || err == nil
			case 1:
				if err := s.Lift(id); held[id] != (err == nil) {
					t.Fatalf("lift %s: %v", id, err)
				}
				delete(held, id)
			default:
				state := policy.Availability(rapid.IntRange(0, 2).Draw(t, "state"))
				kind := policy.ListUpdate
				if rapid.IntRange(0, 4).Draw(t, "whole") == 0 {
					kind, state = policy.ListReplace, policy.Running
					clear(list)
				}
				inner.news <- router.EndpointUpdate{Kind: kind, Endpoints: []router.Endpoint{{ID: id, Availability: state}}}
				if list[id] = state; state == policy.Removed {
					delete(list, id)
				}
				// What comes next finds this in place: the source takes its news in turn.
				inner.news <- router.EndpointUpdate{Kind: policy.ListUpdate}
			}
			want := maps.Clone(list)
			for id := range want {
				if held[id] {
					want[id] = policy.Draining
				}
			}
			same := func() bool {
				mu.Lock()
				defer mu.Unlock()
				return maps.Equal(holds, want)
			}
			for end := time.Now().Add(10 * time.Second); !same(); time.Sleep(50 * time.Microsecond) {
				if time.Now().After(end) {
					t.Fatalf("the router holds %v, want %v (by hand: %v)", holds, want, held)
				}
			}
		}
	})
}
