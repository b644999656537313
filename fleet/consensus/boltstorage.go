package consensus

import (
	"bytes"
	"crypto/rand"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
)

// storageFile is the name of the database in a replica's directory.
const storageFile = "council.db"

// recoveredSuffix is the suffix of the copy that RecoverStorage writes before the copy replaces the database.
const recoveredSuffix = ".recovered"

// lockTimeout is the maximum time that OpenStorage waits for another process to close the database.
const lockTimeout = time.Second

// The buckets and keys of the database. The keys of the log bucket are the indexes of the entries, big-endian.
var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	idKey        = []byte("id")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// boltStorage implements Storage with a bbolt database.
type boltStorage struct{ db *bbolt.DB }

// OpenStorage opens the storage of a replica in a directory. If the directory has no storage, OpenStorage creates it
// with a new ID. Only one process can have the storage open at a time.
func OpenStorage(dir string) (Storage, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, storageFile)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("opening %s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("opening %s: %w", path, err)
	}
	if err := db.Update(initialize); err != nil {
		return nil, errors.Join(fmt.Errorf("initializing %s: %w", path, err), db.Close())
	}
	return &boltStorage{db}, nil
}

// RecoverStorage opens the storage of a replica that continues after its storage has failed. It first writes and
// syncs a copy of everything that can be read. After a failed sync, data that is read may exist only in the page
// cache, and a later sync can succeed without writing that data.
func RecoverStorage(dir string) (Storage, error) {
	path := filepath.Join(dir, storageFile)
	if err := rewriteFile(path); err != nil {
		return nil, fmt.Errorf("recovering %s: %w", path, err)
	}
	return OpenStorage(dir)
}

// rewriteFile replaces a database with a synced copy of itself.
func rewriteFile(path string) (err error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, NoFreelistSync: true})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	temporary := path + recoveredSuffix
	if err := writeCopy(db, temporary); err != nil {
		return errors.Join(err, os.Remove(temporary))
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// writeCopy writes and syncs a copy of a database.
func writeCopy(db *bbolt.DB, path string) (err error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(file)
		return err
	}); err != nil {
		return err
	}
	return file.Sync()
}

// syncDir syncs a directory, for example to persist the name of a renamed file.
func syncDir(dir string) (err error) {
	file, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return file.Sync()
}

// initialize creates the buckets and the ID of the replica if they are missing.
func initialize(tx *bbolt.Tx) error {
	if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
		return err
	}
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil || meta.Get(idKey) != nil {
		return err
	}
	id := encodeID(0)
	if _, err := rand.Read(id); err != nil {
		return err
	}
	id[len(id)-1] |= 1 // an ID is never 0
	return meta.Put(idKey, id)
}

// Load implements Storage.
func (s *boltStorage) Load() (persisted PersistentState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		persisted, err = load(tx)
		return err
	})
	if err != nil {
		err = fmt.Errorf("reading %s: %w", s.db.Path(), err)
	}
	return persisted, err
}

func load(tx *bbolt.Tx) (PersistentState, error) {
	meta := tx.Bucket(metaBucket)
	persisted := PersistentState{ID: decodeID(meta.Get(idKey))}
	if raw := meta.Get(hardStateKey); raw != nil {
		persisted.HardState = new(raftpb.HardState)
		if err := proto.Unmarshal(raw, persisted.HardState); err != nil {
			return persisted, err
		}
	}
	if raw := meta.Get(snapshotKey); raw != nil {
		persisted.Snapshot = new(raftpb.Snapshot)
		if err := proto.Unmarshal(raw, persisted.Snapshot); err != nil {
			return persisted, err
		}
	}
	err := tx.Bucket(logBucket).ForEach(func(_, raw []byte) error {
		entry := new(raftpb.Entry)
		if err := proto.Unmarshal(raw, entry); err != nil {
			return err
		}
		if entry.GetIndex() > persisted.Snapshot.GetMetadata().GetIndex() {
			persisted.Entries = append(persisted.Entries, entry)
		}
		return nil
	})
	return persisted, err
}

// Save implements Storage.
func (s *boltStorage) Save(batch *WriteBatch) error {
	if batch.HardState == nil && batch.Snapshot == nil && len(batch.Entries) == 0 {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if batch.Snapshot != nil {
			if err := putMessage(meta, snapshotKey, batch.Snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, batch.Snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
		}
		if err := putEntries(log, batch.Entries); err != nil {
			return err
		}
		if batch.HardState != nil {
			return putMessage(meta, hardStateKey, batch.HardState)
		}
		return nil
	})
}

// putEntries stores entries, and removes all stored entries from their first index on. The removed entries come from
// an earlier leader and were not committed.
func putEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putMessage(log, encodeID(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

func putMessage(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	raw, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, raw)
}

// deleteEntries removes the entries whose indexes are at least first and at most last.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	var keys [][]byte // collected first, since each deletion would move the cursor
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeID(first)); key != nil && decodeID(key) <= last; key, _ = cursor.Next() {
		keys = append(keys, bytes.Clone(key))
	}
	for _, key := range keys {
		if err := log.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

// Compact implements Storage.
func (s *boltStorage) Compact(snapshot *raftpb.Snapshot, firstRetained fleet.Position) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := putMessage(tx.Bucket(metaBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		if firstRetained == 0 {
			return nil
		}
		return deleteEntries(tx.Bucket(logBucket), 0, uint64(firstRetained)-1)
	})
}

// Close implements Storage.
func (s *boltStorage) Close() error { return s.db.Close() }
