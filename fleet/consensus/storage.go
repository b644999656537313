package consensus

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"cobaltward/fleet"
)

// PersistentState is the contents of a replica's storage.
type PersistentState struct {
	ID        uint64 // random, created with the storage, never changed
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // log entries after the snapshot
}

// Empty reports whether the storage has never belonged to a cluster.
func (p PersistentState) Empty() bool {
	return p.Snapshot == nil && p.HardState == nil && len(p.Entries) == 0
}

// WriteBatch is the output of a core. The caller must store and sync everything except the messages before it sends
// the messages.
type WriteBatch struct {
	HardState *raftpb.HardState // nil: unchanged
	Entries   []*raftpb.Entry
	Snapshot  *raftpb.Snapshot // nil: none
	Messages  []*raftpb.Message

	ready raft.Ready
}

// StorageError reports that storage has failed and that its replica has stopped. The stored state is unknown until it
// is read again. A replica can continue on the storage that RecoverStorage returns.
type StorageError struct {
	Operation string
	Err       error
}

// Error implements error.
func (e *StorageError) Error() string {
	return fmt.Sprintf("consensus: %s failed, and the stored state is unknown: %v", e.Operation, e.Err)
}

// Unwrap returns the underlying error of the storage.
func (e *StorageError) Unwrap() error { return e.Err }

// Storage is the durable storage of a replica: the ID, raft's hard state, a snapshot and the log. Save and Compact
// return once everything is synced. After an error the stored state is unknown, and the replica must stop.
type Storage interface {
	// Load returns the stored state.
	Load() (PersistentState, error)
	// Save stores a write batch.
	Save(batch *WriteBatch) error
	// Compact stores a snapshot, and drops the entries before firstRetained. If firstRetained is 0, it keeps all
	// entries.
	Compact(snapshot *raftpb.Snapshot, firstRetained fleet.Position) error
	// Close closes the storage, which must not be used afterwards.
	Close() error
}

// RewriteStorage replaces the contents of the storage in dir with the result of rewrite, which calls Bootstrap or
// ForceNewCluster. If rewrite fails, the contents do not change.
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
