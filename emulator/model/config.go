// Package model simulates an application server: cores, slots, a queue, slow start, pauses, and overload. It does no
// I/O and reads no clock: given the same requests and times it returns the same completions.
package model

import "time"

// Cancel selects what the cancellation of a request does at the server.
type Cancel uint8

// The effects of a cancellation.
const (
	CancelIgnored Cancel = iota
	CancelQueued         // removes queued requests only
	CancelAll            // also stops running requests
)

// Config describes a kind of server. Durations are of the server's own clock; work is in seconds of a core of speed 1.
type Config struct {
	Cores int
	Speed float64 // work per second of each core
	Slots int     // running requests, which share the cores evenly; FIFO if equal to Cores
	Queue int     // queued requests; beyond, requests are rejected

	// The capacity is divided by 1 + ThrashFactor × (requests in flight per core - ThrashThreshold).
	ThrashFactor    float64
	ThrashThreshold float64

	WarmUp WarmUp
	Pause  Pause

	Cancel      Cancel
	DropExpired bool // queued requests are dropped once their deadline has passed

	ConnSetupWork float64 // work of a new connection
	MaxConns      int     // 0: unlimited
	ConnOverhead  float64 // fraction of the capacity lost with MaxConns connections, in proportion to their number
}

// WarmUp describes the capacity of a server after its start. The zero value starts warm.
type WarmUp struct {
	InitialCapacity float64       // fraction of the full capacity; 0: warm
	Duration        time.Duration // until the server is warm
	// ByWork makes the capacity grow with the work done instead of with time. The server is warm once it has done the
	// work that it can do within Duration at full capacity.
	ByWork bool
	// A server that receives more than OverloadFactor times the work that it can do at that time, within
	// OverloadWindow, crashes and stays down.
	OverloadFactor float64 // 0: never
	OverloadWindow time.Duration
}

// Pause describes periodic pauses, such as those of a garbage collector. The zero value never pauses.
type Pause struct {
	Interval time.Duration // from the end of a pause to the next
	Duration time.Duration
	Growth   float64 // relative growth of a pause for each request in flight per core at its start
}
