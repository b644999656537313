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

// DefaultBodyTimeout is the body timeout of a Frontend without WithBodyTimeout.
const DefaultBodyTimeout = 2500 * time.Millisecond

// Engine is the part of *router.Router that a Frontend uses.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
	Phase() router.Phase
}

// FailureCounter is an optional interface of an Engine. *router.Router implements it.
type FailureCounter interface {
	// CountFailed counts a malformed request of the class. The Frontend has answered the request without the Engine.
	CountFailed(class string)
}

// OverloadRejecter is an optional interface of an Engine. *router.Router implements it.
type OverloadRejecter interface {
	// RejectOverloaded counts a request of the class on an overflow connection, and returns the answer.
	RejectOverloaded(class string) router.Answer
}

// IDReserver is an optional interface of an Engine. *router.Router implements it. Without it, the ID of a request is
// known to be in use only during Engine.Do and while an answer is streamed.
type IDReserver interface {
	// ReserveID marks id as in use until the release of the reservation. It returns nil if the ID must not be used.
	ReserveID(id string) *router.IDReservation
	// RejectDuplicate counts a request of the class whose ID was not reserved, and returns the answer.
	RejectDuplicate(class string) router.Answer
}

var (
	_ Engine           = (*router.Router)(nil)
	_ FailureCounter   = (*router.Router)(nil)
	_ IDReserver       = (*router.Router)(nil)
	_ OverloadRejecter = (*router.Router)(nil)
)

// Frontend answers booking requests through an Engine. It holds no state of requests, and is safe for concurrent use.
type Frontend struct {
	engine           Engine
	matches          func(*http.Request) bool
	extract          Extractors
	readyPath        string // empty: readiness checks are not answered
	isServing        func() bool
	bodyTimeout      time.Duration // 0: the read timeout of the host's server applies
	writeTimeout     time.Duration // 0: the write timeout of the host's server applies
	timeout          time.Duration // maximum time for answering a request; 0: only the client's deadline applies
	newID            func() string
	bodyLimits       *body.Limits // nil: bodies are limited to maxShortBody and read in full before forwarding
	disconnected     func(context.Context) bool
	arrivalAge       func(context.Context) time.Duration
	isOverflow       func(context.Context) bool
	whenSent         func(ctx context.Context, done func())
	countLocalAnswer func(ctx context.Context)
	unread           func(ctx context.Context) int  // nil: unknown
	mayHaveLeft      func(ctx context.Context) bool // nil: no client leaves unnoticed
	setBodyDeadlines BodyDeadlineSetter             // nil: each Read of a body sets a read deadline on the connection
}

// Option changes a default of New.
type Option func(*Frontend)

// WithMatcher sets the function that selects booking requests. By default, requests with an X-Class header are
// booking requests.
func WithMatcher(match func(*http.Request) bool) Option {
	return func(f *Frontend) { f.matches = match }
}

// WithExtractors sets the Extractors that read the fields of a request.
func WithExtractors(e Extractors) Option { return func(f *Frontend) { f.extract = e.withDefaults() } }

// WithReadyPath makes the Frontend answer GET requests for path. The status is 200 while the router is serving, and
// 503 otherwise.
func WithReadyPath(path string) Option { return func(f *Frontend) { f.readyPath = path } }

// WithReadiness sets the function that decides between the two answers of WithReadyPath. By default the function
// reports whether the router is serving.
func WithReadiness(isServing func() bool) Option {
	return func(f *Frontend) { f.isServing = isServing }
}

// WithBodyTimeout limits the time for receiving a request's body. The default is DefaultBodyTimeout. With 0, the read
// timeout of the host's server applies.
func WithBodyTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.bodyTimeout = timeout }
}

// WithWriteTimeout limits the time for writing an answer. By default the write timeout of the host's server applies.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.writeTimeout = timeout }
}

// WithTimeout limits the time from the last byte of a booking request to the router's answer. With 0, the default,
// only the client's deadline applies. Do not put an http.TimeoutHandler around the middleware: it may answer 503
// although the request has run. Behind such a handler, only requests of idempotent classes are forwarded.
func WithTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.timeout = timeout }
}

// WithBodyLimits accepts bodies and answers of any length within limits. The host must reject requests with both a
// Transfer-Encoding and a Content-Length header. The Frontend cannot recognize such requests, because net/http
// ignores their Content-Length.
func WithBodyLimits(limits body.Limits) Option { return func(f *Frontend) { f.bodyLimits = &limits } }

