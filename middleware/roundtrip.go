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

// RoundTripper returns an http.RoundTripper that sends the application's own requests through the engine. The scheme
// of the URL is ignored, and the URL's host becomes the Host header. A request without X-Request-Id gets a new ID. A
// request without X-Deadline-Ms waits until its context's deadline, or for as long as its class allows.
//
// The response is the one that a client of the middleware would get. RoundTrip returns an error if the request is
// malformed (for example a *router.InvalidError), the router is drained or closed, or the request's context has
// ended. The RoundTripper does not retry.
func (f *Frontend) RoundTripper() http.RoundTripper { return roundTripper{f} }

type roundTripper struct{ frontend *Frontend }

// RoundTrip implements http.RoundTripper.
func (t roundTripper) RoundTrip(out *http.Request) (*http.Response, error) {
	defer func() {
		if out.Body != nil {
			_ = out.Body.Close() // an http.RoundTripper must close the body
		}
	}()
	r, err := t.withDefaults(out)
	if err != nil {
		return nil, err
	}
	req, problem := t.frontend.parseHead(r)
	if problem == nil && out.ContentLength > maxShortBody {
		problem = bodyTooLong(maxShortBody)
	}
	if problem != nil {
		return nil, errors.New("middleware: " + problem.text)
	}
	if out.Header.Get("X-Deadline-Ms") == "" {
		req.Timeout = 0
	}
	if req.Body, err = readOutgoingBody(out, req.Method); err != nil {
		return nil, err
	}
	req.ReceivedAt = time.Now()
	answer, err := t.frontend.engine.Do(out.Context(), req)
	if err != nil {
		return nil, err
	}
	return newResponse(out, answer), nil
}

// withDefaults returns a copy of out with defaults for the fields that an application may omit.
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
		return nil, fmt.Errorf("middleware: %w", err)
	}
	if id == "" {
		r.Header.Set("X-Request-Id", t.frontend.newID())
	}
	if r.Header.Get("X-Deadline-Ms") == "" {
		r.Header.Set("X-Deadline-Ms", strconv.Itoa(maxDeadlineMs)) // RoundTrip resets the timeout
	}
	return &r, nil
}

// readOutgoingBody returns the body of out, or nil if there is none.
func readOutgoingBody(out *http.Request, method string) ([]byte, error) {
	if out.Body == nil || out.Body == http.NoBody {
		return nil, nil
	}
	content, err := io.ReadAll(io.LimitReader(out.Body, maxShortBody+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("middleware: reading the body: %w", err)
	case len(content) > maxShortBody:
		return nil, errors.New("middleware: " + bodyTooLong(maxShortBody).text)
	case len(content) > 0 && method == http.MethodGet:
		return nil, errors.New("middleware: " + bodyOfGet)
	}
	return content, nil
}

func newResponse(out *http.Request, answer router.Answer) *http.Response {
	status := Status(answer)
	header := make(http.Header, 3)
	setAnswerHeaders(header, answer)
	return &http.Response{
		Status: strconv.Itoa(status) + " " + http.StatusText(status), StatusCode: status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Request: out,
		Body: io.NopCloser(bytes.NewReader(answer.Body)), ContentLength: int64(len(answer.Body)),
	}
}

func newID() string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails: crypto/rand ends the program instead
	return hex.EncodeToString(random[:])
}
