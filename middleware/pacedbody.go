package middleware

import (
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
}

// Read reads from the client.
func (b *pacedBody) Read(p []byte) (int, error) {
	readDeadline := time.Now().Add(b.stallTimeout())
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
	}
	_ = b.conn.SetReadDeadline(readDeadline) // fails only where there is no connection
	n, err := b.Reader.Read(p)
	b.received += int64(n)
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
