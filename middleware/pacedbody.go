package middleware

import (
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

// pacedBody reads a request's body within a deadline for the whole and a timeout for each read. The time between reads
// counts for the deadline alone.
type pacedBody struct {
	io.Reader
	conn     *http.ResponseController
	deadline time.Time
	long     bool // over maxShortBody, or of unknown length
	received int64
	ended    bool // the end of the body was read
}

// Read reads from the client. Behind the end of the body it sets no deadline: net/http reads on by then, to notice that
// the client disconnects, and a deadline would cancel the request.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	readDeadline := time.Now().Add(b.stallTimeout())
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
	}
	_ = b.conn.SetReadDeadline(readDeadline) // fails only where there is no connection
	n, err := b.Reader.Read(p)
	b.received += int64(n)
	b.ended = errors.Is(err, io.EOF)
	return n, err
}

// stallTimeout returns the timeout of the next read. The client of a long body may pause for as long as it would have
// taken at minUploadRate for what it has sent.
func (b *pacedBody) stallTimeout() time.Duration {
	if !b.long {
		return bodyStallTimeout
	}
	return min(longBodyStallTimeout, bodyStallTimeout+time.Duration(b.received)*time.Second/minUploadRate)
}
