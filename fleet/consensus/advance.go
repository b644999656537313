package consensus

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
)

// AppliedEntry is one entry of the log that was applied to the state.
type AppliedEntry struct {
	ProposalID uint64 // 0: no caller waits for the outcome
	Entry      fleet.Entry
	Raw        []byte // encoded entry without the proposal ID; nil: an entry of raft itself or a membership change
	Result     fleet.Result
}

// ApplyResult describes how a write batch has changed the state. It also has the snapshot to store after the batch.
type ApplyResult struct {
	Applied  []AppliedEntry
	Restored bool // whether a snapshot replaced the state or the membership has changed
	// ConfirmedReads are the IDs of the reads (see Core.Read) for which the state is now new enough.
	ConfirmedReads []uint64
	Snapshot       *raftpb.Snapshot // snapshot to store in place of the log before it; nil: none
	FirstRetained  fleet.Position   // first log entry to keep once Snapshot is stored; 0: all
}

// Ready returns the next write batch, or nil if there is none.
func (c *Core) Ready() *WriteBatch {
	if !c.node.HasReady() {
		return nil
	}
	ready := c.node.Ready()
	batch := &WriteBatch{Entries: ready.Entries, Messages: ready.Messages, ready: ready}
	if !raft.IsEmptyHardState(ready.HardState) {
		batch.HardState = ready.HardState
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		batch.Snapshot = ready.Snapshot
	}
	return batch
}

// Advance tells the core that batch is stored, and applies the committed entries. now is the time of the replica's
// monotonic clock after the write. The expiry of leases counts from now, because a process observes a renewal only
// when it applies the entry. If now had been measured before a pause of the process, leases would expire too early.
// After an error, the core must not be used any more.
func (c *Core) Advance(batch *WriteBatch, now time.Duration) (result ApplyResult, err error) {
	c.now = now
	if err := c.updateMemoryStorage(batch, &result); err != nil {
		return result, err
	}
	membershipChanged, err := c.applyCommitted(batch.ready.CommittedEntries, &result)
	if err != nil {
		return result, err
	}
	c.confirmReads(batch.ready.ReadStates, &result)
	c.expiry.Observe(c.state, c.now)
	c.node.Advance(batch.ready)
	// A learner cannot start from a snapshot that lacks the learner in its membership.
	if c.snapshotDue() || membershipChanged {
		err = c.takeSnapshot(&result)
	}
	return result, err
}

// updateMemoryStorage applies a write batch to the in-memory copy of the storage.
func (c *Core) updateMemoryStorage(batch *WriteBatch, result *ApplyResult) error {
	if batch.HardState != nil {
		if err := c.storage.SetHardState(batch.HardState); err != nil {
			return err
		}
	}
	if batch.Snapshot != nil {
		if err := c.restore(batch.Snapshot); err != nil {
			return err
		}
		result.Restored = true
	}
	return c.storage.Append(batch.Entries)
}

// applyCommitted applies committed entries, and adds their outcomes to result.
func (c *Core) applyCommitted(entries []*raftpb.Entry, result *ApplyResult) (membershipChanged bool, err error) {
	for _, entry := range entries {
		applied, err := c.applyEntry(entry)
		if err != nil {
			return membershipChanged, err
		}
		if entry.GetType() != raftpb.EntryNormal {
			result.Restored, membershipChanged = true, true
		}
		result.Applied = append(result.Applied, applied)
	}
	return membershipChanged, nil
}

// applyEntry applies one committed entry: an entry of the fleet, a membership change, or the empty entry of a new
// leader.
func (c *Core) applyEntry(entry *raftpb.Entry) (AppliedEntry, error) {
	position := fleet.Position(entry.GetIndex())
	if entry.GetType() != raftpb.EntryNormal {
		return c.applyMembership(entry, position)
	}
	applied := AppliedEntry{Result: fleet.Result{Position: position}}
	if len(entry.GetData()) < proposalIDSize { // the empty entry at the start of a leader's term
		next := *c.state
		next.Position = position
		c.state = &next
		applied.Entry = fleet.Entry{Kind: fleet.KindRenewLease}
		return applied, nil
	}
	applied.ProposalID, applied.Raw = decodeID(entry.GetData()), entry.GetData()[proposalIDSize:]
	_ = json.Unmarshal(applied.Raw, &applied.Entry) // Apply rejects an entry that cannot be decoded
	next, result, err := c.state.Apply(position, applied.Raw)
	if err != nil {
		return applied, err
	}
	c.state, applied.Result = next, result
	return applied, nil
}

// confirmReads adds the reads that the leader has confirmed to the pending reads. It moves a pending read to result
// once the entry at the position of the read is applied.
func (c *Core) confirmReads(confirmed []raft.ReadState, result *ApplyResult) {
	for _, read := range confirmed {
		c.pendingReads = append(c.pendingReads, pendingRead{decodeID(read.RequestCtx), read.Index})
	}
	c.pendingReads = slices.DeleteFunc(c.pendingReads, func(read pendingRead) bool {
		reached := read.position <= uint64(c.state.Position)
		if reached {
			result.ConfirmedReads = append(result.ConfirmedReads, read.id)
		}
		return reached
	})
}

func (c *Core) snapshotDue() bool {
	return uint64(c.state.Position) >= c.snapshotIndex+trailingDivisor*c.trailingEntries
}

// takeSnapshot takes a snapshot of the state, and drops all log entries before it except the newest trailingEntries.
func (c *Core) takeSnapshot(result *ApplyResult) error {
	position := uint64(c.state.Position)
	snapshot, err := c.storage.CreateSnapshot(position, c.confState, c.state.Marshal())
	if err != nil {
		return err
	}
	c.snapshotIndex = position
	result.Snapshot = snapshot
	if position <= c.trailingEntries {
		return nil
	}
	firstRetained := position - c.trailingEntries
	result.FirstRetained = fleet.Position(firstRetained)
	if err := c.storage.Compact(firstRetained); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}
