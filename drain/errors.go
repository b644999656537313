package drain

import (
	"errors"
	"fmt"
	"time"
)

// Errors of Start and Cancel, which change nothing then, except that a final order for a drained router makes its
// drain final.
var (
	// ErrDrained reports that the router is drained already.
	ErrDrained = errors.New("the router is drained already")
	// ErrNotDraining reports that there is no drain to cancel.
	ErrNotDraining = errors.New("no drain in progress")
	// ErrFinal reports that a drain cannot be cancelled, because the process ends after it.
	ErrFinal = errors.New("process is shutting down")
	// ErrInvalidTimeout reports that an order's timeout is not positive.
	ErrInvalidTimeout = errors.New("want a deadline above 0s")
)

// InProgressError reports that another drain is in progress, and that the order does not change it.
type InProgressError struct{ Status Status }

func (e *InProgressError) Error() string {
	status := e.Status
	return fmt.Sprintf(
		"a drain is in progress since %s, ordered by %s (%s), until %s; only force applies a shorter deadline",
		status.StartedAt.Format(time.TimeOnly), orDash(status.RequestedBy), orDash(status.Reason),
		status.Deadline.Format(time.TimeOnly))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
