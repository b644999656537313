package file

import (
	"context"
	"errors"
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

// The list is published at the start, at each change, and at Reload; a file that is missing or malformed changes
// nothing, and what follows it is published.
func TestSource_PublishesChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers")
	put := func(text string) {
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	remove := func() {
		if err := os.Remove(path); err != nil {
			t.Fatal(err)
		}
	}
	put("a b")
	source := New(path, func() (all []router.Endpoint, err error) {
		raw, err := os.ReadFile(path)
		for _, id := range strings.Fields(string(raw)) {
			if id == "!" {
				return nil, errors.New("bad")
			}
			all = append(all, router.Endpoint{ID: id})
		}
		return all, err
	}, slog.New(slog.DiscardHandler))
	published := run(t, source)
	for _, step := range []struct {
		do   func()
		want string
	}{
		{func() {}, "ab"},
		{func() { put("a c") }, "ac"},
		{func() { put("a !") }, "unavailable"},
		{func() { put("c") }, "c"},
		{remove, "unavailable"},
		{func() { put("c") }, "c"},
		{func() { source.Reload(nil) }, "c"},
		{func() { put("") }, ""},
		{func() { source.Reload(func() ([]router.Endpoint, error) { return []router.Endpoint{{ID: "z"}}, nil }) }, "z"},
	} {
		step.do()
		if got := testkit.Receive(t, "an update", published); got != step.want {
			t.Fatalf("published %q, want %q", got, step.want)
		}
	}
}

// run runs a source until the test's end, and returns its updates: the ids of the list put together, or
// "unavailable".
func run(t *testing.T, source *Source) <-chan string {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	published, done := make(chan string, 10), make(chan struct{})
	go func() {
		defer close(done)
		source.Run(ctx, func(update router.EndpointUpdate) {
			if update.Kind == policy.ListUnavailable {
				published <- "unavailable"
				return
			}
			var ids strings.Builder
			for _, endpoint := range update.Endpoints {
				ids.WriteString(endpoint.ID)
			}
			published <- ids.String()
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return published
}
