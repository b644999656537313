package body

import (
	"errors"
	"io"

	"cobaltward/router"
)

// reader reads a body once, from its start. A single reader is not safe for concurrent use, but several readers of
// one Upload may be used concurrently.
type reader struct {
	upload *Upload
	offset int64 // bytes read so far
}

// Read returns the buffered bytes first, and then reads from the source.
func (r *reader) Read(buf []byte) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	if n, done, err := r.readBuffered(buf); done {
		return n, err
	}
	return r.readSource(buf)
}

// readBuffered copies buffered bytes to buf. done is false if Read must read from the source instead.
func (r *reader) readBuffered(buf []byte) (n int, done bool, err error) {
	u := r.upload
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.closed:
		return 0, true, ErrClosed
	case r.offset < u.buffered:
		chunkStart := r.offset / ChunkSize * ChunkSize
		chunkEnd := min(ChunkSize, u.buffered-chunkStart)
		n = copy(buf, u.chunks[r.offset/ChunkSize][r.offset-chunkStart:chunkEnd])
		r.offset += int64(n)
		return n, true, nil
	case u.complete && (r.offset == u.buffered || u.consumed.Load()):
		return 0, true, io.EOF
	}
	return 0, false, nil
}

// readSource reads from the source. It returns router.ErrBodyConsumed if another reader has already read the bytes at
// the offset of r.
func (r *reader) readSource(buf []byte) (int, error) {
	upload := r.upload
	upload.reading.Lock()
	defer upload.reading.Unlock()
	upload.mu.Lock()
	closed, complete := upload.closed, upload.complete
	upload.mu.Unlock()
	switch {
	case closed:
		return 0, ErrClosed
	case r.offset != upload.received:
		return 0, router.ErrBodyConsumed
	case complete:
		return 0, io.EOF
	case upload.readErr != nil:
		return 0, upload.readErr
	}
	n, err := upload.source.Read(buf)
	if n > 0 {
		upload.consumed.Store(true)
	}
	upload.received += int64(n)
	r.offset += int64(n)
	switch {
	case upload.received > upload.maxLength:
		upload.readErr = ErrTooLong
		return 0, ErrTooLong
	case errors.Is(err, io.EOF):
		upload.finish()
	case err != nil:
		upload.readErr = err
	}
	return n, err
}
