package middleware

import (
	"testing"
	"time"
)

// TestTimedBody_StallTimeout checks that the bytes received of a long body extend the timeout of the next read, up to
// longBodyStallTimeout.
func TestTimedBody_StallTimeout(t *testing.T) {
	for received, want := range map[int64]time.Duration{
		0:             bodyStallTimeout,
		minUploadRate: bodyStallTimeout + time.Second,
		maxShortBody:  bodyStallTimeout + 2*time.Second,
		1 << 20:       longBodyStallTimeout,
	} {
		body := timedBody{received: received}
		if got := body.stallTimeout(); got != bodyStallTimeout {
			t.Errorf("stall timeout of a short body: %v after %d bytes, want %v", got, received, bodyStallTimeout)
		}
		body.isLong = true
		if got := body.stallTimeout(); got != want {
			t.Errorf("stall timeout of a long body: %v after %d bytes, want %v", got, received, want)
		}
	}
}
