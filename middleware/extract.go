package middleware

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

const (
	maxDeadlineMs = 3_600_000
	maxShortBody  = 64 << 10 // maximum size of a body without WithBodyLimits, in bytes
)

// Extractor reads one field of a request. If it returns an error, the client gets the error with status 400.
type Extractor func(*http.Request) (string, error)

// Header returns an Extractor that reads the header name. A header that occurs twice is an error, because the router
// and a server might use different values.
func Header(name string) Extractor {
	name = http.CanonicalHeaderKey(name)
	errTwice := errors.New(name + ": given twice")
	return func(r *http.Request) (string, error) {
		switch values := r.Header[name]; len(values) {
		case 0:
			return "", nil
		case 1:
			return values[0], nil
		}
		return "", errTwice
	}
}

// Fixed returns an Extractor that returns value for every request.
func Fixed(value string) Extractor { return func(*http.Request) (string, error) { return value, nil } }

// Extractors holds the Extractor of each field of a request. A nil Extractor reads the header in the comment of its
// field.
type Extractors struct {
	ID             Extractor // X-Request-Id
	Class          Extractor // X-Class
	Tenant         Extractor // X-Tenant
	Key            Extractor // X-Key
	IdempotencyKey Extractor // Idempotency-Key
	Deadline       Extractor // X-Deadline-Ms: how long the client waits, in milliseconds; positive
}

func (e Extractors) withDefaults() Extractors {
	for _, entry := range []struct {
		field  *Extractor
		header string
	}{
		{&e.ID, "X-Request-Id"},
		{&e.Class, "X-Class"},
		{&e.Tenant, "X-Tenant"},
		{&e.Key, "X-Key"},
		{&e.IdempotencyKey, "Idempotency-Key"},
		{&e.Deadline, "X-Deadline-Ms"},
	} {
		if *entry.field == nil {
			*entry.field = Header(entry.header)
		}
	}
	return e
}

// requestError is the reason for rejecting a malformed request, and the status of the answer.
type requestError struct {
	status int
	text   string
	allow  string // value of the Allow header for a wrong method; empty: no header
}

// Texts of requestErrors that several checks return.
const (
	bodyOfGet      = "a GET has no body"
	bodyUnreadable = "the body can't be read"
)

func badRequest(text string) *requestError {
	return &requestError{status: http.StatusBadRequest, text: text}
}

func bodyTooLong(limit int64) *requestError {
	text := "the body is over " + strconv.FormatInt(limit>>10, 10) + " KiB"
	return &requestError{status: http.StatusRequestEntityTooLarge, text: text}
}

// parseHead reads everything of r except the body.
func (f *Frontend) parseHead(r *http.Request) (req router.Request, problem *requestError) {
	var deadline string
	for _, field := range []struct {
		from Extractor
		to   *string
	}{
		{f.extract.ID, &req.ID},
		{f.extract.Class, &req.Class},
		{f.extract.Tenant, &req.Tenant},
		{f.extract.Deadline, &deadline},
		{f.extract.IdempotencyKey, &req.IdempotencyKey},
		{f.extract.Key, &req.Key},
	} {
		value, err := field.from(r)
		if err != nil {
			return req, badRequest(err.Error())
		}
		*field.to = value
	}
	if !router.ValidID(req.ID) {
		return req, badRequest("X-Request-Id: missing or malformed")
	}
	if len(req.Tenant) > router.MaxNameLength { // the policy keeps tenant names in memory
		return req, badRequest("X-Tenant: too long")
	}
	class, ok := f.engine.Class(req.Class)
	if !ok {
		return req, badRequest("X-Class: unknown")
	}
	deadlineMs, err := strconv.ParseUint(deadline, 10, 64)
	if err != nil || deadlineMs == 0 || deadlineMs > maxDeadlineMs {
		return req, badRequest("X-Deadline-Ms: want whole milliseconds above 0")
	}
	if method := router.Method(class); !allowsMethod(method, r.Method) {
		return req, &requestError{http.StatusMethodNotAllowed, "this class takes " + method, method}
	}
	if class.Idempotency == policy.IdempotencyKeyed && req.IdempotencyKey == "" {
		return req, badRequest("Idempotency-Key: missing")
	}
	req.Timeout = time.Duration(deadlineMs) * time.Millisecond
	req.CostHint = costHint(r)
	req.ClassSnapshot = &class
	req.IsRetry = r.Header.Get("X-Retry") == "1"
	req.Method, req.Authority = r.Method, r.Host
	req.Target = r.URL.RequestURI()
	req.ContentType = r.Header.Get("Content-Type")
	return req, nil
}

// allowsMethod reports whether a class whose method is classMethod accepts a request with the given method. A class
// that accepts GET also accepts HEAD.
func allowsMethod(classMethod, method string) bool {
	return method == classMethod || method == http.MethodHead && classMethod == http.MethodGet
}

// costHint returns the client's estimate of the request's cost, or 0 if the client gave no number.
func costHint(r *http.Request) time.Duration {
	values := r.Header["X-Cost-Hint"]
	if len(values) == 0 {
		return 0
	}
	hint, _ := strconv.ParseUint(values[0], 10, 32)
	return time.Duration(hint) * time.Microsecond
}
