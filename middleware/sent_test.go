package middleware_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cobaltward/body"
	"cobaltward/internal/testkit"
	"cobaltward/middleware"
)

// observedResponse is a response whose status line is observed as it is written.
type observedResponse struct {
	*httptest.ResponseRecorder
	onWrite func()
}

func (o *observedResponse) WriteHeader(status int) {
	o.onWrite()
	o.ResponseRecorder.WriteHeader(status)
}

// TestRejection_IDIsFreeBeforeAnswer guards against a conflict for a client that sends a request again as soon as it
// has read that the request was not forwarded. The ID must be free before the answer is written.
func TestRejection_IDIsFreeBeforeAnswer(t *testing.T) {
	always := func(context.Context) bool { return true }
	for name, test := range map[string]struct {
		method, class, body string
		closed              bool
		options             []middleware.Option
		want                int
	}{
		"GET with a body": {method: http.MethodGet, class: "read", body: "x", want: 400},
		"body too long":   {method: http.MethodPost, class: "pay", body: strings.Repeat("x", 65<<10), want: 413},
		"overflow": {
			method: http.MethodGet, class: "read", want: 503,
			options: []middleware.Option{middleware.WithOverflow(always)},
		},
		"disconnected": {
			method: http.MethodGet, class: "read", want: 504,
			options: []middleware.Option{middleware.WithDisconnectCheck(always)},
		},
		"router is closed": {method: http.MethodGet, class: "read", closed: true, want: 503},
	} {
		t.Run(name, func(t *testing.T) {
			engine := newRouter(t, "127.0.0.1:1")
			if test.closed {
				_ = engine.Close()
			}
			frontend := middleware.New(engine, test.options...)
			response := &observedResponse{ResponseRecorder: httptest.NewRecorder()}
			response.onWrite = func() {
				reservation := engine.ReserveID("r1")
				defer reservation.Release()
				if reservation == nil {
					t.Error("the ID is in use or remembered as the answer is written")
				}
			}
			frontend.ServeHTTP(response, request(t, "/api", test.method, test.class, "r1", test.body))
			if response.Code != test.want {
				t.Errorf("status %d, want %d", response.Code, test.want)
			}
		})
	}
}

// TestSendCompletion_KeepsIDInUse checks that the ID of a request with a long answer is in use until the answer is
// sent, although the handler has returned. The ID of a request with a short answer is not.
func TestSendCompletion_KeepsIDInUse(t *testing.T) {
	for name, test := range map[string]struct {
		size  int
		waits bool
	}{"short": {100, false}, "long": {10 << 10, true}, "streamed": {200 << 10, true}} {
		t.Run(name, func(t *testing.T) {
			engine := newRouter(t, testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, strings.Repeat("x", test.size))
			}))
			var sent func()
			frontend := middleware.New(engine, middleware.WithBodyLimits(body.Limits{}),
				middleware.WithSendCompletion(func(_ context.Context, done func()) { sent = done }))
			response := httptest.NewRecorder()
			frontend.ServeHTTP(response, request(t, "/api", http.MethodGet, "read", "r1", ""))
			if response.Code != http.StatusOK || response.Body.Len() != test.size {
				t.Errorf("status %d, %d bytes", response.Code, response.Body.Len())
			}
			if (sent != nil) != test.waits {
				t.Fatalf("the answer waits to be sent: %v, want %v", sent != nil, test.waits)
			}
			inUse := func() int { return engine.Stats().IDs.Open }
			if test.waits {
				if inUse() != 1 || engine.InFlight() != 1 {
					t.Errorf("%d IDs in use, %d in flight; want 1 each", inUse(), engine.InFlight())
				}
				sent()
			}
			if inUse() != 0 || engine.InFlight() != 0 {
				t.Errorf("%d IDs in use, %d in flight; want none", inUse(), engine.InFlight())
			}
		})
	}
}
