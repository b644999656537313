package merge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/policy"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// routerView applies published updates as a router does.
type routerView struct {
	t         *testing.T
	source    *Source
	endpoints map[string]router.Endpoint
}

func newView(t *testing.T) *routerView {
	return &routerView{t, New(router.StaticEndpoints{}, router.StaticEndpoints{}), make(map[string]router.Endpoint)}
}

func (v *routerView) apply(source int, kind policy.ListKind, members ...router.Endpoint) {
	v.source.apply(source, router.EndpointUpdate{Kind: kind, Endpoints: members}, func(c router.EndpointUpdate) {
		for _, m := range c.Endpoints {
			if m.Availability == policy.Removed {
				delete(v.endpoints, m.ID)
			} else {
				v.endpoints[m.ID] = m
			}
		}
	})
}

func (v *routerView) assertPublished(want string) {
	v.t.Helper()
	var all []string
	for id, m := range v.endpoints {
		state := map[policy.Availability]string{policy.Running: "runs", policy.Draining: "drains"}[m.Availability]
		all = append(all, fmt.Sprintf("%s@%s %s", id, m.Addr, state))
	}
	slices.Sort(all)
	if got := strings.Join(all, ", "); got != want {
		v.t.Errorf("published %q, want %q", got, want)
	}
}

func newEndpoint(id, addr string, state policy.Availability) router.Endpoint {
	return router.Endpoint{ID: id, Addr: addr, Availability: state}
}

const (
	running, draining, removed = policy.Running, policy.Draining, policy.Removed
	update, replace            = policy.ListUpdate, policy.ListReplace
)

// TestSource_OneServerPerAddress checks that a server in the lists of two sources is published once, under its id
// from the first source. Servers in the list of only one source must be published as well.
func TestSource_OneServerPerAddress(t *testing.T) {
	view := newView(t)
	view.apply(1, update, newEndpoint("x1", "a:1", running), newEndpoint("x2", "b:1", running))
	view.assertPublished("x1@a:1 runs, x2@b:1 runs")
	view.apply(0, replace, newEndpoint("s1", "a:1", running), newEndpoint("s3", "c:1", running))
	view.assertPublished("s1@a:1 runs, s3@c:1 runs, x2@b:1 runs")
}

// TestSource_AnyDrainWins checks that a server that any source drains or removes is published as draining. The server
// must stay draining until the same source lists it as running again. The server must be removed once no source lists
// it.
func TestSource_AnyDrainWins(t *testing.T) {
	view := newView(t)
	view.apply(0, replace, newEndpoint("s1", "a:1", running), newEndpoint("s2", "b:1", running))
	view.apply(1, update, newEndpoint("x1", "a:1", running), newEndpoint("x2", "b:1", running))
	view.apply(1, update, newEndpoint("x1", "a:1", draining))
	view.assertPublished("s1@a:1 drains, s2@b:1 runs")
	view.apply(0, replace, newEndpoint("s1", "a:1", running), newEndpoint("s2", "b:1", running))
	view.assertPublished("s1@a:1 drains, s2@b:1 runs")
	view.apply(1, update, newEndpoint("x1", "", removed), newEndpoint("x2", "b:1", removed))
	view.assertPublished("s1@a:1 drains, s2@b:1 drains")
	view.apply(1, update, newEndpoint("x2", "b:1", running))
	view.assertPublished("s1@a:1 drains, s2@b:1 runs")
	view.apply(0, replace, newEndpoint("s2", "b:1", running))
	view.assertPublished("s2@b:1 runs")
	if len(view.source.servers) != 1 {
		t.Errorf("%d servers are stored, want 1", len(view.source.servers))
	}
}

// TestSource_NewProcessResetsState checks that a new process at an address inherits neither the draining state nor
// the start time of the old process.
func TestSource_NewProcessResetsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := newView(t)
		view.apply(0, replace, newEndpoint("s1", "a:1", running))
		view.apply(1, update, newEndpoint("x1", "a:1", draining))
		view.assertPublished("s1@a:1 drains")
		time.Sleep(5 * time.Second)
		restarted := newEndpoint("s1", "a:1", running)
		restarted.Started = time.Now()
		time.Sleep(time.Second)
		view.apply(0, update, restarted)
		view.assertPublished("s1@a:1 runs")
		if !view.endpoints["s1"].Started.Equal(restarted.Started) {
			t.Errorf("the start time is not that of the new process: %+v", view.endpoints["s1"])
		}
		outdated := newEndpoint("x1", "a:1", running) // the second source still reports the old process
		view.apply(1, update, outdated)
		if view.assertPublished("s1@a:1 runs"); !view.endpoints["s1"].Started.Equal(restarted.Started) {
			t.Errorf("the start time is not that of the new process: %+v", view.endpoints["s1"])
		}
	})
}

// TestSource_ServerMoves checks that a server is no longer published at its old address after it moves to another
// address.
func TestSource_ServerMoves(t *testing.T) {
	view := newView(t)
	view.apply(0, replace, newEndpoint("s1", "a:1", running))
	view.apply(0, update, newEndpoint("s1", "b:1", running))
	view.assertPublished("s1@b:1 runs")
}

// TestSource_PassesOnFailuresAndPools checks that failures of a polled source are published. The pools of a server
// must be the union of the pools in all reports.
func TestSource_PassesOnFailuresAndPools(t *testing.T) {
	view := newView(t)
	published := 0
	view.source.apply(0, router.EndpointUpdate{Kind: policy.ListUnavailable}, func(c router.EndpointUpdate) {
		if c.Kind == policy.ListUnavailable {
			published++
		}
	})
	if published != 1 {
		t.Error("the source's failure was not published")
	}
	a, b := newEndpoint("s1", "a:1", running), newEndpoint("x1", "a:1", running)
	a.Pools, b.Pools = []string{"one"}, []string{"two", "one"}
	view.apply(0, replace, a)
	view.apply(1, update, b)
	if got := view.endpoints["s1"].Pools; !slices.Equal(got, []string{"one", "two"}) {
		t.Errorf("pools %v, want the pools of both sources", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { view.source.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
	cancel()
	<-ended
}
