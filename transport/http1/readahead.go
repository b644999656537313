package http1

import (
	"errors"
	"io"
	"sync"
)

const readAheadChunk = 16 << 10 // maximum bytes of one read from a body

// readAhead buffers a body of unknown length ahead of its reader, up to about maxBuffered bytes. With readAhead, the
// transport can wait a limited time for the end of the body before it forwards the beginning. The methods may be
// called concurrently.
type readAhead struct {
	body io.Reader

	mu          sync.Mutex
	changed     sync.Cond // signals changes of the fields below; uses mu
	buffered    []byte
	err         error         // error that ended the body, including io.EOF; nil: not ended
	ready       chan struct{} // closed when the body has ended or maxBuffered is reached
	isReady     bool          // whether ready is closed
	maxBuffered int           // length of buffered, in bytes, from which add waits
	closed      bool          // whether the reader has left; waiting goroutines then return
}

func newReadAhead(body io.Reader) *readAhead {
	a := &readAhead{body: body, ready: make(chan struct{}), maxBuffered: maxBodyBytes}
	a.changed.L = &a.mu
	return a
}

// run reads until the body ends or, after close, until the next read returns. The caller must ensure that each read
// ends: at the end of the body, at a read deadline, or when the connection is closed.
func (a *readAhead) run() {
	chunk := make([]byte, readAheadChunk)
	for {
		n, err := a.body.Read(chunk)
		if ended := a.add(chunk[:n], err); ended {
			return
		}
	}
}

// add waits for space in the buffer, and appends the result of one read: data and err. ended is true if run must
// stop.
func (a *readAhead) add(data []byte, err error) (ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.buffered) >= a.maxBuffered && !a.closed {
		a.changed.Wait()
	}
	a.buffered = append(a.buffered, data...)
	if err != nil {
		a.err = err
	}
	if (err != nil || len(a.buffered) >= a.maxBuffered) && !a.isReady {
		a.isReady = true
		close(a.ready)
	}
	a.changed.Broadcast()
	return err != nil || a.closed
}

// Read returns buffered bytes. It waits while the buffer is empty.
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

// result returns the body, or its error, if the body has ended. complete is false if the body has not ended or is
// longer than maxBodyBytes.
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

// stopHolding lowers maxBuffered to one chunk, since the body is forwarded as it arrives from now on. hasData reports
// whether any bytes are buffered.
func (a *readAhead) stopHolding() (hasData bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxBuffered = readAheadChunk
	return len(a.buffered) > 0
}

// awaitFirstByte waits for the first byte of the body, or for the end of an empty body. An error before the first
// byte allows the router to retry the attempt.
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

// close makes all waiting goroutines return.
func (a *readAhead) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.changed.Broadcast()
}
