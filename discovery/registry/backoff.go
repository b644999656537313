package registry

import (
	"context"
	"time"
)

const (
	backoffMin = 25 * time.Millisecond
	// backoffMax and drainGraceDivisor keep the pause after a failed call short. A drain that the registry's agent
	// has received counts as known to the node, even while the node pauses.
	backoffMax        = 200 * time.Millisecond
	drainGraceDivisor = 4
)

// nextBackoff returns the pause after a further consecutive failure. last is the previous pause, and limit is the
// maximum.
func nextBackoff(last, limit time.Duration) time.Duration {
	return min(limit, max(backoffMin, 2*last))
}

// backoffLimit returns the maximum pause between calls. drainGrace is the time for which a draining server may still
// get work, or 0 if unknown.
func backoffLimit(drainGrace time.Duration) time.Duration {
	if drainGrace <= 0 {
		return backoffMax
	}
	return min(backoffMax, max(backoffMin, drainGrace/drainGraceDivisor))
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
