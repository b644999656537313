package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"cobaltward/fleet"
)

// Storage is where a member keeps what it has promised. Save returns once all of it is synced; after an error nobody
// can tell what is there, and the member ends.
type Storage interface {
	Load() (PersistentState, error)
	Save(w *WriteBatch) error
	Compact(snap *pb.Snapshot, first fleet.Position) error
	Close() error
}

const storageFile = "council.db"

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	idKey      = []byte("id")
	hardKey    = []byte("hard")
	snapKey    = []byte("snapshot")
)

type boltStorage struct{ db *bbolt.DB }

// OpenStorage opens the disk of a member in dir. Where there is none it makes one, with a new id. One process has it at
// a time.
func OpenStorage(dir string) (Storage, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, storageFile)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoFreelistSync: true})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		b, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil || b.Get(idKey) != nil {
			return err
		}
		id := make([]byte, 8)
		if _, err := rand.Read(id); err != nil {
			return err
		}
		id[7] |= 1 // never 0
		return b.Put(idKey, id)
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return &boltStorage{db}, nil
}

// Load implements Disk.
func (d *boltStorage) Load() (s PersistentState, err error) {
	err = d.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		s.ID = binary.BigEndian.Uint64(meta.Get(idKey))
		if raw := meta.Get(hardKey); raw != nil {
			s.HardState = new(pb.HardState)
			if err := proto.Unmarshal(raw, s.HardState); err != nil {
				return err
			}
		}
		if raw := meta.Get(snapKey); raw != nil {
			s.Snapshot = new(pb.Snapshot)
			if err := proto.Unmarshal(raw, s.Snapshot); err != nil {
				return err
			}
		}
		return tx.Bucket(logBucket).ForEach(func(_, raw []byte) error {
			e := new(pb.Entry)
			if err := proto.Unmarshal(raw, e); err != nil {
				return err
			}
			if e.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
				s.Entries = append(s.Entries, e)
			}
			return nil
		})
	})
	if err != nil {
		err = fmt.Errorf("%s: %w", d.db.Path(), err)
	}
	return s, err
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// Save implements Disk.
func (d *boltStorage) Save(w *WriteBatch) error {
	if w.HardState == nil && w.Snapshot == nil && len(w.Entries) == 0 {
		return nil
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if w.Snapshot != nil {
			if err := putMessage(meta, snapKey, w.Snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, w.Snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
		}
		if len(w.Entries) > 0 {
			if err := deleteEntries(log, w.Entries[0].GetIndex(), ^uint64(0)); err != nil { // what another leader had there
				return err
			}
		}
		for _, e := range w.Entries {
			if err := putMessage(log, indexKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if w.HardState != nil {
			return putMessage(meta, hardKey, w.HardState)
		}
		return nil
	})
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}

// deleteEntries removes the entries from one index to another.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // a cursor is not to be moved on by what it deletes
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Compact implements Disk.
func (d *boltStorage) Compact(snap *pb.Snapshot, first fleet.Position) error {
	return d.db.Update(func(tx *bbolt.Tx) error {
		if err := putMessage(tx.Bucket(metaBucket), snapKey, snap); err != nil {
			return err
		}
		if first == 0 {
			return nil
		}
		return deleteEntries(tx.Bucket(logBucket), 0, uint64(first)-1)
	})
}

// Close implements Disk.
func (d *boltStorage) Close() error { return d.db.Close() }

// RewriteStorage writes what a disk is to hold in place of all that it holds: for the first member of a council, and for one
// with which an operator begins anew.
func RewriteStorage(dir string, make func(PersistentState) (PersistentState, error)) (err error) {
	d, err := OpenStorage(dir)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, d.Close()) }()
	saved, err := d.Load()
	if err != nil {
		return err
	}
	if saved, err = make(saved); err != nil {
		return err
	}
	return d.Save(&WriteBatch{HardState: saved.HardState, Snapshot: saved.Snapshot})
}
