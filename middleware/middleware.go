package middleware

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cobaltward/body"
	"cobaltward/policy"
	"cobaltward/router"
)

const (
	maxRejectedRest = 256 << 10 // bytes of a body that are read though its request is refused
	// DefaultBodyTimeout bounds how long a request's body may take to come.
	DefaultBodyTimeout = 2500 * time.Millisecond
)

// Engine is what a front needs of a *router.Router.
type Engine interface {
	Do(ctx context.Context, req router.Request) (router.Answer, error)
	Class(name string) (policy.Class, bool)
	Phase() router.Phase
}

// FailureCounter is optionally implemented by an Engine, as *router.Router does.
type FailureCounter interface {
	// CountFailed counts a request that the front has answered itself, since it was malformed.
	CountFailed(class string)
}

// OverloadRejecter is optionally implemented by an Engine, as *router.Router does.
type OverloadRejecter interface {
	// RejectOverloaded counts a request of a class that the front has no room for, and returns its answer.
	RejectOverloaded(class string) router.Answer
}

var (
	_ Engine           = (*router.Router)(nil)
	_ FailureCounter   = (*router.Router)(nil)
	_ OverloadRejecter = (*router.Router)(nil)
)

// Frontend takes booking requests in. It holds no state of its own.
type Frontend struct {
	engine       Engine
	matches        func(*http.Request) bool
	extract      Extractors
	readyPath        string
	isServing         func() bool
	bodyTimeout  time.Duration
	writeTimeout time.Duration
	newID        func() string
	bodyLimits       *body.Limits // nil: bodies are short, and held
	disconnected         func(context.Context) bool
	arrivalAge   func(context.Context) time.Duration
	overflows    func(context.Context) bool
}

// Option sets what New can do without.
type Option func(*Frontend)

// WithMatcher sets which requests are booking requests. The default is those with an X-Class header.
func WithMatcher(match func(*http.Request) bool) Option { return func(f *Frontend) { f.matches = match } }

// WithExtractors sets where the fields of a request are found.
func WithExtractors(e Extractors) Option { return func(f *Frontend) { f.extract = e.orDefault() } }

// WithReadyPath has the front answer GET at the path: 200 while the router serves, else 503.
func WithReadyPath(path string) Option { return func(f *Frontend) { f.readyPath = path } }

// WithReadiness sets what the answer to WithReady's path goes by. The default is that the router serves.
func WithReadiness(up func() bool) Option { return func(f *Frontend) { f.isServing = up } }

// WithBodyTimeout sets how long a request's body may take to come; the default is
// DefaultBodyTimeout, and 0 leaves it to the host's server.
func WithBodyTimeout(d time.Duration) Option { return func(f *Frontend) { f.bodyTimeout = d } }

// WithWriteTimeout bounds how long an answer may take to be written to a client that doesn't read.
// The default leaves it to the host's server.
func WithWriteTimeout(d time.Duration) Option { return func(f *Frontend) { f.writeTimeout = d } }

// WithBodyLimits lets bodies and answers of any size through, within the limits. The host vouches for the framing of
// requests: net/http takes the length from a transfer coding and drops what Content-Length says, so a request that
// has both must not get here.
func WithBodyLimits(l body.Limits) Option { return func(f *Frontend) { f.bodyLimits = &l } }

// WithDisconnectCheck sets how a request's context tells that its client has left, asked at once before the request is handed
// on: it may have waited unread, and who looks for that beside it may not have run yet. It must not wait. The default
// is that nobody has.
func WithDisconnectCheck(left func(context.Context) bool) Option { return func(f *Frontend) { f.disconnected = left } }

// WithArrivalAge sets how a request's context tells how long ago the last bytes of its connection came, asked as soon
// as the request was read: it may have waited unread, and its client's time counts from there. It must not wait. The
// default is that requests are read as they come.
func WithArrivalAge(age func(context.Context) time.Duration) Option {
	return func(f *Frontend) { f.arrivalAge = age }
}

// WithOverflow sets how a request's context tells that its connection was let in only for its requests to be rejected:
// each is, at once, and the connection ends with the answer. The default is that none was.
func WithOverflow(overflows func(context.Context) bool) Option {
	return func(f *Frontend) { f.overflows = overflows }
}

// Path matches requests at the path and below it.
func Path(path string) func(*http.Request) bool {
	below := strings.TrimSuffix(path, "/") + "/"
	return func(r *http.Request) bool { return r.URL.Path == path || strings.HasPrefix(r.URL.Path, below) }
}

