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

// Report is the message in which a process tells the others about its load.
type Report struct {
	Version     int       `json:"version"`
	At          time.Time `json:"at"`
	Accepted    uint64    `json:"taken"` // number of requests accepted since the start of the process
	ClientConns int       `json:"clients"`
	ServerConns int       `json:"servers"`
	Draining    bool      `json:"ending"` // the process no longer accepts connections
}

// Order tells all processes of a node to enter or leave standby. The last order given to any of them applies.
type Order struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	// Sequence is one more than that of the previous order; 0 in orders of earlier versions of the program.
	Sequence uint64 `json:"sequence,omitempty"`
	Standby  bool   `json:"standby"`
}

// Supersedes reports whether the order was given after the one that a process follows. The wall clock may have been
// stepped between the two, so their times count only if the sequences don't decide.
func (o Order) Supersedes(followed Order) bool {
	if o.Sequence == 0 || followed.Sequence == 0 || o.Sequence == followed.Sequence {
		return o.At.After(followed.At)
	}
	return o.Sequence > followed.Sequence
}

// ErrUnsupportedVersion is the error for a message with a version other than Version.
var ErrUnsupportedVersion = errors.New("unsupported message version")

// Decode decodes a message. It fails if the message is incomplete, longer than MaxSize or of another version.
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
