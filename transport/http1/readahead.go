package http1

import (
	"errors"
	"io"
	"sync"
)

const readAheadChunk = 16 << 10 // bytes by which a body is read

// readAhead reads a body of unknown length ahead of its reader, within a bound on the bytes held, so that its beginning
// can be held back for a limited time. Its methods may be called concurrently.
type readAhead struct {
	body io.Reader

	mu       sync.Mutex
	changed  sync.Cond // on mu
	buffered []byte
	err      error         // how the body ended; nil until then
	filled   chan struct{} // closed when the body has ended, or the bound was reached
	isFilled bool          // filled is closed
	bound    int           // of buffered
	closed   bool          // nothing reads it any more
}

func newReadAhead(body io.Reader) *readAhead {
	a := &readAhead{body: body, filled: make(chan struct{}), bound: maxBodyBytes}
	a.changed.L = &a.mu
	return a
}

// run reads until the body ends or, after close, until the next read returns. The creator has to make sure that the
// body ends, or its connection.
func (a *readAhead) run() {
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := a.body.Read(chunk)
		if ended := a.add(chunk[:n], err); ended {
			return
		}
	}
}

// add waits for space, and adds data.
func (a *readAhead) add(data []byte, err error) (ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffered) >= a.bound && !a.closed {
		a.changed.Wait()
	}
	a.buffered = append(a.buffered, data...)
	if err != nil {
		a.err = err
	}
	if (err != nil || len(a.buffered) >= a.bound) && !a.isFilled {
		a.isFilled = true
		close(a.filled)
	}
	a.changed.Broadcast()
	return err != nil || a.closed
}

// Read returns buffered bytes, and waits for them.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffered) == 0 && a.err == nil && !a.closed {
		a.changed.Wait()
	}
	switch {
	case len(a.buffered) > 0:
		n := copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		if len(a.buffered) == 0 {
			a.buffered = nil
		}
		a.changed.Broadcast()
		return n, nil
	case a.err != nil:
		return 0, a.err
	}
	return 0, io.ErrClosedPipe
}

// result returns the body or its error if it has ended by now. A body above maxBodyBytes is not complete.
func (a *readAhead) result() (body []byte, complete bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	isEOF := errors.Is(a.err, io.EOF)
	switch {
	case a.err == nil || isEOF && len(a.buffered) > maxBodyBytes:
		return nil, false, nil
	case isEOF:
		return a.buffered, true, nil
	}
	return nil, true, a.err
}

// stopHolding lowers the bound, since nothing is held back from now on. It reports whether anything has been read.
func (a *readAhead) stopHolding() (hasData bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bound = readAheadChunk
	return len(a.buffered) > 0
}

// awaitFirstByte waits for the first byte of the body, or the end of an empty one. Until then the attempt may still be
// retried.
func (a *readAhead) awaitFirstByte() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffered) == 0 && a.err == nil {
		a.changed.Wait()
	}
	if len(a.buffered) > 0 || errors.Is(a.err, io.EOF) {
		return nil
	}
	return a.err
}

// close releases all goroutines that wait.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.changed.Broadcast()
}
