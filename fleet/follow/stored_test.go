package follow

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"cobaltward/fleet"
	"cobaltward/fleet/council"
	"cobaltward/fleet/internal/jsontest"
	"cobaltward/fleet/owner"
)

// The memory of a receiver that an earlier program wrote is read as it was meant, and written as it was stored.
func TestStoredMemory_LoadsAndSavesUnchanged(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", memoryFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, memoryFile)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	c := NewClient([]string{"127.0.0.1:1"}, nil, "a token of the test", nil)
	t.Cleanup(c.HTTP.CloseIdleConnections)
	a, err := NewAgent(AgentConfig{Self: fleet.Node{Name: "n1", Incarnation: "run-2"}, Dir: dir, Clock: council.RealClock(), Log: slog.New(slog.DiscardHandler)}, nil, c)
	if err != nil {
		t.Fatal(err)
	}
	const token = 562949953421315
	want := owner.Memory{
		Gate: owner.Gate{Seen: map[string]fleet.FencingToken{"round": token}},
		Ledger: owner.Ledger{N: 3, Effects: map[string]owner.Effect{
			"r1/n1/out":   {N: 1, Work: "round", Token: token, Outcome: "ok"},
			"r1/n1/patch": {N: 2, Work: "round", Token: token, Outcome: "failed", Detail: "status 3: no room"},
			"r1/n1/in":    {N: 3, Work: "round", Token: token, Running: true},
		}},
		Holds: []string{"s1", "s7"},
	}
	if !reflect.DeepEqual(a.mem.Memory, want) {
		t.Errorf("the memory reads as %+v, want %+v", a.mem.Memory, want)
	}
	if err := a.save(); err != nil {
		t.Fatal(err)
	}
	again, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(raw) {
		t.Errorf("stored %s, written again %s", raw, again)
	}
}

// Messages as an earlier program wrote them are read, and written as they were.
func TestStoredMessages_DecodeAndEncodeUnchanged(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "wire.json"))
	if err != nil {
		t.Fatal(err)
	}
	messages := make(map[string]json.RawMessage)
	if err := json.Unmarshal(raw, &messages); err != nil {
		t.Fatal(err)
	}
	for name, to := range map[string]any{
		"effect_request":  new(owner.Order),
		"effect_response": new(owner.Reply),
		"node_status":     new(Look),
	} {
		t.Run(name, func(t *testing.T) { jsontest.RoundTrip(t, messages[name], to) })
	}
}
