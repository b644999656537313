package merge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"cobaltward/policy"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// routerView applies updates as the router would.
type routerView struct {
	t       *testing.T
	source  *Source
	members map[string]router.Endpoint
}

func newView(t *testing.T) *routerView {
	return &routerView{t, New(router.StaticEndpoints{}, router.StaticEndpoints{}), make(map[string]router.Endpoint)}
}

func (v *routerView) apply(source int, kind policy.ListKind, members ...router.Endpoint) {
	v.source.apply(source, router.EndpointUpdate{Kind: kind, Endpoints: members}, func(c router.EndpointUpdate) {
		for _, m := range c.Endpoints {
			if m.Availability == policy.Removed {
				delete(v.members, m.ID)
			} else {
				v.members[m.ID] = m
			}
		}
	})
}

func (v *routerView) want(what string) {
	v.t.Helper()
	var all []string
	for id, m := range v.members {
		state := map[policy.Availability]string{policy.Running: "runs", policy.Draining: "drains"}[m.Availability]
		all = append(all, fmt.Sprintf("%s@%s %s", id, m.Addr, state))
	}
	slices.Sort(all)
	if got := strings.Join(all, ", "); got != what {
		v.t.Errorf("published %q, want %q", got, what)
	}
}

func at(id, addr string, state policy.Availability) router.Endpoint {
	return router.Endpoint{ID: id, Addr: addr, Availability: state}
}

const (
	up, drains, removed = policy.Running, policy.Draining, policy.Removed
	update, replace     = policy.ListUpdate, policy.ListReplace
)

// A server that two sources list is one, under the id of the first; those that one lists are there too.
func TestSource_OneServerPerAddress(t *testing.T) {
	view := newView(t)
	view.apply(1, update, at("x1", "a:1", up), at("x2", "b:1", up))
	view.want("x1@a:1 runs, x2@b:1 runs")
	view.apply(0, replace, at("s1", "a:1", up), at("s3", "c:1", up))
	view.want("s1@a:1 runs, s3@c:1 runs, x2@b:1 runs")
}

// What any source drains or takes away gets nothing new, until that source lists it again; it is gone
// when no source lists it.
func TestSource_AnyDrainWins(t *testing.T) {
	view := newView(t)
	view.apply(0, replace, at("s1", "a:1", up), at("s2", "b:1", up))
	view.apply(1, update, at("x1", "a:1", up), at("x2", "b:1", up))
	view.apply(1, update, at("x1", "a:1", drains))
	view.want("s1@a:1 drains, s2@b:1 runs")
	view.apply(0, replace, at("s1", "a:1", up), at("s2", "b:1", up))
	view.want("s1@a:1 drains, s2@b:1 runs")
	view.apply(1, update, at("x1", "", removed), at("x2", "b:1", removed))
	view.want("s1@a:1 drains, s2@b:1 drains")
	view.apply(1, update, at("x2", "b:1", up))
	view.want("s1@a:1 drains, s2@b:1 runs")
	view.apply(0, replace, at("s2", "b:1", up))
	view.want("s2@b:1 runs")
	if len(view.source.servers) != 1 {
		t.Errorf("%d servers are kept", len(view.source.servers))
	}
}

// A new process at an address inherits neither the draining of the old one nor its age.
func TestSource_NewProcessResetsState(t *testing.T) {
	view := newView(t)
	view.apply(0, replace, at("s1", "a:1", up))
	view.apply(1, update, at("x1", "a:1", drains))
	view.want("s1@a:1 drains")
	young := at("s1", "a:1", up)
	young.Started = time.UnixMilli(5000)
	view.apply(0, update, young)
	view.want("s1@a:1 runs")
	if !view.members["s1"].Started.Equal(young.Started) {
		t.Errorf("%+v", view.members["s1"])
	}
	old := at("x1", "a:1", up) // the other source is behind
	view.apply(1, update, old)
	if view.want("s1@a:1 runs"); !view.members["s1"].Started.Equal(young.Started) {
		t.Errorf("%+v", view.members["s1"])
	}
}

// A server that moves leaves its old address.
func TestSource_ServerMoves(t *testing.T) {
	view := newView(t)
	view.apply(0, replace, at("s1", "a:1", up))
	view.apply(0, update, at("s1", "b:1", up))
	view.want("s1@b:1 runs")
}

// Failures of a list that must be asked for reach the module, and pools come together.
func TestSource_PassesOnFailuresAndPools(t *testing.T) {
	view := newView(t)
	published := 0
	view.source.apply(0, router.EndpointUpdate{Kind: policy.ListUnavailable}, func(c router.EndpointUpdate) {
		if c.Kind == policy.ListUnavailable {
			published++
		}
	})
	if published != 1 {
		t.Error("a failure was not published")
	}
	a, b := at("s1", "a:1", up), at("x1", "a:1", up)
	a.Pools, b.Pools = []string{"one"}, []string{"two", "one"}
	view.apply(0, replace, a)
	view.apply(1, update, b)
	if got := view.members["s1"].Pools; !slices.Equal(got, []string{"one", "two"}) {
		t.Errorf("pools %v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { view.source.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
	cancel()
	<-ended
}
