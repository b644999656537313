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
	// ErrTooLong is returned for a body that is longer than Limits.MaxLength.
	ErrTooLong = errors.New("body: longer than the limit")
	// ErrClosed is returned by the readers of a closed Upload.
	ErrClosed = errors.New("body: upload is closed")
)

// Limits limits the length of bodies and the part of them that is buffered.
type Limits struct {
	MaxLength   int64   // maximum length of one body, in bytes
	MaxBuffered int64   // maximum buffered bytes of one body; rounded up to whole chunks
	Budget      *Budget // budget shared by all bodies
}

// Timestamped may be implemented by the source of an Upload. The Upload calls LastByteAt as soon as the source has
// returned io.EOF.
type Timestamped interface {
	// LastByteAt returns the time at which the last byte arrived, which can be long before the byte was read.
	LastByteAt() time.Time
}

// Upload is the body of one request. FillBuffer buffers as much of the body as the limits allow. The rest is passed
// on unbuffered to the first reader that reaches it. After that, the body can't be read from its start again. The
// methods of Upload are safe for concurrent use.
type Upload struct {
	source      io.Reader
	length      int64 // -1: unknown
	maxLength   int64
	maxBuffered int64
	budget      *Budget

	reading  sync.Mutex // held during reads of source
	readErr  error      // guarded by reading: error from source other than io.EOF
	received int64      // guarded by reading: bytes read from source

	mu          sync.Mutex
	chunks      []*[ChunkSize]byte
	buffered    int64 // number of bytes in chunks, from the start of the body
	complete    bool  // whether source returned io.EOF
	completedAt time.Time
	onComplete  func(time.Time)
	closed      bool

	consumed atomic.Bool // whether unbuffered bytes were passed on to a reader
}

var _ router.Upload = (*Upload)(nil)

// New returns the upload of a body of length bytes; -1 means an unknown length. source must end with io.EOF, and must
// keep returning io.EOF.
func New(source io.Reader, length int64, limits Limits) *Upload {
	return &Upload{
		source: source, length: length,
		maxLength: limits.MaxLength, maxBuffered: limits.MaxBuffered, budget: limits.Budget,
	}
}

// FillBuffer reads the body to its end, or until the limits allow no more buffering. It returns ErrTooLong, or the
// error of a source that failed before the end of the body.
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

// storeChunk stores a chunk with n bytes. It releases the chunk if n is 0 or the upload is closed.
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

// atEOF reports whether the body has ended. io.ReadFull returns io.ErrUnexpectedEOF both for a body that ends within
// a chunk and for a source that fails there with io.ErrUnexpectedEOF. Only in the first case does the next read
// return io.EOF.
func (u *Upload) atEOF() bool {
	n, err := u.source.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// finish marks the body as complete, and calls the function registered by OnComplete.
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

// Close releases the buffer and makes all further reads fail. If a read of the source is running, Close calls
// interrupt, which must make that read return soon. Close returns when no read of the source is running.
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

// Length returns the length of the whole body in bytes, or -1 if it is unknown.
func (u *Upload) Length() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete && !u.consumed.Load() {
		return u.buffered
	}
	return u.length
}

// OnComplete registers f to be called once, with the time at which the last byte arrived. If the body is already
// complete, OnComplete returns true and does not register f.
func (u *Upload) OnComplete(f func(at time.Time)) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete {
		return true
	}
	u.onComplete = f
	return false
}

// CompletedAt returns the time at which the last byte arrived. It returns the zero time if the body is not complete.
func (u *Upload) CompletedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completedAt
}

// Complete reports whether the last byte has arrived and the end of the body was read.
func (u *Upload) Complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete
}

// Consumed reports whether unbuffered bytes have been passed on to a reader.
func (u *Upload) Consumed() bool { return u.consumed.Load() }

// Bytes returns a copy of the body. ok is false if the body is not fully buffered or is longer than limit bytes.
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

// Open returns a reader that starts at the first byte. It returns router.ErrBodyConsumed if unbuffered bytes have
// been passed on. Unbuffered bytes go to the first reader that reaches them. While the body is incomplete, every
// other reader gets router.ErrBodyConsumed at the end of the buffered bytes.
func (u *Upload) Open() (io.Reader, error) {
	if u.consumed.Load() {
		return nil, router.ErrBodyConsumed
	}
	return &reader{upload: u}, nil
}
