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
	// ErrTooLong says that a body holds more than it may.
	ErrTooLong = errors.New("the body is too long")
	// ErrClosed is what readers get once the upload is over.
	ErrClosed = errors.New("the upload is over")
)

// Upload is one request's body. Fill holds what the budget has room for; what is left passes through to the one
// reader that gets there, and from then on the body can't be sent again. It is a router.Upload.
type Upload struct {
	source    io.Reader
	length int64
	maxLength   int64 // bytes that the body may have
	maxBuffered   int64 // bytes of it that may be held
	budget *Budget

	reading sync.Mutex // held while src is read: only one may
	readErr  error      // how src ended, other than whole
	received     int64

	mu      sync.Mutex
	chunks  []*[ChunkSize]byte
	buffered    int64 // bytes in pieces, from the first of the body on
	complete   bool
	completedAt    time.Time
	onComplete func(time.Time)
	closed  bool

	consumed atomic.Bool
}

var _ router.Upload = (*Upload)(nil)

// New returns the upload of a body of the given length, -1 where nobody has told it. src ends by io.EOF.
func New(src io.Reader, length int64, l Limits) *Upload {
	return &Upload{source: src, length: length, maxLength: l.MaxLength, maxBuffered: l.MaxBuffered, budget: l.Budget}
}

// Limits is what bodies may have.
type Limits struct {
	MaxLength   int64 // bytes of one
	MaxBuffered   int64 // bytes of one that are held: the longer are never held whole
	Budget *Budget
}

// Length is that of the whole body; -1 where nobody has told it.
func (u *Upload) Length() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete && !u.consumed.Load() {
		return u.buffered
	}
	return u.length
}

// FillBuffer reads the body until it is whole, or until the budget has no room for more of it. An error says that the
// client has broken off, or that the body is too long.
func (u *Upload) FillBuffer() error {
	u.reading.Lock()
	defer u.reading.Unlock()
	for {
		if u.received >= u.maxBuffered {
			return nil
		}
		piece := u.budget.acquireChunk()
		if piece == nil {
			return nil
		}
		n, err := io.ReadFull(u.source, piece[:])
		u.received += int64(n)
		u.mu.Lock()
		if n > 0 && !u.closed {
			u.chunks = append(u.chunks, piece)
			u.buffered += int64(n)
		} else {
			u.budget.releaseChunk(piece)
		}
		u.mu.Unlock()
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
}

// atEOF tells apart a body that ends within a piece from one that broke off there: only the first says so again.
func (u *Upload) atEOF() bool {
	n, err := u.source.Read(make([]byte, 1))
	return n == 0 && errors.Is(err, io.EOF)
}

// finish notes that the last byte has come.
func (u *Upload) finish() {
	u.mu.Lock()
	u.complete, u.completedAt = true, u.lastByteAt()
	told, at := u.onComplete, u.completedAt
	u.onComplete = nil
	u.mu.Unlock()
	if told != nil {
		told(at)
	}
}

// OnComplete has f called once, when the last byte has come; it returns true, and doesn't call f, where it has.
func (u *Upload) OnComplete(f func(at time.Time)) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete {
		return true
	}
	u.onComplete = f
	return false
}

// Timestamped is optionally implemented by the source of an Upload. It is asked as soon as the source has said EOF.
type Timestamped interface {
	// LastByteAt is when the last byte came, which may have waited unread.
	LastByteAt() time.Time
}

func (u *Upload) lastByteAt() time.Time {
	if dated, ok := u.source.(Timestamped); ok {
		return dated.LastByteAt()
	}
	return time.Now()
}

// CompletedAt is when the last byte came; zero where it has not.
func (u *Upload) CompletedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.completedAt
}

// Consumed tells whether bytes have been passed on that are not held.
func (u *Upload) Consumed() bool { return u.consumed.Load() }

// Open returns the body from its first byte on.
func (u *Upload) Open() (io.Reader, error) {
	if u.consumed.Load() {
		return nil, router.ErrBodyConsumed
	}
	return &reader{upload: u}, nil
}

// Close gives back what is held, and has readers fail from now on. hasten is called where one of them waits for
// the client, and is to have that read end soon; Close returns when nobody reads src any more.
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

// Complete tells whether the last byte has come.
func (u *Upload) Complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete
}

// Bytes returns a body that is whole and holds so many bytes at most as one piece of memory.
func (u *Upload) Bytes(most int64) ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.complete || u.consumed.Load() || u.buffered > most {
		return nil, false
	}
	all := make([]byte, 0, u.buffered)
	for left := u.buffered; left > 0; left -= ChunkSize {
		all = append(all, u.chunks[len(all)/ChunkSize][:min(ChunkSize, left)]...)
	}
	return all, true
}

// releaseChunks gives the pieces back.
func (u *Upload) releaseChunks() {
	for _, p := range u.chunks {
		u.budget.releaseChunk(p)
	}
	u.chunks, u.buffered = nil, 0
}

// reader reads a body once. It isn't safe for concurrent use.
type reader struct {
	upload  *Upload
	offset int64
}

func (r *reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if n, done, err := r.readBuffered(p); done {
		return n, err
	}
	return r.readSource(p)
}

// readBuffered copies what is held.
func (r *reader) readBuffered(p []byte) (n int, done bool, err error) {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.closed:
		return 0, true, ErrClosed
	case r.offset < u.buffered:
		piece := u.chunks[r.offset/ChunkSize]
		n = copy(p, piece[r.offset%ChunkSize:min(ChunkSize, u.buffered-r.offset/ChunkSize*ChunkSize)])
		r.offset += int64(n)
		return n, true, nil
	case u.complete && (r.offset == u.buffered || u.consumed.Load()):
		return 0, true, io.EOF
	}
	return 0, false, nil
}

// readSource reads on from the client.
func (r *reader) readSource(p []byte) (int, error) {
	u := r.upload
	u.reading.Lock()
	defer u.reading.Unlock()
	u.mu.Lock()
	closed, whole := u.closed, u.complete
	u.mu.Unlock()
	switch {
	case closed:
		return 0, ErrClosed
	case r.offset != u.received: // another reader was here
		return 0, router.ErrBodyConsumed
	case whole:
		return 0, io.EOF
	case u.readErr != nil:
		return 0, u.readErr
	}
	n, err := u.source.Read(p)
	if n > 0 {
		u.consumed.Store(true)
	}
	u.received += int64(n)
	r.offset += int64(n)
	switch {
	case u.received > u.maxLength:
		u.readErr = ErrTooLong
		return 0, ErrTooLong
	case errors.Is(err, io.EOF):
		u.finish()
	case err != nil:
		u.readErr = err
	}
	return n, err
}
