package middleware

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cobaltward/body"
	"cobaltward/policy"
	"cobaltward/router"
)

// DefaultBodyTimeout is the default of WithBodyTimeout.
const DefaultBodyTimeout = 2500 * time.Millisecond

// Engine is the part of *router.Router that a Frontend uses.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
	Phase() router.Phase
}

// FailureCounter is an optional interface of an Engine. *router.Router implements it.
type FailureCounter interface {
	// CountFailed counts a malformed request of the class that the Frontend answered without the Engine.
	CountFailed(class string)
}

// OverloadRejecter is an optional interface of an Engine. *router.Router implements it.
type OverloadRejecter interface {
	// RejectOverloaded counts a request of the class that came on an overflow connection, and returns the answer to
	// it.
	RejectOverloaded(class string) router.Answer
}

var (
	_ Engine           = (*router.Router)(nil)
	_ FailureCounter   = (*router.Router)(nil)
	_ OverloadRejecter = (*router.Router)(nil)
)

// Frontend answers booking requests through an Engine. It has no state of its own, and is safe for concurrent use.
type Frontend struct {
	engine           Engine
	matches          func(*http.Request) bool
	extract          Extractors
	readyPath        string // empty: readiness checks are not answered
	isServing        func() bool
	bodyTimeout      time.Duration // 0: the read timeout of the host's server applies
	writeTimeout     time.Duration // 0: the write timeout of the host's server applies
	timeout          time.Duration // for answering a request; 0: only the client's deadline applies
	newID            func() string
	bodyLimits       *body.Limits // nil: bodies are limited to maxShortBody and read in full before forwarding
	disconnected     func(context.Context) bool
	arrivalAge       func(context.Context) time.Duration
	isOverflow       func(context.Context) bool
	setBodyDeadlines BodyDeadlineSetter // nil: a read deadline is set on the connection for each Read of a body
}

// Option changes a default of New.
type Option func(*Frontend)

// WithMatcher sets which requests are booking requests. The default is those with an X-Class header.
func WithMatcher(match func(*http.Request) bool) Option {
	return func(f *Frontend) { f.matches = match }
}

// WithExtractors sets where the fields of a request are found.
func WithExtractors(e Extractors) Option { return func(f *Frontend) { f.extract = e.withDefaults() } }

// WithReadyPath makes the Frontend answer GET requests for the path: with 200 while the router is serving, else with
// 503.
func WithReadyPath(path string) Option { return func(f *Frontend) { f.readyPath = path } }

// WithReadiness sets the function that decides the answer at the path of WithReadyPath. By default it reports whether
// the router is serving.
func WithReadiness(isServing func() bool) Option {
	return func(f *Frontend) { f.isServing = isServing }
}

// WithBodyTimeout limits how long a request's body may take to arrive. The default is DefaultBodyTimeout; 0 leaves
// the limit to the host's server.
func WithBodyTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.bodyTimeout = timeout }
}

// WithWriteTimeout limits how long writing an answer may take. By default the limit is that of the host's server.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.writeTimeout = timeout }
}

// WithTimeout limits the time from the last byte of a booking request to its answer by the router; 0, the default,
// leaves the limit to the client's deadline. Use it instead of an http.TimeoutHandler around the middleware, which
// may answer 503 although the request has run: behind such a handler, only requests of idempotent classes are
// forwarded.
func WithTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.timeout = timeout }
}

// WithBodyLimits accepts bodies and answers of any length within the limits. The host must reject requests that have
// both a Transfer-Encoding and a Content-Length header: net/http ignores the Content-Length of such a request, so
// that the Frontend cannot recognize it.
func WithBodyLimits(limits body.Limits) Option { return func(f *Frontend) { f.bodyLimits = &limits } }

// WithDisconnectCheck sets a function that reports, by a request's context, whether the client has disconnected. It
// is called just before the request is forwarded, since the request may have waited unread until then, and must not
// block. By default no client counts as disconnected.
func WithDisconnectCheck(disconnected func(context.Context) bool) Option {
	return func(f *Frontend) { f.disconnected = disconnected }
}

// WithArrivalAge sets a function that returns, by a request's context, the time since the last byte of the request
// arrived. It is called as soon as the request is read: the request may have waited unread, and its deadline counts
// from its arrival. The function must not block. By default a request counts as arrived when it is read.
func WithArrivalAge(age func(context.Context) time.Duration) Option {
	return func(f *Frontend) { f.arrivalAge = age }
}

// WithOverflow sets a function that reports, by a request's context, whether its connection is an overflow
// connection, which was accepted only to reject its requests. Each of them is rejected at once, and the connection is
// closed after the answer. By default no connection is an overflow connection.
func WithOverflow(isOverflow func(context.Context) bool) Option {
	return func(f *Frontend) { f.isOverflow = isOverflow }
}

// WithBodyDeadlineSetter sets the function that limits the time of reads of a request's body. By default the Frontend
// sets a read deadline for each Read of the body, which may take many reads of the connection for a chunked body.
func WithBodyDeadlineSetter(set BodyDeadlineSetter) Option {
	return func(f *Frontend) { f.setBodyDeadlines = set }
}

// Path returns a matcher of requests for the path and everything below it.
func Path(path string) func(*http.Request) bool {
	below := strings.TrimSuffix(path, "/") + "/"
	return func(r *http.Request) bool { return r.URL.Path == path || strings.HasPrefix(r.URL.Path, below) }
}

// Any is a matcher of every request.
func Any(*http.Request) bool { return true }

// New returns a Frontend that forwards booking requests to the engine.
func New(engine Engine, opts ...Option) *Frontend {
	frontend := &Frontend{
		engine: engine, extract: Extractors{}.withDefaults(), bodyTimeout: DefaultBodyTimeout, newID: newID,
		matches:      func(r *http.Request) bool { return len(r.Header["X-Class"]) > 0 },
		isServing:    func() bool { return engine.Phase() == router.Serving },
		disconnected: func(context.Context) bool { return false },
		arrivalAge:   func(context.Context) time.Duration { return 0 },
		isOverflow:   func(context.Context) bool { return false },
	}
	for _, apply := range opts {
		apply(frontend)
	}
	return frontend
}

// Handles reports whether the Frontend answers r itself.
func (f *Frontend) Handles(r *http.Request) bool { return f.isReadinessCheck(r) || f.matches(r) }

func (f *Frontend) isReadinessCheck(r *http.Request) bool {
	return f.readyPath != "" && r.Method == http.MethodGet && r.URL.Path == f.readyPath
}

// Handler returns the middleware: it answers booking requests, and passes all others to next unchanged.
func (f *Frontend) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Handles(r) {
			next.ServeHTTP(w, r)
			return
		}
		f.ServeHTTP(w, r)
	})
}
