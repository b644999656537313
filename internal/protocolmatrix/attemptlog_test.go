package protocolmatrix

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cobaltward/router"
)

// attemptLog is a transport that records the attempts of the transport that it wraps. Tests log the attempts to show
// what led to a result.
type attemptLog struct {
	router.Transport

	mu       sync.Mutex
	began    time.Time
	attempts []string
}

// newAttemptLog returns an attemptLog that wraps transport. Times in the log count from this call.
func newAttemptLog(transport router.Transport) *attemptLog {
	return &attemptLog{Transport: transport, began: time.Now()}
}

// Attempt makes an attempt through the wrapped transport, and records the attempt.
func (l *attemptLog) Attempt(ctx context.Context, server string, r *router.Request) router.Result {
	startedAt := time.Since(l.began)
	result := l.Transport.Attempt(ctx, server, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, fmt.Sprintf("%s at %v for %v: code %v, context %v",
		server, startedAt, time.Since(l.began)-startedAt, result.Code, ctx.Err()))
	return result
}

// String returns the recorded attempts, one per line.
func (l *attemptLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.attempts, "\n")
}
