package drain

import (
	"errors"
	"fmt"
	"time"
)

// Errors of Start and Cancel, which change nothing then, except that a final order for a drained router makes its
// drain final.
var (
	// ErrDrained says that the router is drained already.
	ErrDrained = errors.New("the router is drained already")
	// ErrNotDraining reports that there is no drain to cancel.
	ErrNotDraining = errors.New("no drain in progress")
	// ErrFinal says that the drain can't be cancelled, since the process is to end.
	ErrFinal = errors.New("the process is ending: that can't be taken back")
	// ErrInvalidTimeout says that an order's timeout is not positive.
	ErrInvalidTimeout = errors.New("want a deadline above 0s")
)

// InProgressError reports that another drain is in progress, and that the order does not change it.
type InProgressError struct{ Status Status }

func (e *InProgressError) Error() string {
	status := e.Status
	return fmt.Sprintf(
		"a drain goes on since %s, ordered by %s (%s), until %s; a shorter deadline wins with force alone",
		status.StartedAt.Format(time.TimeOnly), orDash(status.RequestedBy), orDash(status.Reason),
		status.Deadline.Format(time.TimeOnly))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
