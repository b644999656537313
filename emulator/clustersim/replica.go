package clustersim

import (
	"hash/fnv"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet/consensus"
)

// disk is a replica's storage.
type disk struct {
	synced   consensus.PersistentState
	unsynced *pb.HardState // with Config.NoSync
}

// save writes a batch. Without sync, a term and a vote are synced only together with later entries or a snapshot.
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

// replaceFrom appends entries in place of those from their first index on.
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

// compact replaces the entries that a snapshot covers by the snapshot.
func (d *disk) compact(snapshot *pb.Snapshot) {
	d.synced.Snapshot = snapshot
	d.syncHardState()
	last := snapshot.GetMetadata().GetIndex()
	covered := func(entry *pb.Entry) bool { return entry.GetIndex() <= last }
	d.synced.Entries = slices.DeleteFunc(slices.Clone(d.synced.Entries), covered)
}

// processReady carries out the work that the replica's core has ready: writes, messages and results.
func (p *process) processReady() {
	for batch := p.core.Ready(); batch != nil; batch = p.core.Ready() {
		p.disk.save(batch, !p.world.cfg.NoSync)
		output, err := p.core.Advance(batch, p.monotonic())
		if err != nil {
			panic(err) // recovered in Run, as a violation
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

// sendRaft sends a message to the replica that it names, unless that has lost its disk and has another identifier.
func (p *process) sendRaft(message *pb.Message) {
	w := p.world
	to := w.replicaByID(message.GetTo())
	if to == nil {
		return
	}
	if message.GetType() == pb.MsgSnap {
		// The report is of the transfer alone; raft sends again what the receiver lacks.
		w.after(snapshotReportDelay, p, func() { p.core.ReportSnapshot(message.GetTo(), true) })
	}
	w.send(p, to, func() {
		if to.core.ID() != message.GetTo() {
			return
		}
		_ = to.core.Step(message) // a message that the core rejects counts as lost
		to.processReady()
	})
}

// handleApplied compares an applied entry with what other replicas applied at its position, and answers its proposal.
func (p *process) handleApplied(applied consensus.AppliedEntry) {
	w, position := p.world, applied.Result.Position
	hash := fnv.New64a()
	hash.Write(applied.Raw)
	known, seen := w.appliedHashes[position]
	if !seen && w.cfg.Trace != nil {
		w.trace("%s is the first to apply %d: %s: %v", p.name, position, applied.Raw, applied.Result.Err)
	}
	if seen && known != hash.Sum64() {
		w.fail("the log forks at position %d: %s has applied %s", position, p.name, applied.Raw)
	}
	w.appliedHashes[position] = hash.Sum64()
	if answer := p.pendingProposals[applied.ProposalID]; applied.ProposalID != 0 && answer != nil {
		delete(p.pendingProposals, applied.ProposalID)
		answer(applied.Result)
	}
}

// replicaByID returns the replica that has an identifier now; nil where none has.
func (w *world) replicaByID(id uint64) *process {
	for _, p := range w.replicas {
		if p.core != nil && p.core.ID() == id {
			return p
		}
	}
	return nil
}

func (w *world) randomReplica() *process { return w.replicas[w.rand.IntN(len(w.replicas))] }
