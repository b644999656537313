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
	Raw      string       `json:"raw"`
	Position Position     `json:"position"`
	Token    FencingToken `json:"token"`
	Error    string       `json:"error"`
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
	round, rollout := FencingToken(storedRoundToken), FencingToken(storedRolloutToken)
	drain, patch := StepKey{"n2", "out"}, StepKey{"n2", "patch"}
	return []Entry{
		{Kind: KindUpgradeFormat, Argument: 1},
		{Kind: KindAnnounceFormat, FormatVersion: 1, SupportedFormat: 1, Argument: storedMemberID},
		{Kind: KindRegisterNode, Node: &Node{Name: "n3", Zone: "z1", Address: "10.0.0.13:7600", Capacity: 0.5, LeaseCandidate: true, Incarnation: "run-3"}},
		{Kind: KindRemoveNode, Node: &Node{Name: "n9"}, RequestedBy: "ann", Reason: "scrapped"},
		{Kind: KindGrantLease, Resource: "round", Holder: "n1/run-1", LeaseDuration: 5 * time.Second},
		{Kind: KindRenewLease, Resource: "round", FencingToken: round},
		{Kind: KindRequestStepDown, Resource: "round", RequestedBy: "ann", Reason: "restart of n1"},
		{Kind: KindStartJob, JobID: "round-1", RequestedBy: "ann", Reason: "kernel", Spec: &JobSpec{
			Kind: "round", Nodes: []string{"n1", "n2", "n3"}, MaxUnavailable: 2, MinCapacity: 1.5, ByZone: true, MaxFailures: 3, StepTimeout: time.Minute, DrainTimeout: 30 * time.Second,
		}},
		{Kind: KindBeginStep, JobID: "round-1", Step: drain, FencingToken: round},
		{Kind: KindFinishStep, JobID: "round-1", Step: drain, FencingToken: round, Outcome: "ok"},
		{Kind: KindBeginStep, JobID: "round-1", Step: patch, FencingToken: round},
		{Kind: KindFinishStep, JobID: "round-1", Step: patch, FencingToken: round, Outcome: "doubt", Detail: "look ended with 3"},
		{Kind: KindControlJob, JobID: "round-1", Command: "pause", RequestedBy: "bob", Reason: "lunch"},
		{Kind: KindCloseJob, JobID: "round-1", FencingToken: round, Outcome: "stopped", Detail: "in doubt: n2/patch: look ended with 3"},
		{Kind: KindControlJob, JobID: "round-1", Command: "back"},
		{Kind: KindBeginStep, JobID: "round-1", Step: StepKey{"n2", "back-out"}, FencingToken: round},
		{Kind: KindRevokeLease, Resource: "round", RequestedBy: "bob", Reason: "hangs"},
		{Kind: KindExpireLease, Resource: "round", FencingToken: round, Argument: 1},
		{Kind: KindPublishVersion, Artifact: "settings", Digest: "sha256:a", RequestedBy: "ann"},
		{Kind: KindStartJob, JobID: "roll-1", Spec: &JobSpec{
			Kind: "rollout", Artifact: "settings", Digest: "sha256:b", Stages: [][]string{{"n1"}, {"n2"}}, MaxStragglers: 1,
		}},
		{Kind: KindGrantLease, Resource: "rollout", Holder: "n3/run-3", LeaseDuration: 2 * time.Second},
		{Kind: KindPromoteVersion, Artifact: "settings", JobID: "roll-1", FencingToken: rollout},
		{Kind: KindPromoteVersion, Artifact: "settings", JobID: "roll-1", FencingToken: rollout, Argument: 1},
		{Kind: KindPromoteVersion, Artifact: "settings", JobID: "roll-1", FencingToken: rollout, Argument: 2},
		{Kind: KindRetireVersion, Artifact: "settings", JobID: "roll-1", FencingToken: rollout, Digest: "sha256:a"},
		{Kind: KindClearVersion, Artifact: "settings", JobID: "roll-1", FencingToken: rollout, Digest: "sha256:a", Argument: 74},
		{Kind: KindCloseJob, JobID: "roll-1", FencingToken: rollout, Outcome: "done"},
		{Kind: KindStartJob, JobID: "roll-2", Spec: &JobSpec{Kind: "rollout", Artifact: "settings", Digest: "sha256:c", Stages: [][]string{{"n1"}}}},
		{Kind: KindPromoteVersion, Artifact: "settings", JobID: "roll-2", FencingToken: rollout},
		{Kind: KindDisableServers, RequestedBy: "ann", Reason: "cables", DisableOrder: &DisableOrder{
			ID: "hold-1", Servers: []string{"s1", "s2"}, Zones: []string{"z2"}, Until: time.Date(2027, 8, 9, 10, 11, 12, 0, time.UTC),
		}},
		{Kind: KindEnableServers, DisableOrder: &DisableOrder{ID: "hold-0"}, RequestedBy: "ann"},
		{Kind: KindReleaseLease, Resource: "spare", FencingToken: storedSpareToken},
		{Kind: KindRenewLease, Resource: "spare", FencingToken: storedSpareToken},
		{Kind: KindGrantLease, Resource: "rollout", Holder: "n1/run-1", LeaseDuration: time.Second},
		{Kind: KindEnableServers, DisableOrder: &DisableOrder{ID: "hold-0"}},
		{Kind: KindPublishVersion, Artifact: "settings", Digest: "sha256:z"},
		{Kind: KindRegisterNode, FormatVersion: 9},
		{Kind: KindDisableServers},
		{Kind: KindStartJob, JobID: "round-2", Spec: &JobSpec{Kind: "round", Nodes: []string{"n1"}, MaxUnavailable: 1}},
		{Kind: KindGrantLease, Resource: "round", Holder: "n3/run-3", LeaseDuration: 3 * time.Second},
	}
}