// WithDisconnectCheck sets a function that reports whether the client of a request has disconnected. The argument is
// the request's context. The Frontend calls the function just before it forwards the request, because the request may
// have waited unread. The function must not block. By default no client counts as disconnected.
func WithDisconnectCheck(disconnected func(context.Context) bool) Option {
	return func(f *Frontend) { f.disconnected = disconnected }
}

// WithArrivalAge sets a function that returns the time since the last byte of a request arrived. The argument is the
// request's context. The Frontend calls the function as soon as it has read the request. The request may have waited
// unread, and its deadline counts from its arrival. The function must not block. By default a request counts as
// arrived when it is read.
func WithArrivalAge(age func(context.Context) time.Duration) Option {
	return func(f *Frontend) { f.arrivalAge = age }
}

// WithOverflow sets a function that reports whether a request came on an overflow connection. The argument is the
// request's context. An overflow connection is accepted only to reject its requests. The Frontend rejects such a
// request at once and closes the connection after the answer. By default no connection is an overflow connection.
func WithOverflow(isOverflow func(context.Context) bool) Option {
	return func(f *Frontend) { f.isOverflow = isOverflow }
}

// WithSendCompletion sets a function that calls done once the kernel has sent all bytes written to the client of a
// request, or the client's connection has ended. The first argument is the request's context. The Frontend keeps the
// ID of a request with a long answer in use until then, because a slow client may not have received the last byte. The
// function must not block, and may call done after the request. By default an answer counts as sent when it is written.
func WithSendCompletion(whenSent func(ctx context.Context, done func())) Option {
	return func(f *Frontend) { f.whenSent = whenSent }
}

// WithUnreadCheck sets a function that returns how many bytes of a request's client have arrived that are not read. The
// argument is the request's context. With it, a request with a long body is answered in time even if servers read the
// body so slowly that its last byte waits unread. The function must not block.
func WithUnreadCheck(unread func(context.Context) int) Option {
	return func(f *Frontend) { f.unread = unread }
}

// WithBacklogCheck sets a function that reports whether so many bytes of a request's client are unread behind the
// request that the end of its connection may be hidden. The argument is the request's context. Such a request is not
// retried. The function must not block.
func WithBacklogCheck(mayHaveLeft func(context.Context) bool) Option {
	return func(f *Frontend) { f.mayHaveLeft = mayHaveLeft }
}

// WithLocalAnswerCounter sets a function that is called for each request that is not answered with the answer of a
// server, such as a readiness check, a malformed request or a rejected one. The argument is the request's context. The
// host may slow down connections with very many such requests. The function must not block.
func WithLocalAnswerCounter(count func(context.Context)) Option {
	return func(f *Frontend) { f.countLocalAnswer = count }
}

// WithBodyDeadlineSetter sets the function that limits the time of reads of a request's body. By default the Frontend
// sets a read deadline for each Read of the body. For a chunked body, one Read may take many reads of the connection.
func WithBodyDeadlineSetter(set BodyDeadlineSetter) Option {
	return func(f *Frontend) { f.setBodyDeadlines = set }
}

// Path returns a matcher that matches requests for path and for every path below it.
func Path(path string) func(*http.Request) bool {
	below := strings.TrimSuffix(path, "/") + "/"
	return func(r *http.Request) bool { return r.URL.Path == path || strings.HasPrefix(r.URL.Path, below) }
}

// Any matches every request.
func Any(*http.Request) bool { return true }

// New returns a Frontend that forwards booking requests to engine.
func New(engine Engine, opts ...Option) *Frontend {
	frontend := &Frontend{
		engine: engine, extract: Extractors{}.withDefaults(), bodyTimeout: DefaultBodyTimeout, newID: newID,
		matches:      func(r *http.Request) bool { return len(r.Header["X-Class"]) > 0 },
		isServing:    func() bool { return engine.Phase() == router.Serving },
		disconnected: func(context.Context) bool { return false },
		arrivalAge:   func(context.Context) time.Duration { return 0 },
		isOverflow:   func(context.Context) bool { return false },
		whenSent:     func(_ context.Context, done func()) { done() },

		countLocalAnswer: func(context.Context) {},
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

// Handler returns the middleware. It answers booking requests, and passes other requests to next unchanged.
func (f *Frontend) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Handles(r) {
			next.ServeHTTP(w, r)
			return
		}
		f.ServeHTTP(w, r)
	})
}
