package middleware

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// bodyStallTimeout is how long a client may send nothing within a body.
	bodyStallTimeout = 2500 * time.Millisecond
	// longBodyStallTimeout bounds that time for a long body: slow clients send it in pieces of any size.
	longBodyStallTimeout = 15 * time.Second
)

// BodyDeadlineSetter bounds the reads of a request's body: until the deadline, and no longer than the timeout after the
// last byte that came. It may leave out the time for which the process was paused. It returns false if it cannot.
type BodyDeadlineSetter func(ctx context.Context, timeout time.Duration, deadline time.Time) bool

// timedBody reads a request's body within a deadline for the whole and a timeout for each read. The time between reads
// counts for the deadline alone.
type timedBody struct {
	io.Reader
	conn         *http.ResponseController
	setDeadlines func(timeout time.Duration, deadline time.Time) bool // nil: the timeout is that of a whole Read
	deadline     time.Time
	long         bool // over maxShortBody, or of unknown length
	received     int64
	ended        bool // the end of the body was read
}

// Read reads from the client. Behind the end of the body it sets no deadline: net/http reads on by then, to notice that
// the client disconnects, and a deadline would cancel the request.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	b.setReadDeadline()
	n, err := b.Reader.Read(p)
	b.received += int64(n)
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// setReadDeadline bounds the next Read. Of a body in chunks it may take many reads of the connection.
func (b *timedBody) setReadDeadline() {
	timeout := b.stallTimeout()
	if b.setDeadlines != nil && b.setDeadlines(timeout, b.deadline) {
		return
	}
	readDeadline := time.Now().Add(timeout)
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
	}
	_ = b.conn.SetReadDeadline(readDeadline) // fails only where there is no connection
}

// stallTimeout returns the timeout of the next read. The client of a long body may pause for as long as it would have
// taken at minUploadRate for what it has sent.
func (b *timedBody) stallTimeout() time.Duration {
	if !b.long {
		return bodyStallTimeout
	}
	return min(longBodyStallTimeout, bodyStallTimeout+time.Duration(b.received)*time.Second/minUploadRate)
}