// Any matches every request.
func Any(*http.Request) bool { return true }

// New returns a front of the engine.
func New(e Engine, opts ...Option) *Frontend {
	f := &Frontend{
		engine: e, extract: Extractors{}.orDefault(), bodyTimeout: DefaultBodyTimeout, newID: newID,
		matches: func(r *http.Request) bool { return len(r.Header["X-Class"]) > 0 },
	}
	f.isServing = func() bool { return e.Phase() == router.Serving }
	f.disconnected = func(context.Context) bool { return false }
	f.arrivalAge = func(context.Context) time.Duration { return 0 }
	f.overflows = func(context.Context) bool { return false }
	for _, set := range opts {
		set(f)
	}
	return f
}

// Handles tells whether the front answers r itself.
func (f *Frontend) Handles(r *http.Request) bool { return f.isReadinessCheck(r) || f.matches(r) }

func (f *Frontend) isReadinessCheck(r *http.Request) bool {
	return f.readyPath != "" && r.Method == http.MethodGet && r.URL.Path == f.readyPath
}

// Handler is the middleware: it answers booking requests, and hands the rest to next as they are.
func (f *Frontend) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.Handles(r) {
			f.ServeHTTP(w, r)
		} else {
			next.ServeHTTP(w, r)
		}
	})
}

// ServeHTTP answers r, whatever the matcher says.
func (f *Frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http takes the length from a transfer coding and drops what Content-Length says, and ignores
	// the coding in HTTP/1.0: what one side takes for a body, the other may take for a request. Where nobody
	// vouches for the framing whatever has no length is refused, and nothing behind it is read.
	if len(r.TransferEncoding) > 0 && f.bodyLimits == nil || !r.ProtoAtLeast(1, 1) {
		f.rejectMalformed(w, r, "", badRequest("want version 1.1, and Content-Length for a body"))
		return
	}
	if f.isReadinessCheck(r) {
		f.answerReadiness(w, r)
		return
	}
	req, p := f.parseHead(r)
	ctx := r.Context()
	if p == nil && f.bodyLimits != nil && (r.ContentLength > maxInlineBody || r.ContentLength < 0) {
		var up *upload
		if up, p = f.startUpload(w, r, &req); up != nil {
			defer up.close()
			ctx = up.ctx
		}
	} else if p == nil {
		p = f.readBody(w, r, &req)
	}
	if p != nil {
		f.rejectMalformed(w, r, req.Class, p)
		return
	}
	req.AcceptsStream = f.bodyLimits != nil
	if f.disconnected(ctx) {
		f.writeAnswer(w, router.Answer{Outcome: router.Expired}) // nobody reads it, and nobody may read it as served
		return
	}
	if f.overflows(ctx) {
		w.Header().Set("Connection", "close")
		f.writeAnswer(w, f.overloadAnswer(req.Class))
		return
	}
	a, err := f.engine.Do(ctx, req)
	switch invalid := (*router.InvalidError)(nil); {
	case err == nil:
		f.writeAnswer(w, a)
	case errors.As(err, &invalid):
		f.rejectMalformed(w, r, req.Class, badRequest(invalid.Field+": "+invalid.Problem))
	case errors.Is(err, router.ErrClosed) || errors.Is(err, router.ErrDrained): // it was not taken
		f.writeAnswer(w, router.Answer{Outcome: router.Overloaded})
	default: // the client has left; whoever ended the context otherwise must not read this as served
		f.writeAnswer(w, router.Answer{Outcome: router.Expired})
	}
}

// overloadAnswer is the answer to a request that there is no room for.
func (f *Frontend) overloadAnswer(class string) router.Answer {
	if r, ok := f.engine.(OverloadRejecter); ok {
		return r.RejectOverloaded(class)
	}
	return router.Answer{Outcome: router.Overloaded}
}

