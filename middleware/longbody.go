package middleware

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cobaltward/body"
	"cobaltward/router"
)

const (
	maxInlineBody = 16 << 10 // bytes of a body that is kept as one slice, outside of the budget
	// minUploadRate is the rate of slow clients, in bytes a second: it extends the time in which a body has to arrive.
	minUploadRate      = 32 << 10
	maxDiscardedUpload = 64 << 20 // bytes of a body that are read after the answer
)

var errBodyUnreadable = errors.New(bodyUnreadable)

// upload is a long body on its way in.
type upload struct {
	*body.Upload
	request      *http.Request
	conn         *http.ResponseController
	body         timedBody
	disconnected func(context.Context) bool
	arrivedAt    func(context.Context) time.Time
	ctx          context.Context // the request's; also cancelled when the body breaks off
	cancel       context.CancelCauseFunc
}

// Read reads from the client. While a body waits unread net/http does not notice a disconnect, and what was received
// before would be passed on all the same.
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

// LastByteAt implements body.Timestamped: the end of the body was read just now.
func (u *upload) LastByteAt() time.Time { return u.arrivedAt(u.request.Context()) }

// startUpload reads a long body as far as it may be buffered. If that is all of it and short, it goes into req and no
// upload is returned; the caller has to close one that is.
func (f *Frontend) startUpload(w http.ResponseWriter, r *http.Request, req *router.Request) (*upload, *requestError) {
	length := r.ContentLength
	switch {
	case length > f.bodyLimits.MaxLength:
		return nil, bodyTooLong(f.bodyLimits.MaxLength)
	case length > 0 && req.Method != http.MethodPost:
		return nil, badRequest(bodyOfGet)
	}
	upload := f.newUpload(w, r)
	switch err := upload.FillBuffer(); {
	case errors.Is(err, body.ErrTooLong):
		upload.close()
		return nil, bodyTooLong(f.bodyLimits.MaxLength)
	case err != nil:
		upload.close()
		return nil, badRequest(bodyUnreadable)
	}
	if content, ok := upload.Bytes(maxInlineBody); ok {
		upload.close()
		if len(content) > 0 && req.Method != http.MethodPost {
			return nil, badRequest(bodyOfGet)
		}
		req.Body, req.ReceivedAt = content, upload.CompletedAt()
		return nil, nil
	}
	req.Upload, req.ReceivedAt = upload, upload.CompletedAt()
	return upload, nil
}

func (f *Frontend) newUpload(w http.ResponseWriter, r *http.Request) *upload {
	conn := http.NewResponseController(w)
	maxLength := r.ContentLength
	if maxLength < 0 {
		maxLength = f.bodyLimits.MaxLength
	}
	newUpload := &upload{
		request: r, conn: conn, disconnected: f.disconnected, arrivedAt: f.arrivedAt,
		body: timedBody{
			Reader: r.Body, conn: conn, long: maxLength > maxShortBody, setDeadlines: f.bodyDeadlineSetter(r),
			deadline: time.Now().Add(f.bodyTimeout + time.Duration(maxLength)*time.Second/minUploadRate),
		},
	}
	newUpload.ctx, newUpload.cancel = context.WithCancelCause(r.Context())
	newUpload.Upload = body.New(newUpload, r.ContentLength, *f.bodyLimits)
	return newUpload
}

// bodyDeadlineSetter returns the BodyDeadlineSetter of a request's body; nil without one.
func (f *Frontend) bodyDeadlineSetter(r *http.Request) func(timeout time.Duration, deadline time.Time) bool {
	if f.setBodyDeadlines == nil {
		return nil
	}
	return func(timeout time.Duration, deadline time.Time) bool {
		return f.setBodyDeadlines(r.Context(), timeout, deadline)
	}
}

// close ends the upload. After an answer that came before the end of the body, the rest of the body is read: a close
// with bytes unread would reset the connection before the client has read the answer.
func (u *upload) close() {
	u.Close(func() { _ = u.conn.SetReadDeadline(time.Now()) })
	brokeOff := u.ctx.Err() != nil
	u.cancel(nil)
	if u.Complete() || brokeOff {
		return
	}
	_ = u.conn.Flush()
	_ = u.conn.SetReadDeadline(u.body.deadline)
	_, _ = io.CopyN(io.Discard, u.request.Body, maxDiscardedUpload) // an error means that the client has disconnected
}
