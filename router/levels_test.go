package router

import (
	"errors"
	"testing"
	"time"

	"cobaltward/levels"
	"cobaltward/policy"
)

// The ladder changes while the router runs: it comes, goes on by names, is refused whole, and goes.
func TestSetLevels(t *testing.T) {
	set := policy.Settings{Nodes: 1, Classes: []policy.Class{{Name: "read", Aim: time.Second, Deadline: 2 * time.Second, Repeat: policy.Free, Worth: 1}}}
	r, err := New(Config{Settings: set}, WithTransport(&fake{}))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ladder := func(names ...string) *levels.Config {
		c := &levels.Config{Classes: []levels.Class{{Name: "read"}}}
		for i, n := range names {
			c.Levels = append(c.Levels, levels.Level{Name: n, Enter: []levels.Condition{{Bound: 1.1 + 0.1*float64(i)}}, Exit: []levels.Condition{{Bound: 0.9}},
				Measures: []levels.Measure{{Class: "read", Shed: 0.1 * float64(i+1)}}})
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
