package consensus

import (
	"encoding/binary"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"cobaltward/fleet"
	"cobaltward/fleet/internal/jsontest"
	"cobaltward/fleet/lease"
)

// storedDisk opens a copy of the disk that a member wrote before the program's Go names changed.
func storedDisk(t *testing.T) Storage {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", storageFile))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storageFile), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	d, err := OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	return d
}

func loadStored(t *testing.T) PersistentState {
	t.Helper()
	saved, err := storedDisk(t).Load()
	if err != nil {
		t.Fatal(err)
	}
	return saved
}

// storedFile reads a file that the test of package fleet checks field by field.
func storedFile(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

const (
	storedID       = 17624918467334321323
	storedProposal = 0xabcd // that each entry was proposed under
)

// A disk of an earlier program holds what that program has saved: its id, its vote, a snapshot, and the log after it.
func TestStoredDisk_LoadsUnchanged(t *testing.T) {
	saved := loadStored(t)
	if saved.ID != storedID {
		t.Errorf("the id is %d, want %d", saved.ID, uint64(storedID))
	}
	if saved.HardState.GetTerm() != 2 || saved.HardState.GetVote() != storedID || saved.HardState.GetCommit() != 89 {
		t.Errorf("the hard state is %v", saved.HardState)
	}
	meta := saved.Snapshot.GetMetadata()
	if meta.GetIndex() != 49 || len(meta.GetConfState().GetVoters()) != 1 || meta.GetConfState().GetVoters()[0] != storedID {
		t.Errorf("the snapshot is %v", meta)
	}
	if want := storedFile(t, "snapshot.json"); string(saved.Snapshot.GetData()) != string(want) {
		t.Errorf("the snapshot is %s, want %s", saved.Snapshot.GetData(), want)
	}
	var entries []struct {
		Raw      string         `json:"raw"`
		Position fleet.Position `json:"position"`
	}
	if err := json.Unmarshal(storedFile(t, "entries.json"), &entries); err != nil {
		t.Fatal(err)
	}
	if len(saved.Entries) != len(entries) {
		t.Fatalf("%d entries are stored, want %d", len(saved.Entries), len(entries))
	}
	for i, e := range saved.Entries {
		data := e.GetData()
		if e.GetIndex() != uint64(entries[i].Position) || binary.BigEndian.Uint64(data) != storedProposal || string(data[proposalIDSize:]) != entries[i].Raw {
			t.Errorf("entry %d is %q, want %s", e.GetIndex(), data, entries[i].Raw)
		}
	}
}

// A member started on a disk of an earlier program comes to the state that program had, and goes on from there.
func TestStoredDisk_RestoresState(t *testing.T) {
	d := storedDisk(t)
	saved, err := d.Load()
	if err != nil {
		t.Fatal(err)
	}
	core, err := NewCore(saved, lease.UnsafeOptions{}, CompactAfter, 0, DiscardLogger)
	if err != nil {
		t.Fatal(err)
	}
	settle := func() {
		for w := core.Ready(); w != nil; w = core.Ready() {
			if err := d.Save(w); err != nil {
				t.Fatal(err)
			}
			if _, err := core.Advance(w, 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	settle()
	for range 10 * electionTicks {
		if core.Leader() == core.ID() {
			break
		}
		core.node.Tick()
		settle()
	}
	s := core.State()
	if s.Position != 90 || core.Leader() != storedID { // the last entry is the new leader's own, and empty
		t.Fatalf("position %d under leader %x", s.Position, core.Leader())
	}
	last := *s
	last.Position = 89
	if want := storedFile(t, "state.json"); string(last.Marshal()) != string(want) {
		t.Errorf("the state is %s, want %s", last.Marshal(), want)
	}
	before := s.HighestTokens[fleet.ResourceRollingUpdate]
	if err := core.Propose(1, fleet.Entry{Kind: fleet.KindReleaseLease, Resource: fleet.ResourceRollingUpdate, FencingToken: before}); err != nil {
		t.Fatal(err)
	}
	if err := core.Propose(2, fleet.Entry{Kind: fleet.KindGrantLease, Resource: fleet.ResourceRollingUpdate, Holder: "n1/run-4", LeaseDuration: 1}); err != nil {
		t.Fatal(err)
	}
	settle()
	if after := core.State().HighestTokens[fleet.ResourceRollingUpdate]; after <= before {
		t.Errorf("the token went from %d to %d", before, after)
	}
}

// An operator begins anew on the disk of an earlier program: the state is kept, and tokens grow on.
func TestStoredDisk_BeginsAnew(t *testing.T) {
	saved := loadStored(t)
	anew, err := ForceNewCluster(saved, fleet.Member{ID: saved.ID, Name: "c1", Address: "10.0.0.1:7600"})
	if err != nil {
		t.Fatal(err)
	}
	s, err := fleet.UnmarshalState(anew.Snapshot.GetData())
	if err != nil {
		t.Fatal(err)
	}
	if s.Epoch != 2 || len(s.Leases) != 0 || len(s.Jobs) != 4 || len(s.Members) != 1 || fleet.NewFencingToken(s.Epoch, s.Position) <= s.HighestTokens[fleet.ResourceRollingUpdate] {
		t.Errorf("the state is %s", s.Marshal())
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
	for i, err := range []error{fleet.ErrConflict, fleet.ErrLeaseLost, fleet.ErrNotFound, fleet.ErrAlreadyExists, fleet.ErrFormatTooNew, fleet.ErrLimitExceeded, fleet.ErrInvalidEntry} {
		if err.Error() != texts[i] {
			t.Errorf("an error reads %q, want %q", err, texts[i])
		}
	}
}
