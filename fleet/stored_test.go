package fleet

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"testing"
	"time"
)

// The files in testdata were written by an earlier version of the program, and guard the stored format against
// changes. They have a state with every field set, a log with accepted and rejected entries of all kinds, and the
// state after that log.
const (
	storedSnapshot = "testdata/snapshot.json"
	storedEntries  = "testdata/entries.json"
	storedState    = "testdata/state.json"
)

// storedEntry is one entry of the stored log, with the outcome that the earlier program stored.
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
	storedMemberID      = 17624918467334321323
	storedOldRoundToken = 281474976710666
	storedRoundToken    = 281474976710710
	storedNewRoundToken = 281474976710745
	storedRolloutToken  = 281474976710726
	storedSpareToken    = 281474976710664
)

// storedSpec returns the specification of the rolling update round-1 in the stored log.
func storedSpec() JobSpec {
	return JobSpec{
		Kind:           "round",
		Nodes:          []string{"n1", "n2", "n3"},
		MaxUnavailable: 2,
		MinCapacity:    1.5,
		ByZone:         true,
		MaxFailures:    3,
		StepTimeout:    time.Minute,
		DrainTimeout:   30 * time.Second,
	}
}

// storedRolloutSpec returns the specification of a rollout in the stored log.
func storedRolloutSpec(digest string, maxStragglers int, stages ...[]string) JobSpec {
	return JobSpec{Kind: "rollout", Artifact: "settings", Digest: digest, Stages: stages, MaxStragglers: maxStragglers}
}

// storedNode returns the node n3 as the stored log registers it.
func storedNode() Node {
	return Node{
		Name:           "n3",
		Zone:           "z1",
		Address:        "10.0.0.13:7600",
		Capacity:       0.5,
		LeaseCandidate: true,
		Incarnation:    "run-3",
	}
}

// storedOrder returns the disable order hold-1 as it was proposed.
func storedOrder() DisableOrder {
	return DisableOrder{
		ID:      "hold-1",
		Servers: []string{"s1", "s2"},
		Zones:   []string{"z2"},
		Until:   time.Date(2027, 8, 9, 10, 11, 12, 0, time.UTC),
	}
}

// storedLog returns the entries to which the stored log must decode.
func storedLog() []Entry {
	return slices.Concat(storedMembershipEntries(), storedJobEntries(), storedRolloutEntries(), storedOtherEntries())
}

func storedMembershipEntries() []Entry {
	node := storedNode()
	return []Entry{
		{Kind: KindUpgradeFormat, Argument: 1},
		{Kind: KindAnnounceFormat, FormatVersion: 1, SupportedFormat: 1, Argument: storedMemberID},
		{Kind: KindRegisterNode, Node: &node},
		{Kind: KindRemoveNode, Node: &Node{Name: "n9"}, RequestedBy: "ann", Reason: "scrapped"},
	}
}

func storedJobEntries() []Entry {
	spec := storedSpec()
	drain, patch, rollback := StepKey{"n2", "out"}, StepKey{"n2", "patch"}, StepKey{"n2", "back-out"}
	ofJob := func(kind Kind, step StepKey, outcome, detail string) Entry {
		token := FencingToken(storedRoundToken)
		return Entry{Kind: kind, JobID: "round-1", Step: step, FencingToken: token, Outcome: outcome, Detail: detail}
	}
	return []Entry{
		{Kind: KindGrantLease, Resource: "round", Holder: "n1/run-1", LeaseDuration: 5 * time.Second},
		{Kind: KindRenewLease, Resource: "round", FencingToken: storedRoundToken},
		{Kind: KindRequestStepDown, Resource: "round", RequestedBy: "ann", Reason: "restart of n1"},
		{Kind: KindStartJob, JobID: "round-1", RequestedBy: "ann", Reason: "kernel", Spec: &spec},
		ofJob(KindBeginStep, drain, "", ""),
		ofJob(KindFinishStep, drain, "ok", ""),
		ofJob(KindBeginStep, patch, "", ""),
		ofJob(KindFinishStep, patch, "doubt", "look ended with 3"),
		{Kind: KindControlJob, JobID: "round-1", Command: "pause", RequestedBy: "bob", Reason: "lunch"},
		ofJob(KindCloseJob, StepKey{}, "stopped", "in doubt: n2/patch: look ended with 3"),
		{Kind: KindControlJob, JobID: "round-1", Command: "back"},
		ofJob(KindBeginStep, rollback, "", ""),
		{Kind: KindRevokeLease, Resource: "round", RequestedBy: "bob", Reason: "hangs"},
		{Kind: KindExpireLease, Resource: "round", FencingToken: storedRoundToken, Argument: 1},
	}
}

