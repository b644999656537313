package router

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"cobaltward/levels"
	"cobaltward/policy"
)

// The ladder changes while the router runs: it comes, goes on by names, is refused whole, and goes.
func TestSetLevels(t *testing.T) {
	set := policy.Settings{Nodes: 1, Classes: []policy.Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: policy.Idempotent, PriorityWeight: 1}}}
	r, err := New(Config{Settings: set}, WithTransport(&fakeTransport{}))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ladder := func(names ...string) *levels.Config {
		c := &levels.Config{Classes: []levels.Class{{Name: "read"}}}
		for i, n := range names {
			c.Levels = append(c.Levels, levels.Level{
				Name: n, Enter: []levels.Condition{{Bound: 1.1 + 0.1*float64(i)}}, Exit: []levels.Condition{{Bound: 0.9}},
				Measures: []levels.Measure{{Class: "read", Shed: 0.1 * float64(i+1)}},
			})
		}
		return c
	}
	at := func(level int, name string) {
		t.Helper()
		if st, err := r.Level(); err != nil || st.Level != level || st.Name != name {
			t.Errorf("level %d, %s, %v; want %d, %s", st.Level, st.Name, err, level, name)
		}
	}
	if _, err := r.Level(); !errors.Is(err, ErrNoLevels) {
		t.Errorf("got %v", err)
	}
	for i, step := range []struct {
		ladder *levels.Config
		hand   int // level to set before
		level  int
		name   string
	}{{ladder("a", "b"), 0, 0, "full"}, {ladder("x", "a", "b"), 2, 3, "b"}, {ladder("x", "a"), 3, 2, "a"}, {ladder("y"), 2, 0, "full"}} {
		if step.hand > 0 {
			if err := r.SetLevel(step.hand, 0, "who", "why"); err != nil {
				t.Fatal(err)
			}
		}
		if err := r.SetLevels(step.ladder); err != nil {
			t.Fatalf("%d: %v", i, err)
		}
		at(step.level, step.name)
	}
	if err := r.SetLevels(ladder("z", "z")); err == nil {
		t.Error("two levels of one name")
	}
	at(0, "full")
	if err := r.SetLevels(nil); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Level(); !errors.Is(err, ErrNoLevels) {
		t.Errorf("got %v", err)
	}
}

// What a level asks for reaches the module and the refused: the shed are told to come back apart from one another and are
// counted by class and tenant, others wait for less; in a dry run nothing changes but the count.
func TestLevelsNarrow(t *testing.T) {
	for _, dry := range []bool{false, true} {
		set := policy.Settings{
			Nodes: 1, Capabilities: policy.Capabilities{RetryAfter: true, MaxRetryAfter: 10 * time.Second},
			Tenants: []policy.Tenant{{Name: "t", Quota: 1e6, Share: 1}},
			Classes: []policy.Class{
				{Name: "read", LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, Idempotency: policy.Idempotent, PriorityWeight: 2},
				{Name: "held", LatencyObjective: 10 * time.Second, Deadline: 20 * time.Second, Idempotency: policy.Idempotent, PriorityWeight: 1},
			},
		}
		c := levels.Config{Dry: dry, Classes: []levels.Class{{Name: "read"}, {Name: "held"}}, Levels: []levels.Level{{
			Name: "less", Enter: []levels.Condition{{Bound: 2}},
			Exit: []levels.Condition{{Bound: 1}}, Measures: []levels.Measure{{Class: "read", Shed: 1}, {Class: "held", Hold: 20 * time.Millisecond}},
		}}}
		r, err := New(Config{Settings: set}, WithTransport(&fakeTransport{}), WithLevels(c))
		if err != nil {
			t.Fatal(err)
		}
		if err := r.SetLevel(1, 0, "who", "why"); err != nil {
			t.Fatal(err)
		}
		again := make(map[time.Duration]bool)
		for i := range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			a, err := r.Do(ctx, Request{ID: fmt.Sprint("r", i), Class: "read", Tenant: []string{"t", "other"}[i%2]})
			cancel()
			if shed := err == nil && a.Outcome == Rejected && a.RetryAfter >= time.Second && a.RetryAfter <= 5*time.Second; shed == dry {
				t.Errorf("dry run %v: %+v, %v", dry, a, err)
			}
			again[a.RetryAfter] = true
		}
		if !dry {
			if len(again) < 15 {
				t.Errorf("20 that were shed are told to come back at %d moments", len(again))
			}
			// There is no server: it is held, and for less than the half of its aim that it would be.
			if a, err := r.Do(t.Context(), Request{ID: "h", Class: "held", Tenant: "t"}); err != nil || a.Outcome != Rejected {
				t.Errorf("%+v, %v", a, err)
			}
		}
		st, err := r.Level()
		if err != nil || st.ShedByClass["read"] != 20 || st.ShedByTenant["t"] != 10 || st.ShedByTenant[""] != 10 || st.ShedWeight != 40 || len(st.ExitConditions) != 1 || st.DryRun != dry {
			t.Errorf("%+v, %v", st, err)
		}
		if err := r.SetMaxLevel(0, "who", "why"); err != nil {
			t.Fatal(err)
		}
		if st, _ := r.Level(); st.MaxLevel != 0 || st.Level != 1 {
			t.Errorf("what was set by hand is taken back: %+v", st)
		}
		r.Close()
	}
}
