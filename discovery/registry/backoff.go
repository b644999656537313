package registry

import (
	"context"
	"time"
)

const (
	backoffMin = 25 * time.Millisecond
	// backoffMax and drainGraceDivisor keep a pause after a failed call short: what the registry's agent has counts as
	// known to the node, also while the node pauses.
	backoffMax        = 200 * time.Millisecond
	drainGraceDivisor = 4
)

// nextBackoff is how long to pause after one more failure in a row.
func nextBackoff(last, limit time.Duration) time.Duration {
	return min(limit, max(backoffMin, 2*last))
}

// backoffLimit is the longest pause, for the time in which a draining server may still get work; 0: not told.
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