func storedRolloutEntries() []Entry {
	first := storedRolloutSpec("sha256:b", 1, []string{"n1"}, []string{"n2"})
	second := storedRolloutSpec("sha256:c", 0, []string{"n1"})
	ofJob := func(kind Kind, job, digest string, argument uint64) Entry {
		token := FencingToken(storedRolloutToken)
		return Entry{Kind: kind, Artifact: "settings", JobID: job, FencingToken: token, Digest: digest, Argument: argument}
	}
	return []Entry{
		{Kind: KindPublishVersion, Artifact: "settings", Digest: "sha256:a", RequestedBy: "ann"},
		{Kind: KindStartJob, JobID: "roll-1", Spec: &first},
		{Kind: KindGrantLease, Resource: "rollout", Holder: "n3/run-3", LeaseDuration: 2 * time.Second},
		ofJob(KindPromoteVersion, "roll-1", "", 0),
		ofJob(KindPromoteVersion, "roll-1", "", 1),
		ofJob(KindPromoteVersion, "roll-1", "", 2),
		ofJob(KindRetireVersion, "roll-1", "sha256:a", 0),
		ofJob(KindClearVersion, "roll-1", "sha256:a", 74),
		{Kind: KindCloseJob, JobID: "roll-1", FencingToken: storedRolloutToken, Outcome: "done"},
		{Kind: KindStartJob, JobID: "roll-2", Spec: &second},
		ofJob(KindPromoteVersion, "roll-2", "", 0),
	}
}

func storedOtherEntries() []Entry {
	order := storedOrder()
	return []Entry{
		{Kind: KindDisableServers, RequestedBy: "ann", Reason: "cables", DisableOrder: &order},
		{Kind: KindEnableServers, DisableOrder: &DisableOrder{ID: "hold-0"}, RequestedBy: "ann"},
		{Kind: KindReleaseLease, Resource: "spare", FencingToken: storedSpareToken},
		{Kind: KindRenewLease, Resource: "spare", FencingToken: storedSpareToken},
		{Kind: KindGrantLease, Resource: "rollout", Holder: "n1/run-1", LeaseDuration: time.Second},
		{Kind: KindEnableServers, DisableOrder: &DisableOrder{ID: "hold-0"}},
		{Kind: KindPublishVersion, Artifact: "settings", Digest: "sha256:z"},
		{Kind: KindRegisterNode, FormatVersion: 9},
		{Kind: KindDisableServers},
		{
			Kind:  KindStartJob,
			JobID: "round-2",
			Spec:  &JobSpec{Kind: "round", Nodes: []string{"n1"}, MaxUnavailable: 1},
		},
		{Kind: KindGrantLease, Resource: "round", Holder: "n3/run-3", LeaseDuration: 3 * time.Second},
	}
}

// storedResult returns the expected state after the stored log.
func storedResult() *State {
	order := storedOrder()
	order.RequestedBy, order.Reason, order.Position = "ann", "cables", 79
	return &State{
		Position:      89,
		Epoch:         1,
		FormatVersion: 1,
		Members: map[uint64]Member{
			storedMemberID: {ID: storedMemberID, Name: "c1", Address: "10.0.0.1:7600", SupportedFormat: 1},
		},
		Nodes: map[string]Node{
			"n1": {
				Name:           "n1",
				Zone:           "z1",
				Address:        "10.0.0.11:7600",
				Capacity:       2.5,
				LeaseCandidate: true,
				Incarnation:    "run-1",
			},
			"n2": {Name: "n2", Zone: "z2", Address: "10.0.0.12:7600", Capacity: 1, Incarnation: "run-2"},
			"n3": storedNode(),
		},
		Leases: map[string]Lease{
			"rollout": {
				Resource:     "rollout",
				Holder:       "n3/run-3",
				FencingToken: storedRolloutToken,
				Duration:     2 * time.Second,
				GrantedAt:    70,
			},
			"round": {
				Resource:     "round",
				Holder:       "n3/run-3",
				FencingToken: storedNewRoundToken,
				Duration:     3 * time.Second,
				GrantedAt:    89,
			},
		},
		HighestTokens: map[string]FencingToken{
			"rollout": storedRolloutToken,
			"round":   storedNewRoundToken,
			"spare":   storedSpareToken,
		},
		Jobs:          storedJobs(),
		DisableOrders: map[string]*DisableOrder{"hold-1": &order},
		Artifacts: map[string]*Artifact{
			"routes": {Name: "routes", Current: Version{"sha256:r0", 7}},
			"settings": {
				Name:      "settings",
				Current:   Version{"sha256:b", 71},
				Next:      &Version{"sha256:c", 78},
				NextNodes: []string{"n1"},
			},
		},
	}
}

