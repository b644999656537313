package middleware_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cobaltward/body"
	"cobaltward/middleware"
	"cobaltward/policy"
	"cobaltward/router"
)

// streamEngine is an Engine that answers every request with a stream.
type streamEngine struct{}

func (streamEngine) Do(context.Context, router.Request) (router.Answer, error) {
	return router.Answer{Stream: stringStream{strings.NewReader("yes")}}, nil
}

func (streamEngine) Class(name string) (policy.Class, bool) {
	return policy.Class{Name: name, Idempotency: policy.Idempotent}, true
}

func (streamEngine) Phase() router.Phase { return router.Serving }

// stringStream is a router.Stream with a fixed content.
type stringStream struct{ *strings.Reader }

func (s stringStream) Close() error  { return nil }
func (s stringStream) Length() int64 { return s.Size() }

// TestUnsentBytes_KeepRequestOpen checks that a request with a long answer is open until the kernel has sent the
// answer, but no longer than its client stays connected and reads.
func TestUnsentBytes_KeepRequestOpen(t *testing.T) {
	const (
		slack   = 100 * time.Millisecond // maximum delay of the end
		stalled = 15 * time.Second       // time after which a client that reads nothing counts as stalled
	)
	second := func(elapsed time.Duration) int { return int(elapsed / time.Second) }
	tests := map[string]struct {
		unsent     func(elapsed time.Duration) int
		disconnect time.Duration // time until the client disconnects; 0: it stays
		want       time.Duration
	}{
		"sent at once":        {unsent: func(time.Duration) int { return 0 }},
		"client reads slowly": {unsent: func(e time.Duration) int { return 60 - second(e) }, want: time.Minute},
		"client stalls":       {unsent: func(time.Duration) int { return 7 }, want: stalled},
		"client reads and stalls": {
			unsent: func(e time.Duration) int { return 60 - min(9, second(e)) }, want: 9*time.Second + stalled,
		},
		"client disconnects": {
			unsent: func(time.Duration) int { return 7 }, disconnect: 2 * time.Second, want: 2 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				frontend := middleware.New(streamEngine{}, middleware.WithBodyLimits(body.Limits{}),
					middleware.WithUnsentBytes(func(context.Context) int { return test.unsent(time.Since(began)) }))
				ctx, disconnect := context.WithCancel(t.Context())
				defer disconnect()
				if test.disconnect > 0 {
					time.AfterFunc(test.disconnect, disconnect)
				}
				response := httptest.NewRecorder()
				frontend.ServeHTTP(response, request(t, "/api", http.MethodGet, "read", "r1", "").WithContext(ctx))
				if took := time.Since(began); took < test.want || took > test.want+slack {
					t.Errorf("open for %v, want %v", took, test.want)
				}
				if response.Code != http.StatusOK || response.Body.String() != "yes" {
					t.Errorf("status %d, body %q", response.Code, response.Body)
				}
			})
		})
	}
}
