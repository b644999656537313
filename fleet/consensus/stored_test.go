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
	storedProposalID = 0xabcd // of each entry
	storedPosition   = 89     // of the last entry
)

// openStored opens a copy of the storage that a replica wrote before the program's Go names changed.
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

// readShared reads a file that the tests of package fleet check field by field.
func readShared(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Storage of an earlier program holds what that program has saved: its ID, its vote, a snapshot, and the log after it.
func TestStoredStorage_LoadsUnchanged(t *testing.T) {
	persisted := loadStored(t)
	if persisted.ID != storedID {
		t.Errorf("the ID is %d, want %d", persisted.ID, uint64(storedID))
	}
	hard := persisted.HardState
	if hard.GetTerm() != 2 || hard.GetVote() != storedID || hard.GetCommit() != storedPosition {
		t.Errorf("the hard state is %v", hard)
	}
	metadata := persisted.Snapshot.GetMetadata()
	voters := metadata.GetConfState().GetVoters()
	if metadata.GetIndex() != 49 || len(voters) != 1 || voters[0] != storedID {
		t.Errorf("the snapshot is %v", metadata)
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
			t.Errorf("entry %d of proposal %x, want entry %d", entry.GetIndex(), decodeID(data), want[i].Position)
		}
		if raw := string(data[proposalIDSize:]); raw != want[i].Raw {
			t.Errorf("entry %d is %s, want %s", entry.GetIndex(), raw, want[i].Raw)
		}
	}
}

// settle stores and applies what a core has made.
func settle(t *testing.T, core *Core, storage Storage) {
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

// elect has a single replica become the leader.
func elect(t *testing.T, core *Core, storage Storage) {
	t.Helper()
	settle(t, core, storage)
	for range 10 * electionTicks {
		if core.Leader() == core.ID() {
			return
		}
		core.node.Tick()
		settle(t, core, storage)
	}
	t.Fatal("the replica does not become the leader")
}

// A replica started on storage of an earlier program reaches the state of that program, and continues from there.
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
	elect(t, core, storage)
	state := core.State()
	if state.Position != storedPosition+1 { // the last entry is the new leader's own, and empty
		t.Fatalf("the state is at position %d", state.Position)
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
	settle(t, core, storage)
	if after := core.State().HighestTokens[fleet.ResourceRollingUpdate]; after <= before {
		t.Errorf("the token went from %d to %d", before, after)
	}
}

// An operator forces a new cluster on storage of an earlier program: the state is kept, and tokens grow on.
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
		t.Errorf("the state is %s", state.Marshal())
	}
	next := fleet.NewFencingToken(state.Epoch, state.Position)
	if highest := state.HighestTokens[fleet.ResourceRollingUpdate]; next <= highest {
		t.Errorf("the next token is %d, after %d", next, highest)
	}
}

// Messages as an earlier program wrote them are read, and written as they were.
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
			t.Errorf("an error is transmitted as %q, want %q", text, texts[i])
		}
	}
}
