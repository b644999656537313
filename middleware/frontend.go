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

// DefaultBodyTimeout bounds the time in which a request's body has to arrive.
const DefaultBodyTimeout = 2500 * time.Millisecond

// Engine is what a Frontend needs of a *router.Router.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
	Phase() router.Phase
}

// FailureCounter is optionally implemented by an Engine, as *router.Router does.
type FailureCounter interface {
	// CountFailed counts a malformed request of a class, which the Frontend has answered itself.
	CountFailed(class string)
}

// OverloadRejecter is optionally implemented by an Engine, as *router.Router does.
type OverloadRejecter interface {
	// RejectOverloaded counts a request of a class that came on an overflow connection, and returns its answer.
	RejectOverloaded(class string) router.Answer
}

var (
	_ Engine           = (*router.Router)(nil)
	_ FailureCounter   = (*router.Router)(nil)
	_ OverloadRejecter = (*router.Router)(nil)
)

// Frontend answers booking requests by an Engine. It has no state of its own, and is safe for concurrent use.
type Frontend struct {
	engine           Engine
	matches          func(*http.Request) bool
	extract          Extractors
	readyPath        string // empty: readiness is not answered
	isServing        func() bool
	bodyTimeout      time.Duration // 0: the host's
	writeTimeout     time.Duration // 0: the host's
	timeout          time.Duration // of a request; 0: the client's deadline alone
	newID            func() string
	bodyLimits       *body.Limits // nil: bodies are short, and read before they are handed on
	disconnected     func(context.Context) bool
	arrivalAge       func(context.Context) time.Duration
	isOverflow       func(context.Context) bool
	setBodyDeadlines BodyDeadlineSetter // nil: the timeouts of bodies are those of whole reads
}

// Option changes a default of New.
type Option func(*Frontend)

// WithMatcher sets which requests are booking requests. The default is those with an X-Class header.
func WithMatcher(match func(*http.Request) bool) Option {
	return func(f *Frontend) { f.matches = match }
}

// WithExtractors sets where the fields of a request are found.
func WithExtractors(e Extractors) Option { return func(f *Frontend) { f.extract = e.withDefaults() } }

// WithReadyPath has the Frontend answer GET at the path: 200 while the router is serving, else 503.
func WithReadyPath(path string) Option { return func(f *Frontend) { f.readyPath = path } }

// WithReadiness sets the answer at the path of WithReadyPath. The default is whether the router is serving.
func WithReadiness(isServing func() bool) Option {
	return func(f *Frontend) { f.isServing = isServing }
}

// WithBodyTimeout bounds the time in which a request's body has to arrive. The default is DefaultBodyTimeout; 0
// leaves it to the host's server.
func WithBodyTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.bodyTimeout = timeout }
}

// WithWriteTimeout bounds the time in which an answer has to be written. The default leaves it to the host's server.
func WithWriteTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.writeTimeout = timeout }
}

// WithTimeout bounds the time in which the router answers a booking request, from its last byte on; 0, the default,
// leaves it to the client's deadline. It takes the place of an http.TimeoutHandler around the middleware, which may
// answer 503 though the request has run: behind one, only requests of idempotent classes are forwarded.
func WithTimeout(timeout time.Duration) Option {
	return func(f *Frontend) { f.timeout = timeout }
}

// WithBodyLimits accepts bodies and answers of any length within the limits. The host has to check the framing of
// requests: net/http takes the length from a transfer coding and ignores Content-Length, so that a request with both
// must not get here.
func WithBodyLimits(limits body.Limits) Option { return func(f *Frontend) { f.bodyLimits = &limits } }

// WithDisconnectCheck sets the check of a request's context for whether its client has disconnected. It is made just
// before the request is forwarded, which may have waited unread until then, and must not block. By default no client
// counts as disconnected.
func WithDisconnectCheck(disconnected func(context.Context) bool) Option {
	return func(f *Frontend) { f.disconnected = disconnected }
}

// WithArrivalAge sets how the time since the last byte of a request arrived is found by its context, as soon as the
// request is read. It may have waited unread, and its deadline counts from its arrival. The function must not block.
// By default requests are read as they arrive.
func WithArrivalAge(age func(context.Context) time.Duration) Option {
	return func(f *Frontend) { f.arrivalAge = age }
}

// WithOverflow sets the check of a request's context for whether its connection was accepted only for its requests to
// be rejected. Each is rejected at once, and the connection is closed after the answer. By default no connection was.
func WithOverflow(isOverflow func(context.Context) bool) Option {
	return func(f *Frontend) { f.isOverflow = isOverflow }
}

// WithBodyDeadlineSetter sets what bounds the reads of a request's body. By default a read deadline is set for each
// read of the body, which of a body in chunks may take many reads of the connection.
func WithBodyDeadlineSetter(set BodyDeadlineSetter) Option {
	return func(f *Frontend) { f.setBodyDeadlines = set }
}

// Path matches requests at the path and below it.
func Path(path string) func(*http.Request) bool {
	below := strings.TrimSuffix(path, "/") + "/"
	return func(r *http.Request) bool { return r.URL.Path == path || strings.HasPrefix(r.URL.Path, below) }
}

// Any matches every request.
func Any(*http.Request) bool { return true }

// New returns a Frontend of the engine.
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

// Handler is the middleware: it answers booking requests, and hands all others to next unchanged.
func (f *Frontend) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.Handles(r) {
			next.ServeHTTP(w, r)
			return
		}
		f.ServeHTTP(w, r)
	})
}
