package middleware

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cobaltward/router"
)

// maxDiscardedBody is the maximum number of bytes of a body that are discarded after the request was rejected.
const maxDiscardedBody = 256 << 10

// ServeHTTP answers r, even if the matcher of the Frontend does not match r.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.hasUnambiguousFraming(r) {
		f.rejectMalformed(w, r, "", badRequest("want version 1.1, and Content-Length for a body"))
		return
	}
	if f.isReadinessCheck(r) {
		f.answerReadiness(w, r)
		return
	}
	req, problem := f.parseHead(r)
	if problem != nil {
		f.rejectMalformed(w, r, req.Class, problem)
		return
	}
	if reserver, ok := f.engine.(IDReserver); ok {
		req.Reservation = reserver.ReserveID(req.ID)
		if req.Reservation == nil {
			f.rejectDuplicate(w, r, reserver.RejectDuplicate(req.Class))
			return
		}
		defer func() { req.Reservation.Release() }() // unless forward has taken the reservation
	}
	f.serveRequest(w, r, &req)
}

// serveRequest reads the body of the request with the given head, and answers the request. It releases the ID of a
// request that is not forwarded before the answer, because the client may send the request again at once.
func (f *Frontend) serveRequest(w http.ResponseWriter, r *http.Request, req *router.Request) {
	upload, problem := f.readRequestBody(w, r, req)
	if problem != nil {
		req.Reservation.Release()
		f.rejectMalformed(w, r, req.Class, problem)
		return
	}
	if f.timeout > 0 {
		req.Timeout = min(req.Timeout, f.timeout)
	}
	ctx := r.Context()
	if f.mayHaveLeft != nil {
		req.MayHaveLeft = func() bool { return f.mayHaveLeft(r.Context()) }
	}
	if upload != nil {
		defer upload.close()
		ctx = upload.ctx
	}
	switch {
	case f.disconnected(ctx):
		req.Reservation.Release()
		f.writeAnswer(w, router.Answer{Outcome: router.Expired}) // not 200, because a proxy may still read the answer
	case f.isOverflow(ctx):
		req.Reservation.Release()
		w.Header().Set("Connection", "close")
		f.writeAnswer(w, f.overloadAnswer(req.Class))
	case f.mustNotRunTwice(req.Class) && hostMayAnswer(w, ctx):
		f.countLocalAnswer(ctx)
		req.Reservation.Release()
		f.rejectUnforwarded(w, req.Class)
	default:
		f.forward(ctx, w, r, req)
	}
}

// hasUnambiguousFraming reports whether the router and a server agree on the end of the request's body. net/http
// ignores Content-Length if there is a Transfer-Encoding, and ignores Transfer-Encoding in HTTP/1.0. With
// WithBodyLimits, the host has checked the Transfer-Encoding.
func (f *Frontend) hasUnambiguousFraming(r *http.Request) bool {
	return r.ProtoAtLeast(1, 1) && (len(r.TransferEncoding) == 0 || f.bodyLimits != nil)
}

// readRequestBody reads a short body to the end and stores it in req. The returned upload receives a long body.
func (f *Frontend) readRequestBody(
	w http.ResponseWriter, r *http.Request, req *router.Request,
) (*upload, *requestError) {
	req.AcceptsStream = f.bodyLimits != nil
	if f.bodyLimits != nil && (r.ContentLength > maxInlineBody || r.ContentLength < 0) {
		return f.startUpload(w, r, req)
	}
	return nil, f.readBody(w, r, req)
}

// forward passes the request to the engine and writes the answer. It takes the reservation of the request, and
// releases it after the answer. The caller may still discard the rest of a body.
func (f *Frontend) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, req *router.Request) {
	answer, err := f.engine.Do(ctx, *req)
	if err != nil || answer.Outcome != router.Served {
		f.countLocalAnswer(ctx)
	}
	if err != nil { // the client reads no answer of a server
		req.Reservation.Release()
	}
	switch invalid := (*router.InvalidError)(nil); {
	case err == nil:
		f.writeAnswer(w, answer)
	case errors.As(err, &invalid):
		f.rejectMalformed(w, r, req.Class, badRequest(invalid.Field+": "+invalid.Problem))
	case errors.Is(err, router.ErrClosed) || errors.Is(err, router.ErrDrained): // the request was not accepted
		f.writeAnswer(w, router.Answer{Outcome: router.Overloaded})
	default: // the context has ended, usually by a disconnect: the answer must not be a success
		f.writeAnswer(w, router.Answer{Outcome: router.Expired})
	}
	reservation := req.Reservation
	req.Reservation = nil
	if answer.Stream == nil && len(answer.Body) < minLongAnswer || reservation == nil {
		reservation.Release()
		return
	}
	_ = http.NewResponseController(w).Flush() // fails only if the client has disconnected
	f.whenSent(r.Context(), reservation.Release)
}

