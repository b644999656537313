package registry

import (
	"context"
	"time"
)

const (
	backoffMin = 25 * time.Millisecond
	// backoffMax and drainGraceDivisor keep the pause after a failed call short: a drain that the registry's agent has
	// counts as known to the node, even while the node pauses.
	backoffMax        = 200 * time.Millisecond
	drainGraceDivisor = 4
)

// nextBackoff returns the pause after one more consecutive failure, given the previous pause.
func nextBackoff(last, limit time.Duration) time.Duration {
	return min(limit, max(backoffMin, 2*last))
}

// backoffLimit returns the longest pause between calls. drainGrace is how long a draining server may still get work; 0
// means that it is unknown.
func backoffLimit(drainGrace time.Duration) time.Duration {
	if drainGrace <= 0 {
		return backoffMax
	}
	return min(backoffMax, max(backoffMin, drainGrace/drainGraceDivisor))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