// storedResult is what the state after the stored log says, field by field.
func storedResult() *State {
	out, in, patch := StepKey{"n1", "out"}, StepKey{"n1", "in"}, StepKey{"n2", "patch"}
	return &State{
		Position: 89, Epoch: 1, FormatVersion: 1,
		Members: map[uint64]Member{storedMemberID: {ID: storedMemberID, Name: "c1", Address: "10.0.0.1:7600", SupportedFormat: 1}},
		Nodes: map[string]Node{
			"n1": {Name: "n1", Zone: "z1", Address: "10.0.0.11:7600", Capacity: 2.5, LeaseCandidate: true, Incarnation: "run-1"},
			"n2": {Name: "n2", Zone: "z2", Address: "10.0.0.12:7600", Capacity: 1, Incarnation: "run-2"},
			"n3": {Name: "n3", Zone: "z1", Address: "10.0.0.13:7600", Capacity: 0.5, LeaseCandidate: true, Incarnation: "run-3"},
		},
		Leases: map[string]Lease{
			"rollout": {Resource: "rollout", Holder: "n3/run-3", FencingToken: storedRolloutToken, Duration: 2 * time.Second, GrantedAt: 70},
			"round":   {Resource: "round", Holder: "n3/run-3", FencingToken: 281474976710745, Duration: 3 * time.Second, GrantedAt: 89},
		},
		HighestTokens: map[string]FencingToken{"rollout": storedRolloutToken, "round": 281474976710745, "spare": storedSpareToken},
		Jobs: map[string]*Job{
			"roll-1": {ID: "roll-1", Command: "go", CreatedAt: 69, CloseReason: "done", Spec: JobSpec{
				Kind: "rollout", Artifact: "settings", Digest: "sha256:b", Stages: [][]string{{"n1"}, {"n2"}}, MaxStragglers: 1,
			}},
			"roll-2": {ID: "roll-2", Command: "go", CreatedAt: 77, Spec: JobSpec{
				Kind: "rollout", Artifact: "settings", Digest: "sha256:c", Stages: [][]string{{"n1"}},
			}},
			"round-1": {ID: "round-1", Command: "back", RequestedBy: "ann", Reason: "kernel", CreatedAt: 57, Failures: 1, Spec: JobSpec{
				Kind: "round", Nodes: []string{"n1", "n2", "n3"}, MaxUnavailable: 2, MinCapacity: 1.5, ByZone: true, MaxFailures: 3, StepTimeout: time.Minute, DrainTimeout: 30 * time.Second,
			}, Steps: map[StepKey]Step{
				{"n2", "out"}:      {StartedAt: 58, FencingToken: storedRoundToken, Attempts: 1, FinishedAt: 59, Outcome: "ok"},
				patch:              {StartedAt: 60, FencingToken: storedRoundToken, Attempts: 1, FinishedAt: 61, Outcome: "doubt", Detail: "look ended with 3"},
				{"n2", "back-out"}: {StartedAt: 65, FencingToken: storedRoundToken, Attempts: 1},
			}},
			"round-old": {ID: "round-old", Command: "go", RequestedBy: "bob", CreatedAt: 9, Failures: 1, CloseReason: "stopped", Detail: "1 steps failed", Spec: JobSpec{
				Kind: "round", Nodes: []string{"n1"}, MaxUnavailable: 1,
			}, Steps: map[StepKey]Step{
				out: {StartedAt: 11, FencingToken: 281474976710666, Attempts: 1, FinishedAt: 12, Outcome: "failed", Detail: "deadline"},
				in:  {StartedAt: 13, FencingToken: 281474976710666, Attempts: 1, FinishedAt: 14, Outcome: "ok"},
			}},
		},
		DisableOrders: map[string]*DisableOrder{"hold-1": {
			ID: "hold-1", Servers: []string{"s1", "s2"}, Zones: []string{"z2"}, Until: time.Date(2027, 8, 9, 10, 11, 12, 0, time.UTC),
			RequestedBy: "ann", Reason: "cables", Position: 79,
		}},
		Artifacts: map[string]*Artifact{
			"routes":   {Name: "routes", Current: Version{"sha256:r0", 7}},
			"settings": {Name: "settings", Current: Version{"sha256:b", 71}, Next: &Version{"sha256:c", 78}, NextNodes: []string{"n1"}},
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
	for kind := range kindFormats {
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
	s, err := UnmarshalState(raw)
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
		if r.Position != e.Position || r.FencingToken != e.Token || text != e.Error {
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
