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
	// holdTime is how long the beginning of a response of unknown length is held back: until it is forwarded, the
	// attempt may still be retried if the response fails.
	holdTime = 250 * time.Millisecond
	// stallTimeout bounds the time without progress of a long body, in either direction.
	stallTimeout = 15 * time.Second
	// streamSocketBuffer bounds the bytes that the system holds of a stream that is read slowly.
	streamSocketBuffer = 64 << 10
)

// stream is a long body that is read from its connection as its reader wants it, so that a slow client slows the
// server down instead of taking memory.
type stream struct {
	transport  *Transport
	conn       *conn
	serverID   string
	in         *bufio.Reader
	body       io.Reader
	length     int64
	closeAfter bool

	complete  atomic.Bool // all of it was read
	closeOnce sync.Once
}

var _ router.Stream = (*stream)(nil)

// Length returns the length of the body; -1 if the server did not give it.
func (s *stream) Length() int64 { return s.length }

// Read waits for the server, at most for stallTimeout.
func (s *stream) Read(p []byte) (int, error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := s.body.Read(p)
	if errors.Is(err, io.EOF) {
		s.complete.Store(true)
	}
	return n, err
}

// Close ends the stream, and returns its connection to the pool if the body was read to its end. It may be called while
// another goroutine reads, and more than once.
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

// newFixedLengthStream returns the stream of a body whose length the head gives, once its first byte has arrived: until
// then the attempt may still be retried.
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

// fixedLengthReader reads a body of a given length. An earlier end is io.ErrUnexpectedEOF.
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

// readUnknownLength reads a body whose length is unknown, or that net/http has to decode. It returns a body that ends
// within holdTime, and a stream otherwise.
func (rd *responseReader) readUnknownLength(resp *http.Response) ([]byte, router.Stream, error) {
	rd.limit.N, rd.limit.R = math.MaxInt64, stallTimeoutReader{rd.conn}
	ahead := newReadAhead(resp.Body)
	ended := make(chan struct{})
	go func() { // ends with the body or its connection
		defer close(ended)
		ahead.run()
	}()
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-ahead.filled:
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

// stallTimeoutReader gives each read from a connection stallTimeout.
type stallTimeoutReader struct{ conn *conn }

func (r stallTimeoutReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	return r.conn.Read(p)
}

// readAheadStream is a stream whose body is read ahead.
type readAheadStream struct {
	*stream
	ahead *readAhead
	ended chan struct{} // closed when the goroutine of ahead has ended
}

// Read returns bytes that were read ahead, and waits for them. Timeouts are those of the goroutine that reads the
// connection.
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
