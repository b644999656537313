package middleware_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cobaltward/internal/testkit"
	"cobaltward/middleware"
	"cobaltward/router"
)

// TestRoundTripper checks that the engine routes the requests of the application's own client. The client gets the
// same answers as a client of the middleware.
func TestRoundTripper(t *testing.T) {
	var served atomic.Int32
	engine := newRouter(t, newEchoServer(t, &served))
	client := &http.Client{Transport: middleware.New(engine).RoundTripper()}
	call := func(method, class, body string, headers ...string) (int, string, error) {
		resp, err := client.Do(request(t, "http://origin.svc/api", method, class, "", body, headers...))
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		got, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(got), err
	}
	status, body, err := call("POST", "pay", "sum", "X-Request-Id", "mine")
	if status != 200 || body != "served mine" || err != nil {
		t.Errorf("with an ID: status %d %q, error %v", status, body, err)
	}
	if status, _, err := call("POST", "pay", "sum", "X-Request-Id", "mine"); status != 409 || err != nil {
		t.Errorf("same ID again: status %d, error %v, want 409", status, err)
	}
	status, body, err = call("GET", "read", "", "X-Deadline-Ms", "")
	if status != 200 || len(body) < len("served ")+32 || err != nil {
		t.Errorf("without an ID or a deadline: status %d %q, error %v", status, body, err)
	}
	for want, test := range map[string]struct{ method, class, body string }{
		"X-Class: unknown":         {"GET", "other", ""},
		"this class takes POST":    {"GET", "pay", ""},
		"a GET has no body":        {"GET", "read", "x"},
		"Idempotency-Key: missing": {"POST", "undo", "x"},
		"over 64 KiB":              {"POST", "pay", strings.Repeat("x", 64<<10+1)},
	} {
		if _, _, err := call(test.method, test.class, test.body); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
	if served.Load() != 2 {
		t.Errorf("%d requests reached the server, want 2", served.Load())
	}
	if err := engine.Close(); err != nil {
		t.Error(err)
	}
	if _, _, err := call("GET", "read", ""); !errors.Is(err, router.ErrClosed) {
		t.Errorf("after Close: error %v, want router.ErrClosed", err)
	}
}

// TestRoundTripper_ContextEnds checks that a cancelled context ends the call and cancels its attempt.
func TestRoundTripper_ContextEnds(t *testing.T) {
	addr, received := newHungServer(t)
	engine := newRouter(t, addr)
	client := &http.Client{Transport: middleware.New(engine).RoundTripper()}
	ctx, cancel := context.WithCancel(t.Context())
	var call sync.WaitGroup
	call.Go(func() {
		resp, err := client.Do(request(t, "http://origin.svc/api", "POST", "pay", "r1", "sum").WithContext(ctx))
		if err == nil {
			_ = resp.Body.Close()
		}
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want context.Canceled", err)
		}
	})
	testkit.Receive(t, "the request", received)
	cancel()
	call.Wait()
	testkit.Await(t, "the end of the attempt", func() bool {
		stats := engine.Stats()
		return stats.AttemptsInFlight == 0 && stats.Retained == 0
	})
}
