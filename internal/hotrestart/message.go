package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Version is the format version of the messages. Messages of other versions are rejected.
const Version = 1

// MaxSize is the maximum size of a message, in bytes.
const MaxSize = 4 << 10

// Report is the message with which a process reports its load to the other processes of its node.
type Report struct {
	Version     int       `json:"version"`
	At          time.Time `json:"at"`
	Accepted    uint64    `json:"taken"` // number of requests accepted since the start of the process
	ClientConns int       `json:"clients"`
	ServerConns int       `json:"servers"`
	Draining    bool      `json:"ending"` // whether the process has stopped accepting connections
}

// Order tells all processes of a node to enter or leave standby. The last order given to any process applies.
type Order struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	// Sequence is one more than the sequence of the previous order. It is 0 in orders of earlier versions of the
	// program.
	Sequence uint64 `json:"sequence,omitempty"`
	Standby  bool   `json:"standby"`
}

// Supersedes reports whether o was given after followed. followed is the last order that a process has followed or
// given. Supersedes compares the sequences. If a sequence is 0 or both are equal, it compares the times. A step of
// the wall clock between the orders can then give a wrong result.
func (o Order) Supersedes(followed Order) bool {
	if o.Sequence == 0 || followed.Sequence == 0 || o.Sequence == followed.Sequence {
		return o.At.After(followed.At)
	}
	return o.Sequence > followed.Sequence
}

// ErrUnsupportedVersion is the error for a message with a version other than Version.
var ErrUnsupportedVersion = errors.New("unsupported message version")

// Decode decodes a message. It fails if the message is malformed, longer than MaxSize or of another version.
func Decode[T Report | Order](raw []byte) (message T, err error) {
	if len(raw) > MaxSize {
		return message, fmt.Errorf("message is longer than %d bytes", MaxSize)
	}
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return message, fmt.Errorf("decode message: %w", err)
	}
	if header.Version != Version {
		return message, fmt.Errorf("%w: got %d, want %d", ErrUnsupportedVersion, header.Version, Version)
	}
	err = json.Unmarshal(raw, &message)
	return message, err
}
