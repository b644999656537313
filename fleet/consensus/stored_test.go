package consensus

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"cobaltward/fleet"
	"cobaltward/fleet/internal/jsontest"
	"cobaltward/fleet/lease"
)

const (
	storedID         = 17624918467334321323
	storedProposalID = 0xabcd // proposal ID of every stored entry
	storedPosition   = 89     // position of the last stored entry
)

// openStored opens a copy of the storage of a replica of an earlier version of the program. The copy guards the
// stored format against changes.
func openStored(t *testing.T) Storage {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", storageFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storageFile), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	storage, err := OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := storage.Close(); err != nil {
			t.Error(err)
		}
	})
	return storage
}

func loadStored(t *testing.T) PersistentState {
	t.Helper()
	persisted, err := openStored(t).Load()
	if err != nil {
		t.Fatal(err)
	}
	return persisted
}

// readShared reads a file of package fleet's testdata. The tests of package fleet check the fields of that file.
func readShared(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestStoredStorage_LoadsUnchanged checks that storage of an earlier version of the program loads with the same ID,
// vote, snapshot and log.
func TestStoredStorage_LoadsUnchanged(t *testing.T) {
	persisted := loadStored(t)
	if persisted.ID != storedID {
		t.Errorf("the ID is %d, want %d", persisted.ID, uint64(storedID))
	}
	hard := persisted.HardState
	if hard.GetTerm() != 2 || hard.GetVote() != storedID || hard.GetCommit() != storedPosition {
		t.Errorf("the hard state is %v, want term 2, the replica's vote for itself and the last position", hard)
	}
	metadata := persisted.Snapshot.GetMetadata()
	voters := metadata.GetConfState().GetVoters()
	if metadata.GetIndex() != 49 || len(voters) != 1 || voters[0] != storedID {
		t.Errorf("the snapshot has the metadata %v, want index 49 and the replica as the only voter", metadata)
	}
	if want := readShared(t, "snapshot.json"); string(persisted.Snapshot.GetData()) != string(want) {
		t.Errorf("the snapshot is %s, want %s", persisted.Snapshot.GetData(), want)
	}
	var want []struct {
		Raw      string         `json:"raw"`
		Position fleet.Position `json:"position"`
	}
	if err := json.Unmarshal(readShared(t, "entries.json"), &want); err != nil {
		t.Fatal(err)
	}
	if len(persisted.Entries) != len(want) {
		t.Fatalf("%d entries are stored, want %d", len(persisted.Entries), len(want))
	}
	for i, entry := range persisted.Entries {
		data := entry.GetData()
		if entry.GetIndex() != uint64(want[i].Position) || decodeID(data) != storedProposalID {
			t.Errorf("entry %d has proposal ID %x, want entry %d", entry.GetIndex(), decodeID(data), want[i].Position)
		}
		if raw := string(data[proposalIDSize:]); raw != want[i].Raw {
			t.Errorf("entry %d is %s, want %s", entry.GetIndex(), raw, want[i].Raw)
		}
	}
}

// saveAndApplyBatches saves and applies the write batches of a core until it has none left.
func saveAndApplyBatches(t *testing.T, core *Core, storage Storage) {
	t.Helper()
	for batch := core.Ready(); batch != nil; batch = core.Ready() {
		if err := storage.Save(batch); err != nil {
			t.Fatal(err)
		}
		if _, err := core.Advance(batch, 0); err != nil {
			t.Fatal(err)
		}
	}
}

// electLeader ticks the only replica of a cluster until it is the leader.
func electLeader(t *testing.T, core *Core, storage Storage) {
	t.Helper()
	saveAndApplyBatches(t, core, storage)
	for range 10 * electionTicks {
		if core.Leader() == core.ID() {
			return
		}
		core.node.Tick()
		saveAndApplyBatches(t, core, storage)
	}
	t.Fatal("the replica did not become the leader")
}

// TestStoredStorage_RestoresState checks that a replica with storage of an earlier version of the program reaches the
// stored state. It must grant higher tokens than before.
func TestStoredStorage_RestoresState(t *testing.T) {
	storage := openStored(t)
	persisted, err := storage.Load()
	if err != nil {
		t.Fatal(err)
	}
	core, err := NewCore(persisted, lease.UnsafeOptions{}, CompactAfter, 0, DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	electLeader(t, core, storage)
	state := core.State()
	if state.Position != storedPosition+1 { // one more: the empty entry of the new leader's term
		t.Fatalf("the state is at position %d, want one past the last stored entry", state.Position)
	}
	stored := *state
	stored.Position = storedPosition
	if want := readShared(t, "state.json"); string(stored.Marshal()) != string(want) {
		t.Errorf("the state is %s, want %s", stored.Marshal(), want)
	}
	before := state.HighestTokens[fleet.ResourceRollingUpdate]
	for i, entry := range []fleet.Entry{
		{Kind: fleet.KindReleaseLease, Resource: fleet.ResourceRollingUpdate, FencingToken: before},
		{Kind: fleet.KindGrantLease, Resource: fleet.ResourceRollingUpdate, Holder: "n1/run-4", LeaseDuration: 1},
	} {
		if err := core.Propose(uint64(i+1), entry); err != nil {
			t.Fatal(err)
		}
	}
	saveAndApplyBatches(t, core, storage)
	if after := core.State().HighestTokens[fleet.ResourceRollingUpdate]; after <= before {
		t.Errorf("the token after %d is %d, want a higher one", before, after)
	}
}

// TestStoredStorage_ForcesNewCluster checks that a new cluster can be forced on storage of an earlier version of the
// program. The new cluster must keep the state except for the leases and the other members, and grant higher tokens
// than before.
func TestStoredStorage_ForcesNewCluster(t *testing.T) {
	persisted := loadStored(t)
	forced, err := ForceNewCluster(persisted, fleet.Member{ID: persisted.ID, Name: "c1", Address: "10.0.0.1:7600"})
	if err != nil {
		t.Fatal(err)
	}
	state, err := fleet.UnmarshalState(forced.Snapshot.GetData())
	if err != nil {
		t.Fatal(err)
	}
	if state.Epoch != 2 || len(state.Leases) != 0 || len(state.Jobs) != 4 || len(state.Members) != 1 {
		t.Errorf("the state of the new cluster is %s", state.Marshal())
	}
	next := fleet.NewFencingToken(state.Epoch, state.Position)
	if highest := state.HighestTokens[fleet.ResourceRollingUpdate]; next <= highest {
		t.Errorf("the next token is %d, want one above %d", next, highest)
	}
}

// TestStoredMessages_DecodeAndEncodeUnchanged checks that messages of an earlier version of the program decode, and
// encode to the same bytes.
func TestStoredMessages_DecodeAndEncodeUnchanged(t *testing.T) {
	messages := jsontest.ReadMessages(t, filepath.Join("testdata", "wire.json"))
	for name, to := range map[string]any{
		"question":       new(WatchRequest),
		"answer_state":   new(WatchResponse),
		"answer_entries": new(WatchResponse),
		"proposed":       new(ProposeResponse),
		"status":         new(Status),
		"member":         new(MembershipRequest),
		"change":         new(membershipContext),
	} {
		t.Run(name, func(t *testing.T) { jsontest.RoundTrip(t, messages[name], to) })
	}
	var texts []string
	if err := json.Unmarshal(messages["errors"], &texts); err != nil {
		t.Fatal(err)
	}
	for i, err := range fleet.RejectionErrors() {
		if text := fleet.RejectionWireText(err); text != texts[i] {
			t.Errorf("a rejection error has the wire text %q, want %q", text, texts[i])
		}
	}
}
