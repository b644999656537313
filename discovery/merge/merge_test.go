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

// view keeps what was told as the router would.
type view struct {
	t       *testing.T
	s       *Source
	members map[string]router.Endpoint
}

func newView(t *testing.T) *view {
	return &view{t, New(router.StaticEndpoints{}, router.StaticEndpoints{}), make(map[string]router.Endpoint)}
}

func (v *view) learn(source int, kind policy.ListKind, members ...router.Endpoint) {
	v.s.learn(source, router.EndpointUpdate{Kind: kind, Endpoints: members}, func(c router.EndpointUpdate) {
		for _, m := range c.Endpoints {
			if m.Availability == policy.Removed {
				delete(v.members, m.ID)
			} else {
				v.members[m.ID] = m
			}
		}
	})
}

func (v *view) want(what string) {
	v.t.Helper()
	var all []string
	for id, m := range v.members {
		all = append(all, fmt.Sprintf("%s@%s %s", id, m.Addr, map[policy.Availability]string{policy.Running: "runs", policy.Draining: "drains"}[m.Availability]))
	}
	slices.Sort(all)
	if got := strings.Join(all, ", "); got != what {
		v.t.Errorf("told %q, want %q", got, what)
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
func TestOneServerForAnAddress(t *testing.T) {
	v := newView(t)
	v.learn(1, update, at("x1", "a:1", up), at("x2", "b:1", up))
	v.want("x1@a:1 runs, x2@b:1 runs")
	v.learn(0, replace, at("s1", "a:1", up), at("s3", "c:1", up))
	v.want("s1@a:1 runs, s3@c:1 runs, x2@b:1 runs")
}

// What any source drains or takes away gets nothing new, until that source lists it again; it is gone
// when no source lists it.
func TestAnyDrainHolds(t *testing.T) {
	v := newView(t)
	v.learn(0, replace, at("s1", "a:1", up), at("s2", "b:1", up))
	v.learn(1, update, at("x1", "a:1", up), at("x2", "b:1", up))
	v.learn(1, update, at("x1", "a:1", drains))
	v.want("s1@a:1 drains, s2@b:1 runs")
	v.learn(0, replace, at("s1", "a:1", up), at("s2", "b:1", up))
	v.want("s1@a:1 drains, s2@b:1 runs")
	v.learn(1, update, at("x1", "", removed), at("x2", "b:1", removed))
	v.want("s1@a:1 drains, s2@b:1 drains")
	v.learn(1, update, at("x2", "b:1", up))
	v.want("s1@a:1 drains, s2@b:1 runs")
	v.learn(0, replace, at("s2", "b:1", up))
	v.want("s2@b:1 runs")
	if len(v.s.servers) != 1 {
		t.Errorf("%d servers are kept", len(v.s.servers))
	}
}

// A new process at an address is not drained by what was said of the old one, nor as old as it.
func TestANewProcessBeginsAnew(t *testing.T) {
	v := newView(t)
	v.learn(0, replace, at("s1", "a:1", up))
	v.learn(1, update, at("x1", "a:1", drains))
	v.want("s1@a:1 drains")
	young := at("s1", "a:1", up)
	young.Started = time.UnixMilli(5000)
	v.learn(0, update, young)
	v.want("s1@a:1 runs")
	if !v.members["s1"].Started.Equal(young.Started) {
		t.Errorf("%+v", v.members["s1"])
	}
	old := at("x1", "a:1", up) // the other source is behind
	v.learn(1, update, old)
	if v.want("s1@a:1 runs"); !v.members["s1"].Started.Equal(young.Started) {
		t.Errorf("%+v", v.members["s1"])
	}
}

// A server that moves leaves its old address.
func TestAServerMoves(t *testing.T) {
	v := newView(t)
	v.learn(0, replace, at("s1", "a:1", up))
	v.learn(0, update, at("s1", "b:1", up))
	v.want("s1@b:1 runs")
}

// Failures of a list that must be asked for reach the module, and pools come together.
func TestPassesOn(t *testing.T) {
	v := newView(t)
	told := 0
	v.s.learn(0, router.EndpointUpdate{Kind: policy.ListUnavailable}, func(c router.EndpointUpdate) {
		if c.Kind == policy.ListUnavailable {
			told++
		}
	})
	if told != 1 {
		t.Error("a failure was not told")
	}
	a, b := at("s1", "a:1", up), at("x1", "a:1", up)
	a.Pools, b.Pools = []string{"one"}, []string{"two", "one"}
	v.learn(0, replace, a)
	v.learn(1, update, b)
	if got := v.members["s1"].Pools; !slices.Equal(got, []string{"one", "two"}) {
		t.Errorf("pools %v", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { v.s.Run(ctx, func(router.EndpointUpdate) {}); close(ended) }()
	cancel()
	<-ended
}
