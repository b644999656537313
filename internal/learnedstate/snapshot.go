// Package learnedstate keeps what a node has learned about its servers and tenants beyond the node's own life: a
// snapshot with a version and a checksum, and the rules by which a snapshot loses weight as it ages. It does no I/O
// and reads no clock. A snapshot that is torn, or that something else has written, is rejected as a whole.
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

// Version is the version of the stored form. Snapshots of other versions are rejected.
const Version = 1

// MaxSize bounds a stored snapshot, in bytes.
const MaxSize = 64 << 20

// headFormat is the first line of a stored snapshot: a mark, and the checksum of all that follows the line.
const headFormat = "wayhold-knowledge %08x"

// Errors of Decode.
var (
	// ErrNotSnapshot says that the bytes are no snapshot of this version.
	ErrNotSnapshot = errors.New("not a snapshot of learned state")
	// ErrChecksum says that the snapshot is incomplete or was altered.
	ErrChecksum = errors.New("it is torn: its checksum does not fit")
)

// Snapshot is what one node had learned at one moment.
type Snapshot struct {
	Version int                 `json:"version"`
	Node    string              `json:"node"`
	At      time.Time           `json:"at"`
	Boot    *bootclock.Time     `json:"boot,omitempty"` // the same, which counts where it can be compared
	State   policy.LearnedState `json:"knowledge"`
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the stored form of a snapshot: a line with the checksum of what follows, and JSON.
func Encode(snapshot Snapshot) ([]byte, error) {
	snapshot.Version = Version
	body, err := json.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	head := fmt.Appendf(nil, headFormat+"\n", crc32.Checksum(body, crcTable))
	return append(head, body...), nil
}

// Decode reads the stored form of a snapshot. Its errors are ErrNotSnapshot, perhaps wrapped, and ErrChecksum.
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
