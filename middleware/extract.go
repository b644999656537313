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
	maxDeadlineMs = 3_600_000 // that a client may say it waits
	maxShortBody   = 64 << 10  // bytes that a request may hold
)

// Extractor reads one field out of a request. Its error is told to the client, with status 400.
type Extractor func(*http.Request) (string, error)

// Header extracts a header. A header that is given twice is an error: this side and a server might
// each go by another.
func Header(name string) Extractor {
	name = http.CanonicalHeaderKey(name)
	twice := errors.New(name + ": given twice")
	return func(r *http.Request) (string, error) {
		switch v := r.Header[name]; len(v) {
		case 0:
			return "", nil
		case 1:
			return v[0], nil
		}
		return "", twice
	}
}

// Fixed extracts the same value from every request.
func Fixed(value string) Extractor { return func(*http.Request) (string, error) { return value, nil } }

// Extractors says where the fields of a request are found. Those left nil read the protocol's headers.
type Extractors struct {
	ID             Extractor // X-Request-Id
	Class          Extractor // X-Class
	Tenant         Extractor // X-Tenant
	Key            Extractor // X-Key
	IdempotencyKey Extractor // Idempotency-Key
	Deadline       Extractor // X-Deadline-Ms: whole milliseconds that the client waits, above 0
}

func (e Extractors) orDefault() Extractors {
	for _, d := range []struct {
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
		if *d.field == nil {
			*d.field = Header(d.header)
		}
	}
	return e
}

// requestError is what is wrong with a request, and the status that says so.
type requestError struct {
	status int
	text   string
	allow  string // the method that the class takes, where the request has another
}

func badRequest(text string) *requestError { return &requestError{status: http.StatusBadRequest, text: text} }

// parseHead reads all but the body.
func (f *Frontend) parseHead(r *http.Request) (req router.Request, p *requestError) {
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
		v, err := field.from(r)
		if err != nil {
			return req, badRequest(err.Error())
		}
		*field.to = v
	}
	if !router.ValidID(req.ID) {
		return req, badRequest("X-Request-Id: missing or malformed")
	}
	if len(req.Tenant) > router.MaxNameLength { // the module remembers it
		return req, badRequest("X-Tenant: too long")
	}
	class, ok := f.engine.Class(req.Class)
	if !ok {
		return req, badRequest("X-Class: unknown")
	}
	waits, err := strconv.ParseUint(deadline, 10, 64)
	if err != nil || waits == 0 || waits > maxDeadlineMs {
		return req, badRequest("X-Deadline-Ms: want whole milliseconds above 0")
	}
	req.Timeout = time.Duration(waits) * time.Millisecond
	if method := router.Method(class); r.Method != method && !(r.Method == http.MethodHead && method == http.MethodGet) {
		return req, &requestError{http.StatusMethodNotAllowed, "this class takes " + method, method}
	}
	if class.Idempotency == policy.IdempotencyKeyed && req.IdempotencyKey == "" {
		return req, badRequest("Idempotency-Key: missing")
	}
	if v := r.Header["X-Cost-Hint"]; len(v) > 0 {
		hint, _ := strconv.ParseUint(v[0], 10, 32) // a guess; none is as good as a bad one
		req.CostHint = time.Duration(hint) * time.Microsecond
	}
	req.ClassSnapshot = &class
	req.IsRetry = r.Header.Get("X-Retry") == "1"
	req.Method, req.Authority = r.Method, r.Host
	req.Target = r.URL.RequestURI()
	req.ContentType = r.Header.Get("Content-Type")
	return req, nil
}
