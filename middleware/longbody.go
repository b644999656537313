package middleware

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cobaltward/body"
	"cobaltward/router"
)

const (
	maxInlineBody = 16 << 10 // bytes of a body that are held in one piece, outside of the budget
	// answerStallTimeout is how long a client may read nothing in the midst of a long answer.
	answerStallTimeout = 15 * time.Second
	// minUploadRate is what a client sends a second at least, beyond the time that any body may take.
	minUploadRate = 32 << 10
	maxUploadRest    = 64 << 20 // bytes of a body that are read behind an early answer
)

// upload is a long body on its way in.
type upload struct {
	*body.Upload
	writer    http.ResponseWriter
	request    *http.Request
	conn *http.ResponseController
	body pacedBody
	disconnected func(context.Context) bool
	arrivedAt func(context.Context) time.Time
	ctx  context.Context // ends when the client breaks off, too
	cancel context.CancelCauseFunc
}

var errBodyUnreadable = errors.New("the body can't be read")

// Read reads from the client within the time that it has. While a body waits unread nobody looks for its client's
// leaving, and what it has sent before would go on all the same.
func (u *upload) Read(p []byte) (int, error) {
	if u.disconnected(u.request.Context()) {
		u.cancel(errBodyUnreadable)
		return 0, errBodyUnreadable
	}
	n, err := u.body.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		u.cancel(errBodyUnreadable)
	}
	return n, err
}

// LastByteAt implements body.Dated: the end of the body was read just now.
func (u *upload) LastByteAt() time.Time { return u.arrivedAt(u.request.Context()) }

// startUpload begins a long body: what the budget has room for is held, and what is left passes through.
func (f *Frontend) startUpload(w http.ResponseWriter, r *http.Request, req *router.Request) (*upload, *requestError) {
	length := r.ContentLength
	switch {
	case length > f.bodyLimits.MaxLength:
		return nil, bodyTooLong(f.bodyLimits.MaxLength)
	case length > 0 && req.Method != http.MethodPost:
		return nil, badRequest("a GET has no body")
	}
	u := &upload{writer: w, request: r, conn: http.NewResponseController(w), disconnected: f.disconnected, arrivedAt: f.arrivedAt}
	longest := length
	if length < 0 {
		longest = f.bodyLimits.MaxLength
	}
	u.body = pacedBody{
		Reader: r.Body, conn: u.conn, long: longest > maxShortBody,
		deadline: time.Now().Add(f.bodyTimeout + time.Duration(longest)*time.Second/minUploadRate),
	}
	u.ctx, u.cancel = context.WithCancelCause(r.Context())
	u.Upload = body.New(u, length, *f.bodyLimits)
	switch err := u.FillBuffer(); {
	case errors.Is(err, body.ErrTooLong):
		u.close()
		return nil, bodyTooLong(f.bodyLimits.MaxLength)
	case err != nil:
		u.close()
		return nil, badRequest("the body can't be read")
	}
	if short, ok := u.Bytes(maxInlineBody); ok {
		u.close()
		if len(short) > 0 && req.Method != http.MethodPost {
			return nil, badRequest("a GET has no body")
		}
		req.Body, req.ReceivedAt = short, u.CompletedAt()
		return nil, nil
	}
	req.Upload, req.ReceivedAt = u, u.CompletedAt()
	return u, nil
}

func bodyTooLong(most int64) *requestError {
	return &requestError{status: http.StatusRequestEntityTooLarge, text: "the body is over " + strconv.FormatInt(most>>10, 10) + " KiB"}
}

// close ends the upload. Where the answer is there before the body, the rest is read behind it: a close with bytes
// unread would reset the connection before the client has read the answer.
func (u *upload) close() {
	u.Close(func() { _ = u.conn.SetReadDeadline(time.Now()) })
	broke := u.ctx.Err() != nil
	u.cancel(nil)
	if u.Complete() || broke {
		return
	}
	_ = u.conn.Flush()
	_ = u.conn.SetReadDeadline(u.body.deadline)
	_, _ = io.CopyN(io.Discard, u.request.Body, maxUploadRest) // errors say that the client has gone
}

// streamBuffers are for answers on their way out.
var streamBuffers = sync.Pool{New: func() any { return new([body.ChunkSize]byte) }}

// writeStream hands a long answer on as it comes. One that breaks off is cut, so that the client can tell.
func (f *Frontend) writeStream(w http.ResponseWriter, a router.Answer) {
	defer a.Stream.Close()
	if a.ContentType != "" {
		w.Header()["Content-Type"] = []string{a.ContentType}
	}
	if n := a.Stream.Length(); n >= 0 {
		w.Header()["Content-Length"] = []string{strconv.FormatInt(n, 10)}
	}
	w.WriteHeader(http.StatusOK)
	conn := http.NewResponseController(w)
	buf := streamBuffers.Get().(*[body.ChunkSize]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := a.Stream.Read(buf[:])
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(answerStallTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return // the client has left
			}
			if err := conn.Flush(); err != nil { // nothing is held back
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // how net/http is told to end the connection
		}
	}
}
