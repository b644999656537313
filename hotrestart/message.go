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
	Standby bool      `json:"standby"`
}

// Supersedes reports whether the order was given after the one that a process follows, given at that time.
func (o Order) Supersedes(followed time.Time) bool { return o.At.After(followed) }

// ErrUnsupportedVersion says that a message is of another version.
var ErrUnsupportedVersion = errors.New("it is of another version")

// Decode reads a message. One that is incomplete, longer than MaxSize or of another version is an error.
func Decode[T Report | Order](raw []byte) (message T, err error) {
	if len(raw) > MaxSize {
		return message, fmt.Errorf("it holds more than %d bytes", MaxSize)
	}
	var header struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return message, fmt.Errorf("it can't be read: %w", err)
	}
	if header.Version != Version {
		return message, ErrUnsupportedVersion
	}
	err = json.Unmarshal(raw, &message)
	return message, err
}
