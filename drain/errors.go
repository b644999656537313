package drain

import (
	"errors"
	"fmt"
	"time"
)

// Errors of Start and Cancel. A call that returns an error changes nothing, with one exception: a final order for a
// drained router makes the drain final.
var (
	// ErrDrained is returned by Start if the router is already drained.
	ErrDrained = errors.New("the router is already drained")
	// ErrNotDraining is returned by Cancel if there is no drain to cancel.
	ErrNotDraining = errors.New("no drain in progress")
	// ErrFinal is wrapped by the error of Cancel if the drain is final. The process exits after such a drain.
	ErrFinal = errors.New("the process is shutting down")
	// ErrInvalidTimeout is returned by Start if the timeout of the order is not positive.
	ErrInvalidTimeout = errors.New("the deadline of a drain must be more than 0s")
)

// InProgressError is returned by Start if a drain is in progress and the order does not change it. Status describes
// the drain in progress.
type InProgressError struct{ Status Status }

func (e *InProgressError) Error() string {
	status := e.Status
	return fmt.Sprintf(
		"a drain has been in progress since %s, ordered by %s (%s), until %s; only force applies a shorter deadline",
		status.StartedAt.Format(time.TimeOnly), orDash(status.RequestedBy), orDash(status.Reason),
		status.Deadline.Format(time.TimeOnly))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
