package middleware

import (
	"context"
	"net/http"

	"cobaltward/policy"
	"cobaltward/router"
)

// hostTimeoutText is the answer to a request that is not forwarded because a timeout handler of the host might reject
// it while it runs.
const hostTimeoutText = "not forwarded: a timeout handler around the middleware could reject the request while it " +
	"runs; use middleware.WithTimeout in its place"

// hostMayAnswer reports whether a handler of the host may answer the request itself once the deadline of its context
// has passed, as http.TimeoutHandler does with 503. Such a handler buffers the answer, and is recognized by an
// innermost ResponseWriter that is no http.Flusher. Answering early does not prevent it: the host may be paused until
// the deadline.
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

// mustNotRunTwice reports whether a request of the class must not be rejected after it has run, since the client
// would send it again: the class is unknown or not idempotent.
func (f *Frontend) mustNotRunTwice(class string) bool {
	known, ok := f.engine.Class(class)
	return !ok || known.Idempotency != policy.Idempotent
}

// rejectUnforwarded rejects a request, of which nothing was sent, because a timeout handler of the host could reject
// it while it runs.
func (f *Frontend) rejectUnforwarded(w http.ResponseWriter, class string) {
	answer := f.overloadAnswer(class)
	answer.Outcome = router.Overloaded
	answer.ContentType, answer.Body = "text/plain; charset=utf-8", []byte(hostTimeoutText+"\n")
	f.writeAnswer(w, answer)
}
