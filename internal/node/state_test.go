package node

import (
	"context"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cobaltward/internal/learnedstate"
	"cobaltward/internal/testkit"
)

// stopNode stops a node and waits until Run has returned.
func stopNode(t *testing.T, stop context.CancelFunc, ended <-chan error) {
	t.Helper()
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// learnedThreshold returns the threshold of the first server, read from the admin API.
func (n *testNode) learnedThreshold() float64 {
	n.t.Helper()
	return n.learnedState().State.Servers[0].Threshold
}

// TestLearnedState_SurvivesRestart checks that a restarted node starts near its previous thresholds and with its
// previous token buckets. If the state file is incomplete, empty or in another format, the node must start as a new
// node does.
func TestLearnedState_SurvivesRestart(t *testing.T) {
	node := newTestNode(t, 3)
	node.state = StateConfig{
		File: filepath.Join(t.TempDir(), "state"), SaveInterval: 50 * time.Millisecond, HalfLife: time.Hour,
	}
	stop, ended := node.start()
	initial := node.learnedThreshold()
	ctx, stopClients := context.WithCancel(t.Context())
	clients := node.startClients(ctx, 24)
	testkit.Await(t, "a threshold to be learned", func() bool {
		return math.Abs(node.learnedThreshold()-initial) > 0.2
	})
	stopClients()
	clients.Wait()
	before := node.learnedState().State
	stopNode(t, stop, ended)

	stop, ended = node.start()
	after := node.learnedState().State
	got, learned := after.Servers[0].Threshold, before.Servers[0].Threshold
	if math.Abs(got-learned) > math.Abs(learned-initial)/2 || learned == initial {
		t.Errorf("threshold %.2f after the restart, %.2f before, %.2f initially", got, learned, initial)
	}
	if len(after.Buckets) != len(before.Buckets) {
		t.Errorf("%d buckets after the restart, %d before", len(after.Buckets), len(before.Buckets))
	}
	stopNode(t, stop, ended)

	raw, err := os.ReadFile(node.state.File)
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string][]byte{"incomplete": raw[:len(raw)/2], "foreign": []byte("{}"), "empty": nil} {
		if err := os.WriteFile(node.state.File, content, 0o600); err != nil {
			t.Fatal(err)
		}
		stop, ended = node.start()
		if got := node.learnedThreshold(); got != initial {
			t.Errorf("%s: threshold %.2f, want %.2f", name, got, initial)
		}
		stopNode(t, stop, ended)
	}
}

// TestLearnedState_AgesByRealTime checks that a step of the wall clock while a node is down does not change the age
// of its saved state.
func TestLearnedState_AgesByRealTime(t *testing.T) {
	node := newTestNode(t, 3)
	node.state = StateConfig{
		File: filepath.Join(t.TempDir(), "state"), SaveInterval: time.Hour, HalfLife: time.Hour,
	}
	stop, ended := node.start()
	initial := node.learnedThreshold()
	want := initial + 5
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		stopNode(t, stop, ended)
		rewriteState(t, node.state.File, func(snapshot *learnedstate.Snapshot) {
			snapshot.At = snapshot.At.Add(-step) // as if the clock had been stepped after the save
			snapshot.State.Servers[0].Threshold = want
		})
		stop, ended = node.start()
		if got := node.learnedThreshold(); math.Abs(got-want) > 0.1 {
			t.Errorf("clock stepped by %v: threshold %.2f after the restart, want %.2f", step, got, want)
		}
	}
	stopNode(t, stop, ended)
}

// rewriteState applies change to the snapshot in a state file.
func rewriteState(t *testing.T, path string, change func(*learnedstate.Snapshot)) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := learnedstate.Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	change(&snapshot)
	if raw, err = learnedstate.Encode(snapshot); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}
