package node

import (
	"log/slog"
	"testing"
	"time"

	"cobaltward/internal/rundir"
	"cobaltward/router"
	"cobaltward/transport/http1"
)

// newSharingProcess returns a process of the node whose shared directory is dir.
func newSharingProcess(t *testing.T, dir string) *sharedIDs {
	t.Helper()
	process, err := rundir.Register(dir)
	if err != nil {
		t.Fatal(err)
	}
	engine, err := router.New(router.Config{Settings: drainSettings()}, router.WithTransport(http1.New(http1.Config{})))
	if err != nil {
		t.Fatal(err)
	}
	ids := newSharedIDs(process, engine, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		ids.close()
		process.Unregister()
		_ = engine.Close()
	})
	return ids
}

// TestSharedIDs_SuccessorStartsAsSharingEnds guards against a successor that starts just before its predecessor
// announces that it is alone: the IDs of the predecessor must stay locked until it has seen the successor.
func TestSharedIDs_SuccessorStartsAsSharingEnds(t *testing.T) {
	dir := t.TempDir()
	predecessor := newSharingProcess(t, dir)
	now := time.Now()
	update := func(hasOthers bool) {
		t.Helper()
		if err := predecessor.update(hasOthers, now); err != nil {
			t.Fatal(err)
		}
	}
	update(true) // an earlier predecessor
	reservation := predecessor.engine.ReserveID("open")
	defer reservation.Release()
	successor := newSharingProcess(t, dir)
	if err := successor.awaitOthers(); err != nil {
		t.Fatal(err)
	}
	expectLocked := func(step string, want bool) {
		t.Helper()
		copied := successor.engine.ReserveID("open")
		copied.Release()
		if locked := copied == nil; locked != want {
			t.Errorf("%s: ID locked %v, want %v", step, locked, want)
		}
	}
	expectLocked("both share", true)
	update(false) // the look at the other processes was just before the successor's start
	expectLocked("the predecessor has announced that it is alone", true)
	now = now.Add(coordinateInterval)
	update(true)
	now = now.Add(2 * idUnshareDelay)
	update(true)
	expectLocked("the predecessor has seen the successor", true)
	update(false)
	now = now.Add(idUnshareDelay)
	update(false)
	expectLocked("the predecessor has been alone for a while", false)
}
