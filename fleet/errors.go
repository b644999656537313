package fleet

import "errors"

// Errors of entries that the state rejects. A rejected entry changes nothing but the position. Their texts are
// transmitted in answers to proposals, and must not change.
var (
	// ErrConflict rejects an entry because another holder has the lease, or another job or version change is open.
	ErrConflict = errors.New("another has the work")
	// ErrLeaseLost rejects an entry because its fencing token is not that of the current lease, because the lease is
	// revoked, or because the job is closed.
	ErrLeaseLost = errors.New("the ownership is over")
	// ErrNotFound rejects an entry about something that does not exist.
	ErrNotFound = errors.New("there is no such thing")
	// ErrAlreadyExists rejects an entry that would create something that exists, or repeat a finished step.
	ErrAlreadyExists = errors.New("it is there already")
	// ErrFormatTooNew rejects an entry whose format version is above that of the state.
	ErrFormatTooNew = errors.New("the entry is above the level that all members know")
	// ErrLimitExceeded rejects an entry that would exceed a limit of the state or of a job.
	ErrLimitExceeded = errors.New("there is no more room")
	// ErrInvalidEntry rejects an entry that is malformed, or whose fields contradict its kind.
	ErrInvalidEntry = errors.New("the entry makes no sense")
)

// RejectionErrors returns all errors with which the state rejects entries.
func RejectionErrors() []error {
	return []error{
		ErrConflict, ErrLeaseLost, ErrNotFound, ErrAlreadyExists, ErrFormatTooNew, ErrLimitExceeded, ErrInvalidEntry,
	}
}

// ErrUnsupportedFormat reports a log or snapshot whose format version is newer than FormatVersion. The process has to
// stop applying entries, or its state would diverge from that of the others.
var ErrUnsupportedFormat = errors.New("fleet: the format version of the log is newer than this program supports")
