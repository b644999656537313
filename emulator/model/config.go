// Package model simulates an application server: cores, slots, a queue, slow start, pauses and overload. It does no
// I/O and reads no clock. The same requests and times always give the same completions.
package model

import "time"

// Cancel selects what the server does when a request is cancelled.
type Cancel uint8

// The effects of a cancellation.
const (
	CancelIgnored Cancel = iota
	CancelQueued         // removes queued requests only
	CancelAll            // removes queued requests and stops running requests
)

// Config describes a kind of server. Durations are measured by the server's own clock. Work is measured in seconds of
// a core of speed 1.
type Config struct {
	Cores int
	Speed float64 // work per second of each core
	Slots int     // limit of running requests, which share the cores evenly; first in, first out if equal to Cores
	Queue int     // limit of queued requests; further requests are rejected

	// Above ThrashThreshold requests in flight per core, the capacity is divided by
	// 1 + ThrashFactor × (requests in flight per core - ThrashThreshold).
	ThrashFactor    float64
	ThrashThreshold float64

	WarmUp WarmUp
	Pause  Pause

	Cancel      Cancel
	DropExpired bool // drops queued requests whose deadline has passed

	ConnSetupWork float64 // work to set up a new connection
	MaxConns      int     // 0: unlimited
	ConnOverhead  float64 // fraction of the capacity lost at MaxConns connections; proportional to their number
}

// WarmUp describes the capacity of a server after its start. With the zero value, the server starts warm.
type WarmUp struct {
	InitialCapacity float64       // fraction of the full capacity at the start; 0: the server starts warm
	Duration        time.Duration // time until the server is warm
	// ByWork makes the capacity grow with the work done instead of with time. The server is warm after it has done
	// the work of Duration at full capacity.
	ByWork bool
	// A warming server crashes and stays down if the work that it receives within OverloadWindow is too high. The
	// limit is OverloadFactor times the work that the server can currently do in OverloadWindow.
	OverloadFactor float64 // 0: no crash
	OverloadWindow time.Duration
}

// Pause describes periodic pauses, such as those of a garbage collector. With the zero value there are none.
type Pause struct {
	Interval time.Duration // time from the end of a pause to the start of the next pause
	Duration time.Duration
	Growth   float64 // relative growth of a pause for each request in flight per core at the start of the pause
}
