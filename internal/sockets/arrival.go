package sockets

import "time"

// immediate is how long a system call takes at most that had nothing to wait for.
const immediate = time.Millisecond

// HadToWait reports whether a system call that began and returned at these times had to wait.
func HadToWait(began, returned time.Time) bool { return returned.Sub(began) > immediate }

// Arrival bounds from below when the request in hand came on a connection: bytes may have waited unread, in the accept
// queue, while there was no room, or behind another request. It goes by what reads and accepts had to wait for. It is
// not safe for concurrent use.
type Arrival struct {
	earliest  time.Time // of the request in hand
	following time.Time // of the one behind it; zero: nothing of it has come
	pipelined bool      // the request in hand was sent before the one ahead of it was answered
	drained   time.Time // when a read last took all that had come
}

// Earliest is the time before which the last byte of the request in hand did not come.
func (a *Arrival) Earliest() time.Time { return a.earliest }

// Pipelined reports whether the request in hand was sent before the one ahead of it was answered.
func (a *Arrival) Pipelined() bool { return a.pipelined }

// Reset says that nothing of the next request came before a time.
func (a *Arrival) Reset(earliest time.Time) { *a = Arrival{earliest: earliest} }

// RecordRead says that a read of the request in hand began and returned at these times, and whether it took all that had come.
func (a *Arrival) RecordRead(began, returned time.Time, all bool) {
	switch {
	case HadToWait(began, returned):
		a.earliest = returned
	case a.drained.After(a.earliest):
		a.earliest = a.drained
	}
	if all {
		a.drained = returned
	}
}

// RecordNextStart says that the first byte of the request behind the one in hand has come.
func (a *Arrival) RecordNextStart(now time.Time) { a.following = now }

// Advance makes the request behind the one in hand the one in hand. Where nobody saw it begin it came with the one
// ahead of it.
func (a *Arrival) Advance() {
	a.pipelined = true
	if !a.following.IsZero() {
		a.earliest, a.following = a.following, time.Time{}
	}
}
