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

// newLevelsRouter starts a router in real time, and closes it at the end of the test.
func newLevelsRouter(t *testing.T, settings policy.Settings, opts ...Option) *Router {
	t.Helper()
	r, err := New(Config{Settings: settings}, append(opts, WithTransport(&fakeTransport{}))...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeRouter(t, r) })
	return r
}

// readLevels returns levels called names. Each level sheds a part of the class "read".
func readLevels(names ...string) *levels.Config {
	config := &levels.Config{Classes: []levels.Class{{Name: "read"}}}
	for i, name := range names {
		config.Levels = append(config.Levels, levels.Level{
			Name:     name,
			Enter:    []levels.Condition{{Threshold: 1.1 + 0.1*float64(i)}},
			Exit:     []levels.Condition{{Threshold: 0.9}},
			Measures: []levels.Measure{{Class: "read", Shed: 0.1 * float64(i+1)}},
		})
	}
	return config
}

func wantLevel(t *testing.T, r *Router, level int, name string) {
	t.Helper()
	status, err := r.Level()
	if err != nil || status.Level != level || status.Name != name {
		t.Errorf("level %d, %s, %v; want %d, %s", status.Level, status.Name, err, level, name)
	}
}

func wantNoLevels(t *testing.T, r *Router) {
	t.Helper()
	if _, err := r.Level(); !errors.Is(err, ErrNoLevels) {
		t.Errorf("got %v, want %v", err, ErrNoLevels)
	}
}

// TestSetLevels_ReplacesLevels checks that SetLevels adds and removes levels while the router runs. A level in force
// stays in force if the new levels have a level with the same name. Invalid levels change nothing.
func TestSetLevels_ReplacesLevels(t *testing.T) {
	r := newLevelsRouter(t, policy.Settings{Nodes: 1, Classes: []policy.Class{{
		Name:             "read",
		LatencyObjective: time.Second,
		Deadline:         2 * time.Second,
		Idempotency:      policy.Idempotent,
		PriorityWeight:   1,
	}}})
	wantNoLevels(t, r)
	steps := []struct {
		setBefore int // level set manually before the call; 0: none
		levels    *levels.Config
		wantLevel int
		wantName  string
	}{
		{0, readLevels("a", "b"), 0, "full"},
		{2, readLevels("x", "a", "b"), 3, "b"},
		{3, readLevels("x", "a"), 2, "a"},
		{2, readLevels("y"), 0, "full"},
	}
	for i, step := range steps {
		if step.setBefore > 0 {
			if err := r.SetLevel(step.setBefore, 0, "who", "why"); err != nil {
				t.Fatal(err)
			}
		}
		if err := r.SetLevels(step.levels); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		wantLevel(t, r, step.wantLevel, step.wantName)
	}
	if err := r.SetLevels(readLevels("z", "z")); err == nil {
		t.Error("two levels with the same name were accepted")
	}
	wantLevel(t, r, 0, "full")
	if err := r.SetLevels(nil); err != nil {
		t.Fatal(err)
	}
	wantNoLevels(t, r)
}

// TestLevels_ApplyMeasures checks that the measures of a level are applied. Requests of one class are shed with a
// spread Retry-After, and counted by class and tenant. Requests of another class queue for a shorter time. In a dry
// run, requests are only counted.
func TestLevels_ApplyMeasures(t *testing.T) {
	for _, dryRun := range []bool{false, true} {
		t.Run(fmt.Sprint("dry run ", dryRun), func(t *testing.T) { testLevelMeasures(t, dryRun) })
	}
}

func testLevelMeasures(t *testing.T, dryRun bool) {
	r := newLevelsRouter(t, measuredSettings(), WithLevels(levels.Config{
		DryRun:  dryRun,
		Classes: []levels.Class{{Name: "read"}, {Name: "held"}},
		Levels: []levels.Level{{
			Name:     "less",
			Enter:    []levels.Condition{{Threshold: 2}},
			Exit:     []levels.Condition{{Threshold: 1}},
			Measures: []levels.Measure{{Class: "read", Shed: 1}, {Class: "held", MaxQueueTime: 20 * ms}},
		}},
	}))
	if err := r.SetLevel(1, 0, "who", "why"); err != nil {
		t.Fatal(err)
	}
	retryAfters := make(map[time.Duration]bool)
	for i := range 20 {
		answer, err := doWithShortTimeout(t, r, Request{
			ID:     fmt.Sprint("r", i),
			Class:  "read",
			Tenant: []string{"t", "other"}[i%2],
		})
		if isShed(answer, err) == dryRun {
			t.Errorf("request shed or admitted contrary to the dry-run setting: answer %+v, error %v", answer, err)
		}
		retryAfters[answer.RetryAfter] = true
	}
	if !dryRun {
		if len(retryAfters) < 15 {
			t.Errorf("20 shed requests got %d different Retry-After values, want at least 15", len(retryAfters))
		}
		// Without a server the request queues. The measure shortens the wait below half of the latency objective.
		wantDo(t, r, Request{ID: "h", Class: "held", Tenant: "t"}, Rejected)
	}
	wantShedCounts(t, r, dryRun)
	if err := r.SetMaxLevel(0, "who", "why"); err != nil {
		t.Fatal(err)
	}
	if status, _ := r.Level(); status.MaxLevel != 0 || status.Level != 1 {
		t.Errorf("SetMaxLevel ended a level that was set manually: %+v", status)
	}
}

// measuredSettings returns settings with the classes "read" and "held".
func measuredSettings() policy.Settings {
	class := func(name string, weight float64) policy.Class {
		return policy.Class{
			Name:             name,
			LatencyObjective: 10 * time.Second,
			Deadline:         20 * time.Second,
			Idempotency:      policy.Idempotent,
			PriorityWeight:   weight,
		}
	}
	return policy.Settings{
		Nodes:        1,
		Capabilities: policy.Capabilities{RetryAfter: true, MaxRetryAfter: 10 * time.Second},
		Tenants:      []policy.Tenant{{Name: "t", Quota: 1e6, Share: 1}},
		Classes:      []policy.Class{class("read", 2), class("held", 1)},
	}
}

// doWithShortTimeout calls Do with a context that ends after 50 ms.
func doWithShortTimeout(t *testing.T, r *Router, req Request) (Answer, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*ms)
	defer cancel()
	return r.Do(ctx, req)
}

// isShed reports whether the result of Do is a shed request with a Retry-After of 1 s to 5 s.
func isShed(answer Answer, err error) bool {
	return err == nil && answer.Outcome == Rejected &&
		answer.RetryAfter >= time.Second && answer.RetryAfter <= 5*time.Second
}

func wantShedCounts(t *testing.T, r *Router, dryRun bool) {
	t.Helper()
	status, err := r.Level()
	if err != nil {
		t.Fatal(err)
	}
	if status.ShedByClass["read"] != 20 || status.ShedByTenant["t"] != 10 || status.ShedByTenant[""] != 10 {
		t.Errorf("shed %v, %v; want 20 of read, 10 of each tenant", status.ShedByClass, status.ShedByTenant)
	}
	if status.ShedWeight != 40 || len(status.ExitConditions) != 1 || status.DryRun != dryRun {
		t.Errorf("unexpected level status: %+v", status)
	}
}
