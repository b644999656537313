package http1

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/router"
)

const (
	// maxHoldTime is the maximum time for which the beginning of a response of unknown length is held back. Until the
	// beginning is forwarded, the attempt can be retried if the response fails.
	maxHoldTime = 250 * time.Millisecond
	// stallTimeout is the maximum time without progress of a long body, in either direction.
	stallTimeout = 15 * time.Second
	// streamSocketBuffer is the receive buffer of the socket in bytes. It limits the memory of the kernel for a
	// stream that the client reads slowly.
	streamSocketBuffer = 64 << 10
)

// stream is a long body that is read from its connection on demand. If the client reads slowly, the server must send
// slowly, and the body does not accumulate in memory.
type stream struct {
	transport  *Transport
	conn       *conn
	serverID   string
	in         *bufio.Reader
	body       io.Reader
	length     int64
	closeAfter bool

	complete  atomic.Bool // whether the body was read to its end
	closeOnce sync.Once
}

var _ router.Stream = (*stream)(nil)

// Length returns the length of the body; -1 if the server did not give it.
func (s *stream) Length() int64 { return s.length }

// Read reads from the server, and fails if no bytes arrive within stallTimeout.
func (s *stream) Read(p []byte) (int, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close ends the stream. If the body was read to its end, the connection returns to the pool. Close may be called
// during Read, and more than once.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		complete := s.complete.Load()
		if complete {
			_ = s.conn.SetReadDeadline(time.Time{})
			s.closeAfter = s.closeAfter || s.in.Buffered() > 0
			s.in.Reset(nil)
			s.transport.readers.Put(s.in)
			s.conn.lastUsed = time.Now()
		}
		s.transport.release(s.conn, s.serverID, complete && !s.closeAfter)
	})
	return nil
}

// newFixedLengthStream returns the stream of a body whose length is in head. It waits for the first byte of the body,
// since an error before that byte allows the router to retry the attempt.
func (rd *responseReader) newFixedLengthStream(head responseHead) (*stream, error) {
	rd.limit.N = math.MaxInt64
	if _, err := rd.in.Peek(1); err != nil {
		return nil, readError(err, false)
	}
	body := &fixedLengthReader{in: rd.in, remaining: int64(head.length)}
	return rd.newStream(body, int64(head.length), head.closeAfter), nil
}

func (rd *responseReader) newStream(body io.Reader, length int64, closeAfter bool) *stream {
	_ = rd.conn.tcp.SetReadBuffer(streamSocketBuffer)
	return &stream{
		transport:  rd.transport,
		conn:       rd.conn,
		serverID:   rd.serverID,
		in:         rd.in,
		body:       body,
		length:     length,
		closeAfter: closeAfter,
	}
}

// fixedLengthReader reads a body of a given length. It returns io.ErrUnexpectedEOF if the connection ends earlier.
type fixedLengthReader struct {
	in        io.Reader
	remaining int64
}

func (r *fixedLengthReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.in.Read(p)
	r.remaining -= int64(n)
	if r.remaining == 0 {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readUnknownLength reads a body whose length is unknown, or that net/http must decode. It returns the body if the
// body ends within maxHoldTime and fits maxBodyBytes. If not, it returns a stream.
func (rd *responseReader) readUnknownLength(resp *http.Response) ([]byte, router.Stream, error) {
	rd.limit.N, rd.limit.R = math.MaxInt64, stallTimeoutReader{rd.conn}
	ahead := newReadAhead(resp.Body)
	ended := make(chan struct{})
	go func() { // returns when the body ends or the connection fails
		defer close(ended)
		ahead.run()
	}()
	timer := time.NewTimer(maxHoldTime)
	defer timer.Stop()
	select {
	case <-ahead.ready:
	case <-timer.C:
	}
	if body, complete, err := ahead.result(); complete {
		<-ended
		_ = rd.conn.SetReadDeadline(time.Time{})
		return body, nil, err
	}
	if hasData := ahead.stopHolding(); !hasData {
		if err := ahead.awaitFirstByte(); err != nil {
			<-ended
			return nil, nil, err
		}
	}
	return nil, &readAheadStream{
		stream: rd.newStream(ahead, resp.ContentLength, resp.Close),
		ahead:  ahead,
		ended:  ended,
	}, nil
}

// stallTimeoutReader reads from a connection. Each read fails after stallTimeout.
type stallTimeoutReader struct{ conn *conn }

func (r stallTimeoutReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	return r.conn.Read(p)
}

// readAheadStream is a stream whose body is read ahead.
type readAheadStream struct {
	*stream
	ahead *readAhead
	ended chan struct{} // closed when the goroutine that runs ahead has returned
}

// Read returns bytes that were read ahead, and waits while there are none. It sets no timeout, because the goroutine
// that reads from the connection sets a timeout.
func (s *readAheadStream) Read(p []byte) (int, error) {
	n, err := s.ahead.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

func (s *readAheadStream) Close() error {
	s.ahead.close()
	if s.complete.Load() {
		<-s.ended
	}
	return s.stream.Close()
}
