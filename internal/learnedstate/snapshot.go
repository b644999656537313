// Package learnedstate encodes what a node has learned about its servers and tenants, so that a restarted node can
// use it. A stored snapshot has a version and a checksum. Decay reduces the weight of a snapshot by its age.
// Snapshots that are incomplete, altered or in another format are rejected as a whole. The package does no I/O and
// reads no clock.
package learnedstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"cobaltward/internal/bootclock"
	"cobaltward/policy"
)

// Version is the version of the stored format. Snapshots of other versions are rejected.
const Version = 1

// MaxSize is the maximum size of a stored snapshot, in bytes.
const MaxSize = 64 << 20

// headFormat is the first line of a stored snapshot: an identifier of the format and the checksum of all bytes after
// the line.
const headFormat = "wayhold-knowledge %08x"

// Errors of Decode.
var (
	// ErrNotSnapshot means that the bytes are not a snapshot of this version.
	ErrNotSnapshot = errors.New("not a snapshot of learned state")
	// ErrChecksum means that the snapshot is incomplete or was altered.
	ErrChecksum = errors.New("checksum mismatch: the snapshot is incomplete or was altered")
)

// Snapshot is the learned state of one node at one time.
type Snapshot struct {
	Version int                 `json:"version"`
	Node    string              `json:"node"`
	At      time.Time           `json:"at"`
	Boot    *bootclock.Time     `json:"boot,omitempty"` // boot-clock time; replaces At until the next boot
	State   policy.LearnedState `json:"knowledge"`
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the stored form of a snapshot: the line with the checksum, and the snapshot in JSON.
func Encode(snapshot Snapshot) ([]byte, error) {
	snapshot.Version = Version
	body, err := json.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	head := fmt.Appendf(nil, headFormat+"\n", crc32.Checksum(body, crcTable))
	return append(head, body...), nil
}

// Decode decodes the stored form of a snapshot. It returns ErrChecksum, or an error that wraps ErrNotSnapshot.
func Decode(raw []byte) (Snapshot, error) {
	head, body, found := bytes.Cut(raw, []byte{'\n'})
	var checksum uint32
	if _, err := fmt.Sscanf(string(head), headFormat, &checksum); !found || err != nil || len(raw) > MaxSize {
		return Snapshot{}, ErrNotSnapshot
	}
	if crc32.Checksum(body, crcTable) != checksum {
		return Snapshot{}, ErrChecksum
	}
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("%w: %w", ErrNotSnapshot, err)
	}
	if snapshot.Version != Version {
		return Snapshot{}, fmt.Errorf("%w: version %d, want %d", ErrNotSnapshot, snapshot.Version, Version)
	}
	return snapshot, nil
}
