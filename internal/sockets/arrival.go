package sockets

import (
	"net"
	"time"
)

// maxNonBlockingCall is the maximum duration of a system call that counts as non-blocking.
const maxNonBlockingCall = time.Millisecond

// HadToWait reports whether a system call that lasted from began to returned counts as having waited for the peer.
func HadToWait(began, returned time.Time) bool { return returned.Sub(began) > maxNonBlockingCall }

// Arrival determines the earliest time at which the current request of a connection can have arrived. The bytes of
// the request may have been unread for some time: in the accept queue, while no connection slot was free, or behind
// another request. Arrival derives the time from the reads and accepts that had to wait. It is not safe for
// concurrent use.
type Arrival struct {
	earliest      time.Time // lower bound of the arrival time of the current request
	nextStartedAt time.Time // time at which the first byte of the next request was seen; zero: not seen
	pipelined     bool      // whether the current request was sent before the previous request was answered
	emptiedAt     time.Time // time such that all bytes received before it were read
	backlog       backlog
}

// backlog is the unread bytes of a connection at some time. The zero value means that none were seen.
type backlog struct {
	seenAt time.Time
	end    uint64 // position of the end of these bytes in the stream
}

// Earliest returns a lower bound of the time at which the last byte of the current request arrived.
func (a *Arrival) Earliest() time.Time { return a.earliest }

// EmptiedAt returns a time such that all bytes received before it were read.
func (a *Arrival) EmptiedAt() time.Time { return a.emptiedAt }

// Pipelined reports whether the current request was sent before the previous request was answered.
func (a *Arrival) Pipelined() bool { return a.pipelined }

// Reset starts over with a new request. No byte of the new request can have arrived before earliest.
func (a *Arrival) Reset(earliest time.Time) { *a = Arrival{earliest: earliest, emptiedAt: earliest} }

// RecordRead records a read of the current request. The read lasted from began to returned. all reports whether the
// read returned all bytes that had arrived.
func (a *Arrival) RecordRead(began, returned time.Time, all bool) {
	switch {
	case HadToWait(began, returned):
		a.earliest = returned
	case a.emptiedAt.After(a.earliest):
		a.earliest = a.emptiedAt
	}
	if all {
		a.emptiedAt, a.backlog = returned, backlog{}
	}
}

// RecordBacklog records that not all bytes were read at now. position is the number of bytes read so far, and unread
// returns the number of bytes that can be read. Without RecordBacklog, the bytes of a connection that is read steadily
// and is never empty would seem to have arrived long ago.
func (a *Arrival) RecordBacklog(now time.Time, position uint64, unread func() int) {
	if !a.backlog.seenAt.IsZero() {
		if position < a.backlog.end {
			return
		}
		a.emptiedAt = a.backlog.seenAt
	}
	a.backlog = backlog{seenAt: now, end: position + uint64(unread())}
}

// RecordReadFrom is RecordRead for a TCP connection. During a long read, the read may have waited for the peer, or
// the process may have been paused. To distinguish these cases, RecordReadFrom asks the kernel when the newest bytes
// arrived.
func (a *Arrival) RecordReadFrom(conn *net.TCPConn, began, returned time.Time, all bool) {
	if newest, known := NewestArrival(conn, began, returned); known {
		a.recordSlowRead(began, returned, newest, all)
		return
	}
	a.RecordRead(began, returned, all)
}

// NewestArrival returns the time at which the newest bytes of a connection arrived, after a read that lasted from began
// to returned. It returns false if the read did not have to wait, or the kernel does not report the time.
func NewestArrival(conn *net.TCPConn, began, returned time.Time) (newest time.Time, known bool) {
	if !HadToWait(began, returned) {
		return time.Time{}, false
	}
	age, known := SinceLastReceived(conn)
	return returned.Add(-age), known
}

// recordSlowRead is RecordRead for a long read. newest is the time at which the newest bytes arrived.
func (a *Arrival) recordSlowRead(began, returned, newest time.Time, all bool) {
	switch {
	case newest.After(began): // the read waited; a pause of the process after newest does not count
		a.earliest = newest
	case a.emptiedAt.After(a.earliest): // the bytes had arrived before the read
		a.earliest = a.emptiedAt
	}
	if all {
		a.emptiedAt, a.backlog = returned, backlog{}
	}
}

// RecordNextStart records that the first byte of the next request has arrived.
func (a *Arrival) RecordNextStart(now time.Time) { a.nextStartedAt = now }

// Advance makes the next request the current request. If no first byte was recorded for the next request, it arrived
// together with the previous request.
func (a *Arrival) Advance() {
	a.pipelined = true
	if !a.nextStartedAt.IsZero() {
		a.earliest, a.nextStartedAt = a.nextStartedAt, time.Time{}
	}
}