// overloadAnswer returns the answer to a request of the class on an overflow connection.
func (f *Frontend) overloadAnswer(class string) router.Answer {
	if engine, ok := f.engine.(OverloadRejecter); ok {
		return engine.RejectOverloaded(class)
	}
	return router.Answer{Outcome: router.Overloaded}
}

// readBody reads a short body to its end, and stores it in req.
func (f *Frontend) readBody(w http.ResponseWriter, r *http.Request, req *router.Request) *requestError {
	if r.ContentLength > maxShortBody {
		return bodyTooLong(maxShortBody)
	}
	if r.ContentLength != 0 {
		var source io.Reader = r.Body
		if f.bodyTimeout > 0 {
			conn := http.NewResponseController(w)
			source = &timedBody{
				Reader: r.Body, conn: conn, setDeadlines: f.bodyDeadlineSetter(r), deadline: time.Now().Add(f.bodyTimeout),
			}
		}
		content, err := io.ReadAll(io.LimitReader(source, maxShortBody+1))
		switch {
		case err != nil:
			return badRequest(bodyUnreadable)
		case len(content) > maxShortBody:
			return bodyTooLong(maxShortBody)
		case r.ContentLength > 0 && int64(len(content)) != r.ContentLength:
			return badRequest("the body is incomplete: a handler ahead of this one may have read it")
		case r.Method == http.MethodGet && len(content) > 0:
			return badRequest(bodyOfGet)
		}
		req.Body = content
	}
	// net/http now reads in the background to notice a disconnect, and removes the read deadline.
	req.ReceivedAt = f.arrivedAt(r.Context())
	return nil
}

// arrivedAt returns the arrival time of the last byte of a request that has just been read.
func (f *Frontend) arrivedAt(ctx context.Context) time.Time {
	return time.Now().Add(-f.arrivalAge(ctx))
}

// rejectMalformed answers a malformed request and closes its connection. The end of the request's body is in doubt,
// so the bytes that follow must not be parsed as a request.
func (f *Frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, class string, problem *requestError) {
	if _, known := f.engine.Class(class); known {
		if counter, ok := f.engine.(FailureCounter); ok {
			counter.CountFailed(class)
		}
	}
	w.Header().Set("Connection", "close")
	if problem.allow != "" {
		w.Header().Set("Allow", problem.allow)
	}
	writeError(w, problem)
	discardBody(w, r)
}

// rejectDuplicate writes answer to a request whose ID is in use or was used recently. It does not wait for a body,
// and closes the connection if there is one.
func (f *Frontend) rejectDuplicate(w http.ResponseWriter, r *http.Request, answer router.Answer) {
	f.countLocalAnswer(r.Context())
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, answer)
	discardBody(w, r)
}

// discardBody reads and discards the start of a body after the request was rejected.
func discardBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// Closing a connection with unread bytes would reset it before the client has read the answer. net/http does not
	// discard unread bytes if the client sent Connection: close. A read error means that the connection is gone.
	conn := http.NewResponseController(w)
	_ = conn.Flush()
	_ = conn.SetReadDeadline(time.Now().Add(DefaultBodyTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBody)
}

// writeError writes an error with a Content-Length. The answer is then complete once it is flushed.
func writeError(w http.ResponseWriter, problem *requestError) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	header.Set("Content-Length", strconv.Itoa(len(problem.text)+len("\n")))
	w.WriteHeader(problem.status)
	_, _ = fmt.Fprintln(w, problem.text) // fails only if the client has disconnected
}

// answerReadiness answers a readiness check with status 200 or 503. A check with a body is malformed.
func (f *Frontend) answerReadiness(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 { // net/http would wait for the body without a limit
		f.rejectMalformed(w, r, "", badRequest("no body is wanted here"))
		return
	}
	f.countLocalAnswer(r.Context())
	f.addCloseHeader(w)
	status := http.StatusOK // written explicitly, because a framework such as gin may have preset 404
	if !f.isServing() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}
