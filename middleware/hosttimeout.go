package middleware

import (
	"context"
	"net/http"

	"cobaltward/policy"
	"cobaltward/router"
)

// hostTimeoutText is the answer to a request that is not forwarded because of a timeout handler of the host. Such a
// handler could reject a request that a server is executing.
const hostTimeoutText = "not forwarded: a timeout handler around the middleware could reject the request while it " +
	"runs; use middleware.WithTimeout in its place"

// hostMayAnswer reports whether a handler of the host may answer the request itself after the deadline of ctx.
// For example, http.TimeoutHandler answers with status 503. Such a handler buffers the answer, so the innermost
// ResponseWriter is not an http.Flusher. An answer by the router before the deadline does not rule this out: if the
// process is paused until the deadline, the handler answers first.
func hostMayAnswer(w http.ResponseWriter, ctx context.Context) bool {
	if _, bounded := ctx.Deadline(); !bounded {
		return false
	}
	for {
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			break
		}
		w = wrapper.Unwrap()
	}
	_, flushes := w.(http.Flusher)
	return !flushes
}

// mustNotRunTwice reports whether the class is unknown or not idempotent. A request of such a class must not be
// rejected after it has run, because the client would send the request again.
func (f *Frontend) mustNotRunTwice(class string) bool {
	known, ok := f.engine.Class(class)
	return !ok || known.Idempotency != policy.Idempotent
}

// rejectUnforwarded rejects a request of the class. The caller does not forward the request because of a timeout
// handler of the host. Such a handler could reject a request that a server is executing.
func (f *Frontend) rejectUnforwarded(w http.ResponseWriter, class string) {
	answer := f.overloadAnswer(class)
	answer.Outcome = router.Overloaded
	answer.ContentType, answer.Body = "text/plain; charset=utf-8", []byte(hostTimeoutText+"\n")
	f.writeAnswer(w, answer)
}
