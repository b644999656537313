package middleware

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cobaltward/router"
)

// RoundTripper sends the application's own requests through the engine: the scheme is ignored, and the
// URL's host is what servers see as theirs. A request without X-Request-Id gets a fresh one; without
// X-Deadline-Ms it waits until its context's deadline, or as long as its class allows.
//
// The answer is the one that a client of the middleware would get, as a response. An error is
// returned where there is no answer: the request is malformed (*router.InvalidError), the router is
// drained or closed, or the request's context has ended. Nothing is ever sent again by the
// RoundTripper itself.
func (f *Frontend) RoundTripper() http.RoundTripper { return roundTripper{f} }

type roundTripper struct{ frontend *Frontend }

// RoundTrip routes one request.
func (t roundTripper) RoundTrip(out *http.Request) (*http.Response, error) {
	defer func() {
		if out.Body != nil {
			out.Body.Close() // net/http asks it of every RoundTripper
		}
	}()
	r, err := t.withDefaults(out)
	if err != nil {
		return nil, err
	}
	req, p := t.frontend.parseHead(r)
	if p == nil && out.ContentLength > maxShortBody {
		p = &requestError{text: "the body is over 64 KiB"}
	}
	if p != nil {
		return nil, errors.New("middleware: " + p.text)
	}
	if out.Header.Get("X-Deadline-Ms") == "" {
		req.Timeout = 0
	}
	if out.Body != nil && out.Body != http.NoBody {
		if req.Body, err = io.ReadAll(io.LimitReader(out.Body, maxShortBody+1)); err != nil {
			return nil, fmt.Errorf("middleware: reading the body: %w", err)
		}
		switch {
		case len(req.Body) > maxShortBody:
			return nil, errors.New("middleware: the body is over 64 KiB")
		case len(req.Body) > 0 && req.Method == http.MethodGet:
			return nil, errors.New("middleware: a GET has no body")
		}
	}
	req.ReceivedAt = time.Now()
	a, err := t.frontend.engine.Do(out.Context(), req)
	if err != nil {
		return nil, err
	}
	return newResponse(out, a), nil
}

// withDefaults returns a copy of the request with what it may leave out.
func (t roundTripper) withDefaults(out *http.Request) (*http.Request, error) {
	r := *out
	r.Header = out.Header.Clone()
	if r.Header == nil {
		r.Header = make(http.Header)
	}
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Host == "" {
		r.Host = out.URL.Host
	}
	id, err := t.frontend.extract.ID(&r)
	if err != nil {
		return nil, errors.New("middleware: " + err.Error())
	}
	if id == "" {
		r.Header.Set("X-Request-Id", t.frontend.newID())
	}
	if r.Header.Get("X-Deadline-Ms") == "" {
		r.Header.Set("X-Deadline-Ms", strconv.Itoa(maxDeadlineMs)) // cut to the class's
	}
	return &r, nil
}

func newResponse(out *http.Request, a router.Answer) *http.Response {
	status := Status(a)
	h := make(http.Header, 3)
	setAnswerHeaders(h, a)
	return &http.Response{
		Status: strconv.Itoa(status) + " " + http.StatusText(status), StatusCode: status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h, Request: out,
		Body: io.NopCloser(bytes.NewReader(a.Body)), ContentLength: int64(len(a.Body)),
	}
}

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails: the runtime ends the program where it would
	return hex.EncodeToString(b[:])
}
