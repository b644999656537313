package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Version is the version of the messages. Messages of other versions are rejected.
const Version = 1

// MaxSize bounds a message, in bytes.
const MaxSize = 4 << 10

// Report is what one process tells the others about itself.
type Report struct {
	Version     int       `json:"version"`
	At          time.Time `json:"at"`
	Accepted    uint64    `json:"taken"` // requests since the start of the process
	ClientConns int       `json:"clients"`
	ServerConns int       `json:"servers"`
	Draining    bool      `json:"ending"` // it accepts no connections any more
}

// Order is the last order on standby that any process of the node was given.
type Order struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	// Sequence is one more than that of the order that stood before; 0 in orders of earlier versions.
	Sequence uint64 `json:"sequence,omitempty"`
	Standby  bool   `json:"standby"`
}

// Supersedes reports whether the order was given after the one that a process follows. The wall clock may have been
// stepped between them, and counts only where a sequence says nothing.
func (o Order) Supersedes(followed Order) bool {
	if o.Sequence == 0 || followed.Sequence == 0 || o.Sequence == followed.Sequence {
		return o.At.After(followed.At)
	}
	return o.Sequence > followed.Sequence
}

// ErrUnsupportedVersion reports a message with a version other than Version.
var ErrUnsupportedVersion = errors.New("unsupported message version")

// Decode decodes a message. A message that is incomplete, longer than MaxSize or of another version is an error.
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
