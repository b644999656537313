package consensus

import (
	"math"

	"go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// Bootstrap returns the initial storage contents of the first member of a new cluster.
func Bootstrap(member fleet.Member) PersistentState {
	state := fleet.NewState(1).WithMembers(1, map[uint64]fleet.Member{member.ID: member})
	return singleMemberState(member, state, 1, 1)
}

// ForceNewCluster returns the initial storage contents of a new cluster whose only member is member. An operator
// forces such a cluster. The new cluster has a new epoch and keeps everything in persisted, the storage of member.
// Entries that only lost members had stored are lost.
func ForceNewCluster(persisted PersistentState, member fleet.Member) (PersistentState, error) {
	core, err := NewCore(persisted, lease.UnsafeOptions{}, CompactAfter, 0, DiscardLogger)
	if err != nil {
		return PersistentState{}, err
	}
	last, err := core.applyUncommitted()
	if err != nil {
		return PersistentState{}, err
	}
	term := uint64(1)
	if persisted.HardState != nil {
		term = persisted.HardState.GetTerm()
	}
	return singleMemberState(member, core.state.NextEpoch(member), max(last, 1)+1, term+1), nil
}

// applyUncommitted applies every entry in the storage, committed or not, and returns the index of the last entry. No
// entry whose proposer got an answer is then lost, unless only lost members had stored the entry.
func (c *Core) applyUncommitted() (last uint64, err error) {
	last, _ = c.storage.LastIndex() // in-memory storage returns no error
	first, _ := c.storage.FirstIndex()
	if last < first {
		return last, nil
	}
	entries, err := c.storage.Entries(first, last+1, math.MaxUint64)
	if err != nil {
		return last, err
	}
	for _, entry := range entries {
		if entry.GetIndex() <= uint64(c.state.Position) {
			continue
		}
		if _, err := c.applyEntry(entry); err != nil {
			return last, err
		}
	}
	return last, nil
}

// singleMemberState returns the storage contents of a cluster whose only member is member. The contents are a
// snapshot of state at index and term, without a log.
func singleMemberState(member fleet.Member, state *fleet.State, index, term uint64) PersistentState {
	state = state.WithMembers(fleet.Position(index), state.Members)
	return PersistentState{
		ID: member.ID,
		Snapshot: &raftpb.Snapshot{
			Data: state.Marshal(),
			Metadata: &raftpb.SnapshotMetadata{
				Index:     &index,
				Term:      &term,
				ConfState: &raftpb.ConfState{Voters: []uint64{member.ID}},
			},
		},
		HardState: &raftpb.HardState{Term: &term, Commit: &index},
	}
}
