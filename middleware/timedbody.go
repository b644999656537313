package middleware

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// bodyStallTimeout is the maximum time that a client may send nothing in the middle of a body.
	bodyStallTimeout = 2500 * time.Millisecond
	// longBodyStallTimeout limits the stall timeout of a long body. That timeout grows with the bytes received, because
	// slow clients send a long body in pieces of any size.
	longBodyStallTimeout = 15 * time.Second
)

// BodyDeadlineSetter limits the time of the next reads of a request's body. A read ends at the deadline, or earlier
// if nothing arrives for the timeout. The function may exclude time during which the process was paused. It returns
// false if it cannot set such a limit for the connection.
type BodyDeadlineSetter func(ctx context.Context, timeout time.Duration, deadline time.Time) bool

// timedBody reads a request's body, with a deadline for the whole body and a timeout for each read. The time between
// reads counts only towards the deadline.
type timedBody struct {
	io.Reader
	conn         *http.ResponseController
	setDeadlines func(timeout time.Duration, deadline time.Time) bool // nil: each Read gets a read deadline
	deadline     time.Time
	isLong       bool // whether the length is over maxShortBody or unknown
	received     int64
	sawEOF       bool // whether Read has returned io.EOF
}

// Read reads from the client. It sets no deadline after the end of the body. net/http then reads in the background to
// notice a disconnect, and a deadline would cancel the request.
func (b *timedBody) Read(p []byte) (int, error) {
	if b.sawEOF {
		return 0, io.EOF
	}
	b.setReadDeadline()
	n, err := b.Reader.Read(p)
	b.received += int64(n)
	b.sawEOF = errors.Is(err, io.EOF)
	return n, err
}

// setReadDeadline limits the time of the next Read. For a chunked body, one Read may take many reads of the
// connection.
func (b *timedBody) setReadDeadline() {
	timeout := b.stallTimeout()
	if b.setDeadlines != nil && b.setDeadlines(timeout, b.deadline) {
		return
	}
	readDeadline := time.Now().Add(timeout)
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
	}
	_ = b.conn.SetReadDeadline(readDeadline) // fails only if the ResponseWriter has no connection
}

// stallTimeout returns the timeout of the next read. For a long body, the timeout is bodyStallTimeout plus the time
// that the bytes received take at minUploadRate, and at most longBodyStallTimeout.
func (b *timedBody) stallTimeout() time.Duration {
	if !b.isLong {
		return bodyStallTimeout
	}
	return min(longBodyStallTimeout, bodyStallTimeout+time.Duration(b.received)*time.Second/minUploadRate)
}
