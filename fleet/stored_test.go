package fleet

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"
)

// The files in testdata were written by the program as it was before its Go names changed: a state with every part
// filled, then a log with entries of all kinds, accepted and rejected ones, and the state after them.
const (
	storedSnapshot = "testdata/snapshot.json"
	storedEntries  = "testdata/entries.json"
	storedState    = "testdata/state.json"
)

// storedEntry is one entry of the stored log with its outcome.
type storedEntry struct {
	Raw      string   `json:"raw"`
	Position Position `json:"position"`
	Token    Token    `json:"token"`
	Error    string   `json:"error"`
}

func readStored(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func readStoredEntries(t *testing.T) []storedEntry {
	t.Helper()
	var all []storedEntry
	if err := json.Unmarshal(readStored(t, storedEntries), &all); err != nil {
		t.Fatal(err)
	}
	return all
}

const (
	storedMemberID     = 17624918467334321323
	storedRoundToken   = 281474976710710
	storedRolloutToken = 281474976710726
	storedSpareToken   = 281474976710664
)

// storedLog is what the entries of the stored log say, field by field.
func storedLog() []Entry {
	round, rollout := Token(storedRoundToken), Token(storedRolloutToken)
	drain, patch := StepKey{"n2", "out"}, StepKey{"n2", "patch"}
	return []Entry{
		{Kind: Raise, Seq: 1},
		{Kind: Speak, Level: 1, Knows: 1, Seq: storedMemberID},
		{Kind: Join, Node: &Node{Name: "n3", Zone: "z1", Address: "10.0.0.13:7600", Capacity: 0.5, Owns: true, Run: "run-3"}},
		{Kind: Forget, Node: &Node{Name: "n9"}, Who: "ann", Reason: "scrapped"},
		{Kind: Acquire, Work: "round", Holder: "n1/run-1", Lease: 5 * time.Second},
		{Kind: Renew, Work: "round", Token: round},
		{Kind: Ask, Work: "round", Who: "ann", Reason: "restart of n1"},
		{Kind: Start, Job: "round-1", Who: "ann", Reason: "kernel", Spec: &Spec{
			Kind: "round", Nodes: []string{"n1", "n2", "n3"}, AtOnce: 2, Need: 1.5, ByZone: true, Failures: 3, Deadline: time.Minute, Drain: 30 * time.Second,
		}},
		{Kind: Begin, Job: "round-1", Step: drain, Token: round},
		{Kind: Done, Job: "round-1", Step: drain, Token: round, Outcome: "ok"},
		{Kind: Begin, Job: "round-1", Step: patch, Token: round},
		{Kind: Done, Job: "round-1", Step: patch, Token: round, Outcome: "doubt", Detail: "look ended with 3"},
		{Kind: Order, Job: "round-1", Order: "pause", Who: "bob", Reason: "lunch"},
		{Kind: Close, Job: "round-1", Token: round, Outcome: "stopped", Detail: "in doubt: n2/patch: look ended with 3"},
		{Kind: Order, Job: "round-1", Order: "back"},
		{Kind: Begin, Job: "round-1", Step: StepKey{"n2", "back-out"}, Token: round},
		{Kind: Push, Work: "round", Who: "bob", Reason: "hangs"},
		{Kind: Expire, Work: "round", Token: round, Seq: 1},
		{Kind: Offer, Thing: "settings", Digest: "sha256:a", Who: "ann"},
		{Kind: Start, Job: "roll-1", Spec: &Spec{
			Kind: "rollout", Thing: "settings", Digest: "sha256:b", Stages: [][]string{{"n1"}, {"n2"}}, Lag: 1,
		}},
		{Kind: Acquire, Work: "rollout", Holder: "n3/run-3", Lease: 2 * time.Second},
		{Kind: Stage, Thing: "settings", Job: "roll-1", Token: rollout},
		{Kind: Stage, Thing: "settings", Job: "roll-1", Token: rollout, Seq: 1},
		{Kind: Stage, Thing: "settings", Job: "roll-1", Token: rollout, Seq: 2},
		{Kind: Retire, Thing: "settings", Job: "roll-1", Token: rollout, Digest: "sha256:a"},
		{Kind: Clear, Thing: "settings", Job: "roll-1", Token: rollout, Digest: "sha256:a", Seq: 74},
		{Kind: Close, Job: "roll-1", Token: rollout, Outcome: "done"},
		{Kind: Start, Job: "roll-2", Spec: &Spec{Kind: "rollout", Thing: "settings", Digest: "sha256:c", Stages: [][]string{{"n1"}}}},
		{Kind: Stage, Thing: "settings", Job: "roll-2", Token: rollout},
		{Kind: Hold, Who: "ann", Reason: "cables", Hold: &HoldOrder{
			ID: "hold-1", Servers: []string{"s1", "s2"}, Zones: []string{"z2"}, Until: time.Date(2027, 8, 9, 10, 11, 12, 0, time.UTC),
		}},
		{Kind: Lift, Hold: &HoldOrder{ID: "hold-0"}, Who: "ann"},
		{Kind: Release, Work: "spare", Token: storedSpareToken},
		{Kind: Renew, Work: "spare", Token: storedSpareToken},
		{Kind: Acquire, Work: "rollout", Holder: "n1/run-1", Lease: time.Second},
		{Kind: Lift, Hold: &HoldOrder{ID: "hold-0"}},
		{Kind: Offer, Thing: "settings", Digest: "sha256:z"},
		{Kind: Join, Level: 9},
		{Kind: Hold},
		{Kind: Start, Job: "round-2", Spec: &Spec{Kind: "round", Nodes: []string{"n1"}, AtOnce: 1}},
		{Kind: Acquire, Work: "round", Holder: "n3/run-3", Lease: 3 * time.Second},
	}
}

// storedResult is what the state after the stored log says, field by field.
func storedResult() *State {
	out, in, patch := StepKey{"n1", "out"}, StepKey{"n1", "in"}, StepKey{"n2", "patch"}
	return &State{
		At: 89, Epoch: 1, Level: 1,
		Members: map[uint64]Member{storedMemberID: {ID: storedMemberID, Name: "c1", Address: "10.0.0.1:7600", Level: 1}},
		Nodes: map[string]Node{
			"n1": {Name: "n1", Zone: "z1", Address: "10.0.0.11:7600", Capacity: 2.5, Owns: true, Run: "run-1"},
			"n2": {Name: "n2", Zone: "z2", Address: "10.0.0.12:7600", Capacity: 1, Run: "run-2"},
			"n3": {Name: "n3", Zone: "z1", Address: "10.0.0.13:7600", Capacity: 0.5, Owns: true, Run: "run-3"},
		},
		Owners: map[string]Owner{
			"rollout": {Work: "rollout", Holder: "n3/run-3", Token: storedRolloutToken, Lease: 2 * time.Second, Since: 70},
			"round":   {Work: "round", Holder: "n3/run-3", Token: 281474976710745, Lease: 3 * time.Second, Since: 89},
		},
		Last: map[string]Token{"rollout": storedRolloutToken, "round": 281474976710745, "spare": storedSpareToken},
		Jobs: map[string]*Job{
			"roll-1": {ID: "roll-1", Order: "go", Since: 69, Over: "done", Spec: Spec{
				Kind: "rollout", Thing: "settings", Digest: "sha256:b", Stages: [][]string{{"n1"}, {"n2"}}, Lag: 1,
			}},
			"roll-2": {ID: "roll-2", Order: "go", Since: 77, Spec: Spec{
				Kind: "rollout", Thing: "settings", Digest: "sha256:c", Stages: [][]string{{"n1"}},
			}},
			"round-1": {ID: "round-1", Order: "back", Who: "ann", Reason: "kernel", Since: 57, Failures: 1, Spec: Spec{
				Kind: "round", Nodes: []string{"n1", "n2", "n3"}, AtOnce: 2, Need: 1.5, ByZone: true, Failures: 3, Deadline: time.Minute, Drain: 30 * time.Second,
			}, Steps: map[StepKey]Step{
				{"n2", "out"}:      {Begun: 58, Token: storedRoundToken, Tries: 1, Ended: 59, Outcome: "ok"},
				patch:              {Begun: 60, Token: storedRoundToken, Tries: 1, Ended: 61, Outcome: "doubt", Detail: "look ended with 3"},
				{"n2", "back-out"}: {Begun: 65, Token: storedRoundToken, Tries: 1},
			}},
			"round-old": {ID: "round-old", Order: "go", Who: "bob", Since: 9, Failures: 1, Over: "stopped", Detail: "1 steps failed", Spec: Spec{
				Kind: "round", Nodes: []string{"n1"}, AtOnce: 1,
			}, Steps: map[StepKey]Step{
				out: {Begun: 11, Token: 281474976710666, Tries: 1, Ended: 12, Outcome: "failed", Detail: "deadline"},
				in:  {Begun: 13, Token: 281474976710666, Tries: 1, Ended: 14, Outcome: "ok"},
			}},
		},
		Holds: map[string]*HoldOrder{"hold-1": {
			ID: "hold-1", Servers: []string{"s1", "s2"}, Zones: []string{"z2"}, Until: time.Date(2027, 8, 9, 10, 11, 12, 0, time.UTC),
			Who: "ann", Reason: "cables", At: 79,
		}},
		Things: map[string]*Thing{
			"routes":   {Name: "routes", Now: Version{"sha256:r0", 7}},
			"settings": {Name: "settings", Now: Version{"sha256:b", 71}, Next: &Version{"sha256:c", 78}, On: []string{"n1"}},
		},
	}
}

// Entries of every kind that an earlier program stored are read as they were meant, and written as they were stored.
func TestStoredEntries_DecodeAndEncodeUnchanged(t *testing.T) {
	want := storedLog()
	stored := readStoredEntries(t)
	if len(stored) != len(want) {
		t.Fatalf("%d entries are stored, %d are expected", len(stored), len(want))
	}
	seen := make(map[Kind]bool)
	for i, s := range stored {
		var e Entry
		if err := json.Unmarshal([]byte(s.Raw), &e); err != nil {
			t.Fatalf("%s: %v", s.Raw, err)
		}
		seen[e.Kind] = true
		if !reflect.DeepEqual(e, want[i]) {
			t.Errorf("%s reads as %+v, want %+v", s.Raw, e, want[i])
		}
		if again := string(e.Marshal()); again != s.Raw {
			t.Errorf("stored %s, written again %s", s.Raw, again)
		}
	}
	for kind := range levelOf {
		if !seen[kind] {
			t.Errorf("no entry of kind %q is stored", kind)
		}
	}
	if len(seen) != 21 {
		t.Errorf("%d kinds are stored, want 21", len(seen))
	}
}

// The stored log leads from the stored snapshot to the stored state, each entry with the outcome it had then.
func TestStoredLog_AppliesToStoredState(t *testing.T) {
	raw := readStored(t, storedSnapshot)
	s, err := Unmarshal(raw)
	if err != nil {
		t.Fatal(err)
	}
	if again := string(s.Marshal()); again != string(raw) {
		t.Errorf("the snapshot is stored as %s, written again %s", raw, again)
	}
	for _, e := range readStoredEntries(t) {
		next, r, err := s.Apply(e.Position, []byte(e.Raw))
		if err != nil {
			t.Fatalf("%s: %v", e.Raw, err)
		}
		text := ""
		if r.Err != nil {
			text = r.Err.Error()
		}
		if r.At != e.Position || r.Token != e.Token || text != e.Error {
			t.Errorf("%s: %+v, want %+v", e.Raw, r, e)
		}
		s = next
	}
	if want := storedResult(); !reflect.DeepEqual(s, want) {
		t.Errorf("the state is %s, want %s", s.Marshal(), want.Marshal())
	}
	if want := string(readStored(t, storedState)); string(s.Marshal()) != want {
		t.Errorf("the state is written as %s, want %s", s.Marshal(), want)
	}
}
