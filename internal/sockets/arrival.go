package sockets

import (
	"net"
	"time"
)

// maxImmediate is the longest duration of a system call that did not wait.
const maxImmediate = time.Millisecond

// HadToWait reports whether a system call that began and returned at these times waited for the peer.
func HadToWait(began, returned time.Time) bool { return returned.Sub(began) > maxImmediate }

// Arrival determines the earliest time at which the current request of a connection can have arrived. Its bytes may
// have been unread for some time: in the accept queue, while there was no connection slot, or after another request.
// The time is derived from which reads and accepts had to wait. It is not safe for concurrent use.
type Arrival struct {
	earliest      time.Time // arrival of the current request
	nextStartedAt time.Time // when the next request was seen to begin; zero: it was not
	pipelined     bool      // the current request was sent before the previous one was answered
	drainedAt     time.Time // when a read last returned all bytes that had arrived
}

// Earliest returns a time before which the last byte of the current request cannot have arrived.
func (a *Arrival) Earliest() time.Time { return a.earliest }

// Pipelined reports whether the current request was sent before the previous one was answered.
func (a *Arrival) Pipelined() bool { return a.pipelined }

// Reset begins a request that cannot have arrived, not even in part, before earliest.
func (a *Arrival) Reset(earliest time.Time) { *a = Arrival{earliest: earliest} }

// RecordRead records when a read of the current request began and returned, and whether it returned all bytes that had
// arrived.
func (a *Arrival) RecordRead(began, returned time.Time, all bool) {
	switch {
	case HadToWait(began, returned):
		a.earliest = returned
	case a.drainedAt.After(a.earliest):
		a.earliest = a.drainedAt
	}
	if all {
		a.drainedAt = returned
	}
}

// RecordReadFrom is RecordRead for a TCP connection. Of a read that took long it asks the kernel when the newest bytes
// came: a pause of this process takes as long as a wait for the peer.
func (a *Arrival) RecordReadFrom(conn *net.TCPConn, began, returned time.Time, all bool) {
	if HadToWait(began, returned) {
		if age, known := SinceLastReceived(conn); known {
			a.recordSlowRead(began, returned, returned.Add(-age), all)
			return
		}
	}
	a.RecordRead(began, returned, all)
}

// recordSlowRead is RecordRead for a read that took long and whose newest bytes came at newest.
func (a *Arrival) recordSlowRead(began, returned, newest time.Time, all bool) {
	switch {
	case newest.After(began): // it waited; since the bytes came, the process may have been paused
		a.earliest = newest
	case a.drainedAt.After(a.earliest): // the bytes had been there
		a.earliest = a.drainedAt
	}
	if all {
		a.drainedAt = returned
	}
}

// RecordNextStart records that the first byte of the next request has arrived.
func (a *Arrival) RecordNextStart(now time.Time) { a.nextStartedAt = now }

// Advance makes the next request the current one. If it was not seen to begin, it arrived together with the previous
// one.
func (a *Arrival) Advance() {
	a.pipelined = true
	if !a.nextStartedAt.IsZero() {
		a.earliest, a.nextStartedAt = a.nextStartedAt, time.Time{}
	}
}
