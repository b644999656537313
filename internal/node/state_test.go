package node

import (
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/adminapi"
	"cobaltward/internal/learnedstate"
	"cobaltward/internal/testkit"
)

// learnedState is what the node says that it knows.
func (w *testNode) learnedState() (s learnedstate.Snapshot) {
	w.t.Helper()
	c, base := adminapi.NewClient(w.adminSocket, "", nil)
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
func TestLearnedState_SurvivesRestart(t *testing.T) {
	w := newTestNode(t, 3)
	w.state = StateConfig{File: filepath.Join(t.TempDir(), "state"), SaveInterval: 50 * time.Millisecond, HalfLife: time.Hour}
	stop, ended := w.start()
	fresh := w.learnedState().State.Servers[0].Threshold
	ctx, end := context.WithCancel(t.Context())
	all := w.startClients(ctx, 24)
	var before learnedstate.Snapshot
	testkit.Await(t, "a threshold that was learned", func() bool {
		before = w.learnedState()
		return math.Abs(before.State.Servers[0].Threshold-fresh) > 0.2
	})
	end()
	all.Wait()
	before = w.learnedState()
	halt := func() {
		t.Helper()
		stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	halt()
	stop, ended = w.start()
	after := w.learnedState()
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
		if got := w.learnedState().State.Servers[0].Threshold; got != fresh {
			t.Errorf("%s: threshold %.2f, want %.2f", name, got, fresh)
		}
		halt()
	}
}

// TestLearnedState_AgesByRealTime steps the wall clock while a node is down: what it has learned is as old as it is.
func TestLearnedState_AgesByRealTime(t *testing.T) {
	w := newTestNode(t, 3)
	w.state = StateConfig{File: filepath.Join(t.TempDir(), "state"), SaveInterval: time.Hour, HalfLife: time.Hour}
	halt := func(stop context.CancelFunc, ended chan error) {
		t.Helper()
		stop()
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
	stop, ended := w.start()
	fresh := w.learnedState().State.Servers[0].Threshold
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		halt(stop, ended)
		raw, err := os.ReadFile(w.state.File)
		if err != nil {
			t.Fatal(err)
		}
		snapshot, err := learnedstate.Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		want := fresh + 5
		snapshot.At = snapshot.At.Add(-step) // as the clock says that was stepped since
		snapshot.State.Servers[0].Threshold = want
		if raw, err = learnedstate.Encode(snapshot); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(w.state.File, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		stop, ended = w.start()
		if got := w.learnedState().State.Servers[0].Threshold; math.Abs(got-want) > 0.1 {
			t.Errorf("stepped by %v: threshold %.2f after the restart, want %.2f", step, got, want)
		}
	}
	halt(stop, ended)
}
