package file

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cobaltward/internal/testkit"
	"cobaltward/policy"
	"cobaltward/router"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The list is told at the start, at each change, and at Again; a file that is gone or makes no sense changes
// nothing, and what comes after it is told.
func TestSource(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers")
	put := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	put("a b")
	s := New(path, func() (all []router.Endpoint, err error) {
		raw, err := os.ReadFile(path)
		for _, id := range strings.Fields(string(raw)) {
			if id == "!" {
				return nil, errors.New("bad")
			}
			all = append(all, router.Endpoint{ID: id})
		}
		return all, err
	}, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	told, done := make(chan string, 10), make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx, func(c router.EndpointUpdate) {
			if c.Kind == policy.ListUnavailable {
				told <- "unavailable"
				return
			}
			text := ""
			for _, m := range c.Endpoints {
				text += m.ID
			}
			told <- fmt.Sprint(text)
		})
	}()
	for _, step := range []struct {
		do   func()
		want string
	}{
		{func() {}, "ab"},
		{func() { put("a c") }, "ac"},
		{func() { put("a !") }, "unavailable"},
		{func() { put("c") }, "c"},
		{func() { os.Remove(path) }, "unavailable"},
		{func() { put("c") }, "c"},
		{func() { s.Again(nil) }, "c"},
		{func() { put("") }, ""},
		{func() { s.Again(func() ([]router.Endpoint, error) { return []router.Endpoint{{ID: "z"}}, nil }) }, "z"},
	} {
		step.do()
		if got := testkit.Receive(t, "news", told); got != step.want {
			t.Fatalf("told %q, want %q", got, step.want)
		}
	}
	cancel()
	<-done
}
