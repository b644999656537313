// Package handover decides what each of the processes has that are one node while one takes the place of another:
// its part of the work and of the limits, and whether the node is in standby. It does no I/O and reads no clock.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Version is that of a report's form. Others are refused.
const Version = 1

// MaxSize bounds a report and an order, in bytes.
const MaxSize = 4 << 10

// Report is what one process tells the others.
type Report struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	Taken   uint64    `json:"taken"`   // requests since its start
	Clients int       `json:"clients"` // connections
	Servers int       `json:"servers"`
	Ending  bool      `json:"ending"` // it lets nobody in any more
}

// Order is the last word on standby, to whichever process it was given.
type Order struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	Standby bool      `json:"standby"`
}

// ErrVersion says that a file is another version's.
var ErrVersion = errors.New("it is of another version")

// Decode reads a report or an order. What is torn, too long or of another version is refused.
func Decode[T Report | Order](raw []byte) (v T, err error) {
	if len(raw) > MaxSize {
		return v, fmt.Errorf("it holds more than %d bytes", MaxSize)
	}
	var form struct {
		Version int `json:"version"`
	}
	if err := json.Unmarshal(raw, &form); err != nil {
		return v, fmt.Errorf("it can't be read: %w", err)
	}
	if form.Version != Version {
		return v, ErrVersion
	}
	err = json.Unmarshal(raw, &v)
	return v, err
}

// Limits is what a node may hold, or a process of it.
type Limits struct {
	Clients, Servers int // connections
}

// Share is what one process has of its node.
type Share struct {
	Part   float64 // of the tenants' buckets
	Memory float64 // part of it
	Limits
}

const (
	gain      = 0.5  // weight of the newest look at who takes how much
	leastPart = 0.1  // of the buckets, so that a process whose first clients come has something to give them
	leastConn = 0.25 // of the connections: the others give theirs up as their clients leave
)

// Splitter follows the processes of one node. The zero value is alone.
type Splitter struct {
	part float64 // of the work; 0: nobody has looked yet
	last map[string]uint64
	mine uint64
}

// Split says what this process has. others are the newest reports of those that serve beside it, by name.
func (s *Splitter) Split(own Report, others map[string]Report, whole Limits) Share {
	mine := own.Taken - s.mine
	s.mine = own.Taken
	if len(others) == 0 {
		s.part, s.last = 1, nil
		return Share{Part: 1, Memory: 1, Limits: whole}
	}
	var theirs uint64
	left := whole
	next := make(map[string]uint64, len(others))
	known := true
	for name, r := range others {
		was, ok := s.last[name]
		if known = known && ok; ok && r.Taken > was {
			theirs += r.Taken - was
		}
		next[name] = r.Taken
		left.Clients -= r.Clients
		left.Servers -= r.Servers
	}
	s.last = next
	even := 1 / float64(1+len(others))
	switch {
	case !known: // the first look at one of them
		if s.part == 0 || s.part == 1 {
			s.part = even
		}
	case mine+theirs > 0:
		s.part += gain * (float64(mine)/float64(mine+theirs) - s.part)
	}
	return Share{Part: max(leastPart, s.part), Memory: even, Limits: Limits{
		Clients: max(int(leastConn*float64(whole.Clients)), left.Clients),
		Servers: max(int(leastConn*float64(whole.Servers)), left.Servers),
	}}
}

// Heed says whether this process has to follow an order that stands: it was given after the one that it went by.
func Heed(stands Order, since time.Time) bool { return stands.At.After(since) }
