package model

import "time"

// Request is a request to a server.
type Request struct {
	ID       string
	Key      string        // idempotency key for recognizing duplicates
	Work     float64       // seconds of a core of speed 1
	Deadline time.Duration // time until which the client waits; 0: no deadline
}

// Admission is the server's immediate decision on a request.
type Admission uint8

// The decisions. A request never runs after Rejected or Down.
const (
	Accepted Admission = iota
	Rejected           // the queue is full
	Down               // the server has crashed or stopped
)

// Completion reports that a request has ended at a server.
type Completion struct {
	ID        string
	At        time.Duration
	Discarded bool // true for a duplicate, which is answered without an effect
	Lost      bool // true if the server crashed or stopped before it answered
}

// Execution records the start of a request.
type Execution struct {
	ID, Key   string
	StartedAt time.Duration
	Discarded bool // true for a duplicate, which has no effect
}
