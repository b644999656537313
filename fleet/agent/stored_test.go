package agent

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/internal/jsontest"
	"cobaltward/fleet/lease"
)

// storedToken is the fencing token in testdata/receiver.json.
const storedToken = 562949953421315

// TestStoredReceiver_LoadsAndSavesUnchanged checks that the stored receiver state of an earlier version decodes
// correctly, and encodes to the same bytes.
func TestStoredReceiver_LoadsAndSavesUnchanged(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", stateFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, stateFile)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	client := NewClient([]string{"127.0.0.1:1"}, nil, "a token of the test", nil)
	t.Cleanup(client.HTTP.CloseIdleConnections)
	agent, err := New(Config{
		Self:  fleet.Node{Name: "n1", Incarnation: "run-2"},
		Dir:   dir,
		Clock: consensus.SystemClock(),
		Log:   slog.New(slog.DiscardHandler),
	}, nil, client)
	if err != nil {
		t.Fatal(err)
	}
	want := lease.ReceiverState{
		Gate: lease.FencingGate{HighestTokens: map[string]fleet.FencingToken{"round": storedToken}},
		EffectLog: lease.EffectLog{LastSequence: 3, Effects: map[string]lease.Effect{
			"r1/n1/out": {Sequence: 1, Resource: "round", FencingToken: storedToken, Outcome: "ok"},
			"r1/n1/patch": {
				Sequence:     2,
				Resource:     "round",
				FencingToken: storedToken,
				Outcome:      "failed",
				Detail:       "status 3: no room",
			},
			"r1/n1/in": {Sequence: 3, Resource: "round", FencingToken: storedToken, Running: true},
		}},
		DisabledServers: []string{"s1", "s7"},
	}
	if !reflect.DeepEqual(agent.receiver.ReceiverState, want) {
		t.Errorf("the stored state was decoded as %+v, want %+v", agent.receiver.ReceiverState, want)
	}
	if err := agent.save(); err != nil {
		t.Fatal(err)
	}
	saved, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(saved) != string(raw) {
		t.Errorf("the state file has %s, and was saved again as %s", raw, saved)
	}
}

// TestStoredMessages_DecodeAndEncodeUnchanged checks that messages of an earlier version decode, and encode to the
// same bytes.
func TestStoredMessages_DecodeAndEncodeUnchanged(t *testing.T) {
	messages := jsontest.ReadMessages(t, filepath.Join("testdata", "wire.json"))
	for name, to := range map[string]any{
		"effect_request":  new(lease.EffectRequest),
		"effect_response": new(lease.EffectResponse),
		"node_status":     new(Status),
	} {
		t.Run(name, func(t *testing.T) { jsontest.RoundTrip(t, messages[name], to) })
	}
}
