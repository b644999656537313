package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
)

// PersistentState is what the storage of a replica holds.
type PersistentState struct {
	ID        uint64 // drawn with the storage, and never again
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // after the snapshot
}

// Empty reports whether the storage has never been of a cluster.
func (p PersistentState) Empty() bool {
	return p.Snapshot == nil && p.HardState == nil && len(p.Entries) == 0
}

// WriteBatch is what a core wants done: everything but the messages stored and synced first, then the messages sent.
type WriteBatch struct {
	HardState *raftpb.HardState // nil: unchanged
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot // nil: none
	Messages  []*raftpb.Message

	ready raft.Ready
}

// StorageError reports that storage has failed, and that the replica on it has ended: the stored state is unknown until
// it is read again. A replica started on the result of RecoverStorage continues.
type StorageError struct {
	Operation string
	Err       error
}

// Error implements error.
func (e *StorageError) Error() string {
	return fmt.Sprintf("consensus: %s: what is stored is unknown: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Err }

// Storage holds the promises of a replica. Save and Compact return once all of it is synced; after an
// error the stored state is unknown, and the replica has to stop.
type Storage interface {
	// Load returns the stored state.
	Load() (PersistentState, error)
	// Save stores a write batch.
	Save(batch *WriteBatch) error
	// Compact stores a snapshot, and drops the entries before firstRetained; 0 keeps them all.
	Compact(snapshot *raftpb.Snapshot, firstRetained fleet.Position) error
	// Close closes the storage. It must not be used any more.
	Close() error
}

// RewriteStorage replaces what the storage in a directory holds by what rewrite returns: for the first member of a
// cluster, and for one with which an operator forces a new cluster. If rewrite fails, nothing changes.
func RewriteStorage(dir string, rewrite func(PersistentState) (PersistentState, error)) (err error) {
	storage, err := OpenStorage(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, storage.Close()) }()
	persisted, err := storage.Load()
	if err != nil {
		return err
	}
	if persisted, err = rewrite(persisted); err != nil {
		return err
	}
	return storage.Save(&WriteBatch{HardState: persisted.HardState, Snapshot: persisted.Snapshot})
}
