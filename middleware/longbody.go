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
	maxInlineBody = 16 << 10 // maximum size of a body that is kept outside the Budget of body.Limits
	// minUploadRate is the minimum expected upload rate of a client, in bytes per second. The time limit for a body is
	// extended by the time that the body takes at this rate.
	minUploadRate      = 32 << 10
	maxDiscardedUpload = 64 << 20 // maximum number of bytes of a body discarded after the answer
)

var _ router.BackloggedUpload = (*upload)(nil)

var errBodyUnreadable = errors.New(bodyUnreadable)

// upload is a long body that is being received.
type upload struct {
	*body.Upload
	request      *http.Request
	conn         *http.ResponseController
	body         timedBody
	disconnected func(context.Context) bool
	arrivedAt    func(context.Context) time.Time
	unread       func(context.Context) int
	backlog      *backlog        // nil: the host does not report unread bytes
	ctx          context.Context // derived from the request's context; also cancelled if the body breaks off
	cancel       context.CancelCauseFunc
}

// Read reads from the client, unless the client has disconnected. net/http does not notice a disconnect while a body
// is unread. Without the check, the part received before the disconnect would be forwarded.
func (u *upload) Read(p []byte) (int, error) {
	if u.disconnected(u.request.Context()) {
		u.cancel(errBodyUnreadable)
		return 0, errBodyUnreadable
	}
	n, err := u.read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		u.cancel(errBodyUnreadable)
	}
	return n, err
}

// read reads from the client, and records since when the client may have written the last byte.
func (u *upload) read(p []byte) (int, error) {
	if u.backlog == nil {
		return u.body.Read(p)
	}
	unread, began := u.unread(u.request.Context()), time.Now()
	n, err := u.body.Read(p)
	arrival := u.arrivedAt(u.request.Context())
	u.backlog.record(bodyRead{unread: unread, waited: time.Since(began), returned: n, arrival: arrival})
	return n, err
}

// MayBeWrittenSince implements router.BackloggedUpload.
func (u *upload) MayBeWrittenSince() (at time.Time, ok bool) {
	if u.backlog == nil {
		return time.Time{}, false
	}
	return u.backlog.mayBeWrittenSince(u.unread(u.request.Context()))
}

// LastByteAt implements body.Timestamped. It is called just after the end of the body was read. The last byte may have
// arrived only then because the node had not read the bytes ahead of it.
func (u *upload) LastByteAt() time.Time {
	arrived := u.arrivedAt(u.request.Context())
	if written, ok := u.MayBeWrittenSince(); ok && written.Before(arrived) {
		return written
	}
	return arrived
}

// startUpload reads the start of a body into a buffer. If the buffer then holds the whole body, and the body has at
// most maxInlineBody bytes, startUpload stores the body in req and returns no upload. The caller must close a
// returned upload.
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
			Reader: r.Body, conn: conn, isLong: maxLength > maxShortBody, setDeadlines: f.bodyDeadlineSetter(r),
			deadline: time.Now().Add(f.bodyTimeout + time.Duration(maxLength)*time.Second/minUploadRate),
		},
	}
	if f.unread != nil {
		newUpload.unread, newUpload.backlog = f.unread, newBacklog(r.ContentLength)
	}
	newUpload.ctx, newUpload.cancel = context.WithCancelCause(r.Context())
	newUpload.Upload = body.New(newUpload, r.ContentLength, *f.bodyLimits)
	return newUpload
}

// bodyDeadlineSetter returns the BodyDeadlineSetter with the context of r bound, or nil if none is set.
func (f *Frontend) bodyDeadlineSetter(r *http.Request) func(timeout time.Duration, deadline time.Time) bool {
	if f.setBodyDeadlines == nil {
		return nil
	}
	return func(timeout time.Duration, deadline time.Time) bool {
		return f.setBodyDeadlines(r.Context(), timeout, deadline)
	}
}

// close ends the upload. If the answer came before the end of the body, close reads and discards the rest of the
// body. Unread bytes would cause a reset when the connection is closed, and the client could lose the answer.
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