func storedJobs() map[string]*Job {
	step := func(started, finished Position, token FencingToken, outcome StepOutcome, detail string) Step {
		return Step{
			StartedAt:    started,
			FencingToken: token,
			Attempts:     1,
			FinishedAt:   finished,
			Outcome:      outcome,
			Detail:       detail,
		}
	}
	return map[string]*Job{
		"roll-1": {
			ID:          "roll-1",
			Spec:        storedRolloutSpec("sha256:b", 1, []string{"n1"}, []string{"n2"}),
			Command:     "go",
			CreatedAt:   69,
			CloseReason: "done",
		},
		"roll-2": {
			ID:        "roll-2",
			Spec:      storedRolloutSpec("sha256:c", 0, []string{"n1"}),
			Command:   "go",
			CreatedAt: 77,
		},
		"round-1": {
			ID:          "round-1",
			Spec:        storedSpec(),
			Command:     "back",
			RequestedBy: "ann",
			Reason:      "kernel",
			CreatedAt:   57,
			Failures:    1,
			Steps: map[StepKey]Step{
				{"n2", "out"}:      step(58, 59, storedRoundToken, "ok", ""),
				{"n2", "patch"}:    step(60, 61, storedRoundToken, "doubt", "look ended with 3"),
				{"n2", "back-out"}: step(65, 0, storedRoundToken, "", ""),
			},
		},
		"round-old": {
			ID:          "round-old",
			Spec:        JobSpec{Kind: "round", Nodes: []string{"n1"}, MaxUnavailable: 1},
			Command:     "go",
			RequestedBy: "bob",
			CreatedAt:   9,
			Failures:    1,
			CloseReason: "stopped",
			Detail:      "1 steps failed",
			Steps: map[StepKey]Step{
				{"n1", "out"}: step(11, 12, storedOldRoundToken, "failed", "deadline"),
				{"n1", "in"}:  step(13, 14, storedOldRoundToken, "ok", ""),
			},
		},
	}
}

// TestStoredEntries_DecodeAndEncodeUnchanged checks that stored entries of every kind decode to the expected fields,
// and encode to the stored bytes.
func TestStoredEntries_DecodeAndEncodeUnchanged(t *testing.T) {
	want := storedLog()
	stored := readStoredEntries(t)
	if len(stored) != len(want) {
		t.Fatalf("%d entries are stored, want %d", len(stored), len(want))
	}
	seen := make(map[Kind]bool)
	for i, current := range stored {
		var entry Entry
		if err := json.Unmarshal([]byte(current.Raw), &entry); err != nil {
			t.Fatalf("%s: %v", current.Raw, err)
		}
		seen[entry.Kind] = true
		if !reflect.DeepEqual(entry, want[i]) {
			t.Errorf("%s decodes to %+v, want %+v", current.Raw, entry, want[i])
		}
		if encoded := string(entry.Marshal()); encoded != current.Raw {
			t.Errorf("the stored entry %s is encoded again as %s", current.Raw, encoded)
		}
	}
	for kind := range kinds {
		if !seen[kind] {
			t.Errorf("no entry of kind %q is stored", kind)
		}
	}
	if len(seen) != 21 {
		t.Errorf("entries of %d kinds are stored, want 21", len(seen))
	}
}

// TestStoredLog_AppliesToStoredState checks that the stored log, applied to the stored snapshot, leads to the stored
// state. Each entry must have the stored outcome.
func TestStoredLog_AppliesToStoredState(t *testing.T) {
	raw := readStored(t, storedSnapshot)
	state, err := UnmarshalState(raw)
	if err != nil {
		t.Fatal(err)
	}
	if encoded := string(state.Marshal()); encoded != string(raw) {
		t.Errorf("the stored snapshot %s is encoded again as %s", raw, encoded)
	}
	for _, current := range readStoredEntries(t) {
		next, result, err := state.Apply(current.Position, []byte(current.Raw))
		if err != nil {
			t.Fatalf("%s: %v", current.Raw, err)
		}
		text := ""
		if result.Err != nil {
			text = RejectionWireText(result.Err)
		}
		if result.Position != current.Position || result.FencingToken != current.Token || text != current.Error {
			t.Errorf("%s: %+v, want %+v", current.Raw, result, current)
		}
		state = next
	}
	if want := storedResult(); !reflect.DeepEqual(state, want) {
		t.Errorf("the state is %s, want %s", state.Marshal(), want.Marshal())
	}
	if want := string(readStored(t, storedState)); string(state.Marshal()) != want {
		t.Errorf("the state is encoded as %s, want %s", state.Marshal(), want)
	}
}
