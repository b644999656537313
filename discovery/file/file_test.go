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

// TestSource_PublishesChanges checks that the list is published at the start, after each change of the file, and
// after Reload. A missing or malformed file must be reported as unavailable. The next valid list must be published.
func TestSource_PublishesChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "servers")
	writeList := func(text string) {
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
	writeList("a b")
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
		{func() { writeList("a c") }, "ac"},
		{func() { writeList("a !") }, "unavailable"},
		{func() { writeList("c") }, "c"},
		{remove, "unavailable"},
		{func() { writeList("c") }, "c"},
		{func() { source.Reload(nil) }, "c"},
		{func() { writeList("") }, ""},
		{func() { source.Reload(func() ([]router.Endpoint, error) { return []router.Endpoint{{ID: "z"}}, nil }) }, "z"},
	} {
		step.do()
		if got := testkit.Receive(t, "an update", published); got != step.want {
			t.Fatalf("published %q, want %q", got, step.want)
		}
	}
}

// run runs a source until the test ends. The returned channel receives the concatenated ids of the endpoints in each
// update, or "unavailable".
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
