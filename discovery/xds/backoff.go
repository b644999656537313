package xds

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings keeps the shift of backoff in range; the limit is reached long before.
const maxBackoffDoublings = 20

// backoff is the pause after a number of failures in a row: it doubles from base up to limit, and jitter in [0, 1)
// spreads it from half to one and a half times that, so that clients that lose a control plane together do not
// return together.
func backoff(base, limit time.Duration, failures int, jitter float64) time.Duration {
	pause := base << min(max(0, failures-1), maxBackoffDoublings)
	if pause > limit || pause <= 0 {
		pause = limit
	}
	return time.Duration((0.5 + jitter) * float64(pause))
}

// waitBackoff pauses before the next round of attempts, or until ctx ends.
func (s *Source) waitBackoff(ctx context.Context, failures int) {
	timer := time.NewTimer(backoff(s.config.backoffBase, s.config.backoffMax, failures, rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
