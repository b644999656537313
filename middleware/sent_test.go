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