// readBody reads a request's body.
func (f *Frontend) readBody(w http.ResponseWriter, r *http.Request, req *router.Request) *requestError {
	if r.ContentLength > maxShortBody { // not a byte of it need be read
		return &requestError{status: http.StatusRequestEntityTooLarge, text: "the body is over 64 KiB"}
	}
	if r.ContentLength != 0 {
		var source io.Reader = r.Body
		if f.bodyTimeout > 0 {
			source = &pacedBody{Reader: r.Body, conn: http.NewResponseController(w), deadline: time.Now().Add(f.bodyTimeout)}
		}
		body, err := io.ReadAll(io.LimitReader(source, maxShortBody+1))
		switch {
		case err != nil:
			return badRequest("the body can't be read")
		case len(body) > maxShortBody:
			return &requestError{status: http.StatusRequestEntityTooLarge, text: "the body is over 64 KiB"}
		case r.ContentLength > 0 && int64(len(body)) != r.ContentLength:
			return badRequest("the body is not whole: a handler ahead of this one may have read it")
		case r.Method == http.MethodGet && len(body) > 0:
			return badRequest("a GET has no body")
		}
		req.Body = body
	}
	// From now on net/http reads on to notice a client that leaves, and lifts the body's time-out itself.
	req.ReceivedAt = f.arrivedAt(r.Context())
	return nil
}

// arrivedAt returns when the last byte of a request came that was read just now.
func (f *Frontend) arrivedAt(ctx context.Context) time.Time { return time.Now().Add(-f.arrivalAge(ctx)) }

// rejectMalformed answers a request that is not to be served, and ends its connection: where its body ends is
// in doubt, and what follows it is not to be trusted.
func (f *Frontend) rejectMalformed(w http.ResponseWriter, r *http.Request, class string, p *requestError) {
	if _, known := f.engine.Class(class); known {
		if c, ok := f.engine.(FailureCounter); ok {
			c.CountFailed(class)
		}
	}
	w.Header().Set("Connection", "close")
	if p.allow != "" {
		w.Header().Set("Allow", p.allow)
	}
	http.Error(w, p.text, p.status)
	if r.ContentLength == 0 {
		return
	}
	// A close with bytes unread would reset the connection before the client has read the answer, and
	// net/http reads nothing more where the client itself has asked for the close. So what is left of the
	// body is read behind the answer, no longer than a body may take. Errors mean that the connection is
	// gone, or that there is more than anybody should send.
	conn := http.NewResponseController(w)
	_ = conn.Flush()
	_ = conn.SetReadDeadline(time.Now().Add(DefaultBodyTimeout))
	_, _ = io.CopyN(io.Discard, r.Body, maxRejectedRest)
}

// answerReadiness tells who asks for readiness whether the router may be taken in.
func (f *Frontend) answerReadiness(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 { // net/http would wait for it, with no end
		f.rejectMalformed(w, r, "", badRequest("no body is wanted here"))
		return
	}
	f.addCloseHeader(w)
	status := http.StatusOK // said in so many words: frameworks may have put a 404 in its place
	if !f.isServing() {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

// Status is the protocol's status of an answer.
func Status(a router.Answer) int {
	switch a.Outcome {
	case router.Served:
		return http.StatusOK
	case router.Rejected:
		if a.RetryAfter > 0 {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case router.Overloaded:
		return http.StatusServiceUnavailable
	case router.Expired:
		return http.StatusGatewayTimeout
	case router.Conflict:
		return http.StatusConflict
	}
	return http.StatusBadGateway
}

// FormatRetryAfter is a Retry-After header's value: seconds, whole or decimal.
func FormatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
}

// setAnswerHeaders puts an answer's head into h.
func setAnswerHeaders(h http.Header, a router.Answer) {
	if a.ContentType != "" {
		h["Content-Type"] = []string{a.ContentType}
	}
	if a.RetryAfter > 0 {
		h["Retry-After"] = []string{FormatRetryAfter(a.RetryAfter)}
	}
	h["Content-Length"] = []string{strconv.Itoa(len(a.Body))}
}

// addCloseHeader has the answer end its connection where the router is closing. It is asked when the answer is there: a
// drain may have begun since the request came, and would wait for the connection in vain.
func (f *Frontend) addCloseHeader(w http.ResponseWriter) {
	if f.engine.Phase() >= router.Closing {
		w.Header().Set("Connection", "close")
	}
}

func (f *Frontend) writeAnswer(w http.ResponseWriter, a router.Answer) {
	f.addCloseHeader(w)
	if a.Stream != nil {
		f.writeStream(w, a)
		return
	}
	if f.writeTimeout > 0 { // a client that reads nothing must not hold the handler for ever
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.writeTimeout))
	}
	setAnswerHeaders(w.Header(), a)
	w.WriteHeader(Status(a))
	_, _ = w.Write(a.Body) // the client may have left; the request is over either way
}
