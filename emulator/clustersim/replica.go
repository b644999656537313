package clustersim

import (
	"hash/fnv"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet/consensus"
)

// disk is the simulated storage of a replica.
type disk struct {
	synced   consensus.PersistentState
	unsynced *pb.HardState // state that a crash loses; only with Config.NoSync
}

// save writes a batch. If sync is false, a term and a vote are synced only together with entries or a snapshot.
func (d *disk) save(batch *consensus.WriteBatch, sync bool) {
	if batch.Snapshot != nil {
		d.synced.Snapshot, d.synced.Entries = batch.Snapshot, nil
	}
	if len(batch.Entries) > 0 {
		d.replaceFrom(batch.Entries)
	}
	if batch.HardState != nil {
		d.unsynced = batch.HardState
	}
	if sync || len(batch.Entries) > 0 || batch.Snapshot != nil {
		d.syncHardState()
	}
}

// replaceFrom removes the stored entries from the index of the first new entry on, and appends the new entries.
func (d *disk) replaceFrom(entries []*pb.Entry) {
	first := entries[0].GetIndex()
	prefix := d.synced.Entries[:0:0]
	for _, entry := range d.synced.Entries {
		if entry.GetIndex() < first {
			prefix = append(prefix, entry)
		}
	}
	d.synced.Entries = append(prefix, entries...)
}

func (d *disk) syncHardState() {
	if d.unsynced != nil {
		d.synced.HardState, d.unsynced = d.unsynced, nil
	}
}

// compact stores a snapshot and removes the entries that the snapshot covers.
func (d *disk) compact(snapshot *pb.Snapshot) {
	d.synced.Snapshot = snapshot
	d.syncHardState()
	last := snapshot.GetMetadata().GetIndex()
	covered := func(entry *pb.Entry) bool { return entry.GetIndex() <= last }
	d.synced.Entries = slices.DeleteFunc(slices.Clone(d.synced.Entries), covered)
}

// processReady processes the pending work of the replica's core: writes, messages and results.
func (p *process) processReady() {
	for batch := p.core.Ready(); batch != nil; batch = p.core.Ready() {
		p.disk.save(batch, !p.sim.cfg.NoSync)
		output, err := p.core.Advance(batch, p.monotonic())
		if err != nil {
			panic(err) // Run recovers and reports a violation
		}
		if output.Snapshot != nil {
			p.disk.compact(output.Snapshot)
		}
		p.retirement.Observe(p.core.State(), p.monotonic())
		for _, id := range output.ConfirmedReads {
			if read := p.pendingReads[id]; read != nil {
				delete(p.pendingReads, id)
				read()
			}
		}
		for _, message := range batch.Messages {
			p.sendRaft(message)
		}
		for _, applied := range output.Applied {
			p.handleApplied(applied)
		}
	}
}

// sendRaft sends a Raft message to the replica with the message's target ID. A replica that lost its disk has a new
// ID and doesn't receive messages to the old ID.
func (p *process) sendRaft(message *pb.Message) {
	sim := p.sim
	to := sim.replicaByID(message.GetTo())
	if to == nil {
		return
	}
	if message.GetType() == pb.MsgSnap {
		// The report says only that the snapshot was transferred; raft resends entries that the receiver lacks.
		sim.after(snapshotReportDelay, p, func() { p.core.ReportSnapshot(message.GetTo(), true) })
	}
	sim.send(p, to, func() {
		if to.core.ID() != message.GetTo() {
			return
		}
		_ = to.core.Step(message) // a message that the core rejects counts as lost
		to.processReady()
	})
}

// handleApplied checks that all replicas applied the same entry at the same position. It also responds to the
// proposal of the entry.
func (p *process) handleApplied(applied consensus.AppliedEntry) {
	sim, position := p.sim, applied.Result.Position
	hash := fnv.New64a()
	hash.Write(applied.Raw)
	known, seen := sim.appliedHashes[position]
	if !seen && sim.cfg.Trace != nil {
		sim.trace("%s is the first to apply %d: %s: %v", p.name, position, applied.Raw, applied.Result.Err)
	}
	if seen && known != hash.Sum64() {
		sim.fail("the logs of replicas differ at position %d: %s has applied %s", position, p.name, applied.Raw)
	}
	sim.appliedHashes[position] = hash.Sum64()
	if answer := p.pendingProposals[applied.ProposalID]; applied.ProposalID != 0 && answer != nil {
		delete(p.pendingProposals, applied.ProposalID)
		answer(applied.Result)
	}
}

// replicaByID returns the replica that currently has an ID; nil if no replica has it.
func (s *simulation) replicaByID(id uint64) *process {
	for _, p := range s.replicas {
		if p.core != nil && p.core.ID() == id {
			return p
		}
	}
	return nil
}

func (s *simulation) randomReplica() *process { return s.replicas[s.rand.IntN(len(s.replicas))] }
