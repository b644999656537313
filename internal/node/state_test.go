package node

import (
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/door"
	"cobaltward/internal/testkit"
	"cobaltward/learnedstate"
)

// learned is what the node says that it knows.
func (w *site) learned() (s learnedstate.Snapshot) {
	w.t.Helper()
	c, base := door.Dial(w.sock, "", nil)
	defer c.CloseIdleConnections()
	resp, err := c.Get(base + "/knowledge")
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil {
		s, err = learnedstate.Decode(raw)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	return s
}

// What a node has learned outlives it: the next begins near the thresholds and with the buckets of the one before. A
// file that is torn, foreign or gone does no harm.
func TestStateOutlivesARestart(t *testing.T) {
	w := newSite(t, 3)
	w.state = StateConfig{File: filepath.Join(t.TempDir(), "state"), Every: 50 * time.Millisecond, HalfLife: time.Hour}
	stop, ended := w.start()
	fresh := w.learned().State.Servers[0].Threshold
	ctx, end := context.WithCancel(t.Context())
	all := w.clients(ctx, 24)
	var before learnedstate.Snapshot
	testkit.Await(t, "a threshold that was learned", func() bool {
		before = w.learned()
		return math.Abs(before.State.Servers[0].Threshold-fresh) > 0.2
	})
	end()
	all.Wait()
	before = w.learned()
	halt := func() {
		t.Helper()
		stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	halt()
	stop, ended = w.start()
	after := w.learned()
	if a, b := after.State.Servers[0].Threshold, before.State.Servers[0].Threshold; math.Abs(a-b) > math.Abs(b-fresh)/2 || b == fresh {
		t.Errorf("threshold %.2f after the restart, %.2f before, %.2f at first", a, b, fresh)
	}
	if len(after.State.Buckets) != len(before.State.Buckets) {
		t.Errorf("%d buckets after the restart, %d before", len(after.State.Buckets), len(before.State.Buckets))
	}
	halt()
	raw, err := os.ReadFile(w.state.File)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"torn": raw[:len(raw)/2], "foreign": []byte("{}"), "empty": nil} {
		if err := os.WriteFile(w.state.File, text, 0o600); err != nil {
			t.Fatal(err)
		}
		stop, ended = w.start()
		if got := w.learned().State.Servers[0].Threshold; got != fresh {
			t.Errorf("%s: threshold %.2f, want %.2f", name, got, fresh)
		}
		halt()
	}
}
