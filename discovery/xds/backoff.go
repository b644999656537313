package xds

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxBackoffDoublings keeps the shift in backoff within range. The limit is reached after far fewer doublings.
const maxBackoffDoublings = 20

// backoff returns the pause after a number of consecutive failures. The pause doubles from base up to limit. A jitter
// from 0 to 1 scales the pause by a factor from 0.5 to 1.5. Clients that lose a control plane at the same moment
// therefore do not all reconnect at the same moment.
func backoff(base, limit time.Duration, failures int, jitter float64) time.Duration {
	pause := base << min(max(0, failures-1), maxBackoffDoublings)
	if pause > limit || pause <= 0 {
		pause = limit
	}
	return time.Duration((0.5 + jitter) * float64(pause))
}

// waitBackoff pauses before the next round of connection attempts. It returns early if ctx ends.
func (s *Source) waitBackoff(ctx context.Context, failures int) {
	timer := time.NewTimer(backoff(s.config.backoffBase, s.config.backoffMax, failures, rand.Float64()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
