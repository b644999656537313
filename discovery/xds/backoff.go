package xds

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings keeps the shift in backoff within range. The limit is reached after far fewer doublings.
const maxBackoffDoublings = 20

// backoff returns the pause after a number of consecutive failures. It doubles from base up to limit. A jitter from 0
// to 1 scales the result to between half and one and a half times that, so that clients that lose a control plane at
// the same moment do not all reconnect at the same moment.
func backoff(base, limit time.Duration, failures int, jitter float64) time.Duration {
	pause := base << min(max(0, failures-1), maxBackoffDoublings)
	if pause > limit || pause <= 0 {
		pause = limit
	}
	return time.Duration((0.5 + jitter) * float64(pause))
}

// waitBackoff pauses before the next round of connection attempts, or until ctx ends.
func (s *Source) waitBackoff(ctx context.Context, failures int) {
	timer := time.NewTimer(backoff(s.config.backoffBase, s.config.backoffMax, failures, rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
