package body

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/router"
)

var (
	// ErrTooLong is returned for a body of more than Limits.MaxLength bytes.
	ErrTooLong = errors.New("body: longer than its limit")
	// ErrClosed is returned by the readers of an Upload that was closed.
	ErrClosed = errors.New("body: upload is closed")
)

// Limits bounds bodies.
type Limits struct {
	MaxLength   int64   // bytes of one body
	MaxBuffered int64   // bytes of one body that are buffered
	Budget      *Budget // shared by all bodies
}

// Timestamped is optionally implemented by the source of an Upload, which asks it as soon as the source returned
// io.EOF.
type Timestamped interface {
	// LastByteAt returns when the last byte arrived, which may have waited unread since.
	LastByteAt() time.Time
}

// Upload is the body of one request. FillBuffer buffers what the limits allow. The rest is passed on to the one
// reader that gets there; from then on the body can't be read from its start again. Its methods are safe for
// concurrent use.
type Upload struct {
	source      io.Reader
	length      int64 // -1: unknown
	maxLength   int64
	maxBuffered int64
	budget      *Budget

	reading  sync.Mutex // held while source is read
	readErr  error      // under reading: what source returned last, other than io.EOF
	received int64      // under reading: bytes read from source

	mu          sync.Mutex
	chunks      []*[ChunkSize]byte
	buffered    int64 // bytes in chunks, from the first of the body on
	complete    bool  // source returned io.EOF
	completedAt time.Time
	onComplete  func(time.Time)
	closed      bool

	consumed atomic.Bool // bytes were passed on that are not buffered
}

var _ router.Upload = (*Upload)(nil)

// New returns the upload of a body of length bytes, -1 where the length is unknown. source ends with io.EOF, and keeps
// returning it.
func New(source io.Reader, length int64, limits Limits) *Upload {
	return &Upload{
		source: source, length: length,
		maxLength: limits.MaxLength, maxBuffered: limits.MaxBuffered, budget: limits.Budget,
	}
}

// FillBuffer reads the body to its end, or until no more of it may be buffered. It returns ErrTooLong, or the error
// of a source that broke off.
func (u *Upload) FillBuffer() error {
	u.reading.Lock()
	defer u.reading.Unlock()
	for u.received < u.maxBuffered {
		chunk := u.budget.acquireChunk()
		if chunk == nil {
			return nil
		}
		n, err := io.ReadFull(u.source, chunk[:])
		u.received += int64(n)
		u.storeChunk(chunk, n)
		switch {
		case u.received > u.maxLength:
			return ErrTooLong
		case err == nil:
			continue
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && u.atEOF():
			u.finish()
			return nil
		}
		u.readErr = err
		return err
	}
	return nil
}

// storeChunk keeps a chunk of n bytes, or releases it where it is empty or the upload was closed.
func (u *Upload) storeChunk(chunk *[ChunkSize]byte, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n == 0 || u.closed {
		u.budget.releaseChunk(chunk)
		return
	}
	u.chunks = append(u.chunks, chunk)
	u.buffered += int64(n)
}

// atEOF tells a body that ended within a chunk from one that broke off there, for which io.ReadFull returns the same
// error: only the first returns io.EOF again.
func (u *Upload) atEOF() bool {
	n, err := u.source.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// finish notes the end of the body.
func (u *Upload) finish() {
	u.mu.Lock()
	u.complete, u.completedAt = true, u.lastByteAt()
	notify, at := u.onComplete, u.completedAt
	u.onComplete = nil
	u.mu.Unlock()
	if notify != nil {
		notify(at)
	}
}

func (u *Upload) lastByteAt() time.Time {
	if source, ok := u.source.(Timestamped); ok {
		return source.LastByteAt()
	}
	return time.Now()
}

// Close releases the buffer, and has readers fail from now on. If one of them is reading the source, interrupt is
// called, which has to make that read end soon. Close returns when the source is not read any more.
func (u *Upload) Close(interrupt func()) {
	u.mu.Lock()
	u.closed, u.onComplete = true, nil
	u.releaseChunks()
	u.mu.Unlock()
	if !u.reading.TryLock() {
		interrupt()
		u.reading.Lock()
	}
	u.reading.Unlock()
}

func (u *Upload) releaseChunks() {
	for _, chunk := range u.chunks {
		u.budget.releaseChunk(chunk)
	}
	u.chunks, u.buffered = nil, 0
}

// Length returns the length of the whole body in bytes; -1 where it is unknown.
func (u *Upload) Length() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete && !u.consumed.Load() {
		return u.buffered
	}
	return u.length
}

// OnComplete has f called once with the time at which the last byte arrived. If that is past, it returns true and
// does not call f.
func (u *Upload) OnComplete(f func(at time.Time)) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete {
		return true
	}
	u.onComplete = f
	return false
}

// CompletedAt returns when the last byte arrived; zero where it has not.
func (u *Upload) CompletedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completedAt
}

// Complete reports whether the last byte has arrived.
func (u *Upload) Complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete
}

// Consumed reports whether bytes have been passed on that are not buffered.
func (u *Upload) Consumed() bool { return u.consumed.Load() }

// Bytes returns a copy of the body, if it is buffered as a whole and of at most limit bytes.
func (u *Upload) Bytes(limit int64) (all []byte, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.complete || u.consumed.Load() || u.buffered > limit {
		return nil, false
	}
	all = make([]byte, 0, u.buffered)
	for left := u.buffered; left > 0; left -= ChunkSize {
		all = append(all, u.chunks[len(all)/ChunkSize][:min(ChunkSize, left)]...)
	}
	return all, true
}

// Open returns a reader from the first byte on, or router.ErrBodyConsumed. Bytes that are not buffered go to the reader
// that asks for them first; another one gets router.ErrBodyConsumed there.
func (u *Upload) Open() (io.Reader, error) {
	if u.consumed.Load() {
		return nil, router.ErrBodyConsumed
	}
	return &reader{upload: u}, nil
}
