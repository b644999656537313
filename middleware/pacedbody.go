package middleware

import (
	"io"
	"net/http"
	"time"
)

const (
	// bodyStallTimeout is how long a client may send nothing in the midst of a body.
	bodyStallTimeout = 2500 * time.Millisecond
	// longBodyStallTimeout is that for a long body of which much has come: slow clients send it in pieces of any size.
	longBodyStallTimeout = 15 * time.Second
)

// pacedBody reads a request's body within the time that its client has: for the whole, and from byte to byte. Time in
// which nobody reads counts for the whole alone.
type pacedBody struct {
	io.Reader
	conn     *http.ResponseController
	deadline      time.Time // by which all of it has to be there
	long     bool      // over maxBody, or of a length that is not told
	received int64
}

func (b *pacedBody) Read(p []byte) (int, error) {
	due := time.Now().Add(b.stallTimeout())
	if b.deadline.Before(due) {
		due = b.deadline
	}
	_ = b.conn.SetReadDeadline(due) // fails only where there is no connection
	n, err := b.Reader.Read(p)
	b.received += int64(n)
	return n, err
}

// stallTimeout is how long the next byte is waited for. A client that has sent a part of a long body may rest for as long as
// that part takes at uploadRate.
func (b *pacedBody) stallTimeout() time.Duration {
	if !b.long {
		return bodyStallTimeout
	}
	return min(longBodyStallTimeout, bodyStallTimeout+time.Duration(b.received)*time.Second/minUploadRate)
}
