package sockets

import (
	"net"
	"time"
)

// maxNonBlockingCall is the longest duration for which a system call counts as one that did not block.
const maxNonBlockingCall = time.Millisecond

// HadToWait reports whether a system call that lasted from began to returned counts as one that waited for the peer.
func HadToWait(began, returned time.Time) bool { return returned.Sub(began) > maxNonBlockingCall }

// Arrival determines the earliest time at which the current request of a connection can have arrived. Its bytes may
// have been unread for some time: in the accept queue, while no connection slot was free, or behind another request.
// The time is derived from which reads and accepts had to wait. It is not safe for concurrent use.
type Arrival struct {
	earliest      time.Time // lower bound of the arrival of the current request
	nextStartedAt time.Time // when the first byte of the next request was seen; zero: not yet
	pipelined     bool      // the current request was sent before the previous one was answered
	emptiedAt     time.Time // when a read last left no unread bytes
}

// Earliest returns a time before which the last byte of the current request cannot have arrived.
func (a *Arrival) Earliest() time.Time { return a.earliest }

// Pipelined reports whether the current request was sent before the previous one was answered.
func (a *Arrival) Pipelined() bool { return a.pipelined }

// Reset starts over with a request of which no byte can have arrived before earliest.
func (a *Arrival) Reset(earliest time.Time) { *a = Arrival{earliest: earliest} }

// RecordRead records when a read of the current request began and returned, and whether it returned all bytes that
// had arrived.
func (a *Arrival) RecordRead(began, returned time.Time, all bool) {
	switch {
	case HadToWait(began, returned):
		a.earliest = returned
	case a.emptiedAt.After(a.earliest):
		a.earliest = a.emptiedAt
	}
	if all {
		a.emptiedAt = returned
	}
}

// RecordReadFrom is RecordRead for a TCP connection. A read that took long may have waited for the peer, or the
// process may have been paused during it. To tell these apart, it asks the kernel when the newest bytes came.
func (a *Arrival) RecordReadFrom(conn *net.TCPConn, began, returned time.Time, all bool) {
	if HadToWait(began, returned) {
		if age, known := SinceLastReceived(conn); known {
			a.recordSlowRead(began, returned, returned.Add(-age), all)
			return
		}
	}
	a.RecordRead(began, returned, all)
}

// recordSlowRead is RecordRead for a read that took long. newest is when the newest bytes came.
func (a *Arrival) recordSlowRead(began, returned, newest time.Time, all bool) {
	switch {
	case newest.After(began): // it waited; a pause of the process after the bytes came does not count
		a.earliest = newest
	case a.emptiedAt.After(a.earliest): // the bytes had come before the read
		a.earliest = a.emptiedAt
	}
	if all {
		a.emptiedAt = returned
	}
}

// RecordNextStart records that the first byte of the next request has arrived.
func (a *Arrival) RecordNextStart(now time.Time) { a.nextStartedAt = now }

// Advance makes the next request the current one. If no first byte was recorded for it, it arrived together with the
// previous one.
func (a *Arrival) Advance() {
	a.pipelined = true
	if !a.nextStartedAt.IsZero() {
		a.earliest, a.nextStartedAt = a.nextStartedAt, time.Time{}
	}
}
