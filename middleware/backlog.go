package middleware

import (
	"sync"
	"time"
)

// maxInTransit is the maximum number of bytes that a client may have written and that have not arrived, in bytes. It is
// the usual maximum of a kernel's send buffer.
const maxInTransit = 4 << 20

// minReadWait is the duration from which a read counts as a wait. A shorter one returns bytes that were buffered.
const minReadWait = 100 * time.Microsecond

// backlog records since when the client of an upload may have written the last byte, although the byte has not been
// read. A body is read no faster than a slow server reads it. A backlog is safe for concurrent use.
type backlog struct {
	length int64 // of the body; -1: unknown

	mu       sync.Mutex
	received int64
	since    time.Time // time from which on the client may have written the last byte
	markedAt int64     // bytes received at the time since
}

func newBacklog(length int64) *backlog { return &backlog{length: length, since: time.Now()} }

// bodyRead is one read of a body.
type bodyRead struct {
	unread   int           // bytes that had arrived before the read and were not read
	waited   time.Duration // duration of the read
	returned int           // bytes that the read returned
	arrival  time.Time     // arrival of the last byte that has arrived
}

// record records a read. If no byte had arrived before it and it has waited, the client has written no byte that is
// missing before the bytes of this read arrived.
func (b *backlog) record(read bodyRead) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if read.returned > 0 && read.unread == 0 && read.waited >= minReadWait {
		b.since, b.markedAt = read.arrival, b.received
	}
	b.received += int64(read.returned)
	tooMuch := b.received-b.markedAt > maxInTransit+int64(read.unread)
	if tooMuch || b.missing(read.unread-read.returned) > maxInTransit {
		b.since, b.markedAt = read.arrival, b.received
	}
}

// missing returns the number of bytes that have not arrived, or 0 if the length is unknown. unread is the number of
// bytes that have arrived and are not read. b.mu is held.
func (b *backlog) missing(unread int) int64 { return b.length - b.received - int64(max(0, unread)) }

// mayBeWrittenSince returns the time since which the client may have written the last byte. ok is false if too many
// bytes have not arrived for that. unread is the number of bytes that have arrived and are not read.
func (b *backlog) mayBeWrittenSince(unread int) (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since, b.missing(unread) <= maxInTransit
}
