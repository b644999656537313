package fleet

import "errors"

// RejectionError is the reason why the state rejects an entry. A rejected entry changes only the position.
type RejectionError struct {
	wireText string // identifies the error in answers to proposals; must not change
	message  string
}

// Error returns the message for operators.
func (e *RejectionError) Error() string { return e.message }

// WireText returns the text that identifies the error in answers to proposals. The text is the same in all versions
// of the program.
func (e *RejectionError) WireText() string { return e.wireText }

var (
	// ErrConflict rejects an entry that conflicts with a lease, a job or a version change in the state.
	ErrConflict error = &RejectionError{
		"another has the work", "the lease, job or version change conflicts with one that is open",
	}
	// ErrLeaseLost rejects an entry whose fencing token is not that of the current lease, whose lease is revoked, or
	// whose job is closed.
	ErrLeaseLost error = &RejectionError{
		"the ownership is over", "the lease is lost or revoked, or the job is closed",
	}
	// ErrNotFound rejects an entry that refers to something that does not exist.
	ErrNotFound error = &RejectionError{
		"there is no such thing", "the subject of the entry does not exist",
	}
	// ErrAlreadyExists rejects an entry that would create something that exists, repeat a finished step, or upgrade to a
	// format version that is already reached.
	ErrAlreadyExists error = &RejectionError{
		"it is there already", "the subject of the entry exists already, or the step is finished",
	}
	// ErrFormatTooNew rejects an entry whose format version is above that of the state.
	ErrFormatTooNew error = &RejectionError{
		"the entry is above the level that all members know",
		"the format version of the entry is above that of the state",
	}
	// ErrLimitExceeded rejects an entry that would exceed a limit of the state or of a job.
	ErrLimitExceeded error = &RejectionError{
		"there is no more room", "the entry exceeds a limit of the state or of the job",
	}
	// ErrInvalidEntry rejects an entry that is malformed or whose fields contradict its kind.
	ErrInvalidEntry error = &RejectionError{
		"the entry makes no sense", "the entry is malformed, or its fields contradict its kind",
	}
)

// RejectionErrors returns all errors with which the state rejects entries.
func RejectionErrors() []error {
	return []error{
		ErrConflict, ErrLeaseLost, ErrNotFound, ErrAlreadyExists, ErrFormatTooNew, ErrLimitExceeded, ErrInvalidEntry,
	}
}

// RejectionWireText returns the text that identifies err in an answer to a proposal: the wire text of a
// RejectionError, or the message of another error.
func RejectionWireText(err error) string {
	var rejection *RejectionError
	if errors.As(err, &rejection) {
		return rejection.wireText
	}
	return err.Error()
}

// ParseRejection returns the rejection error that wireText identifies. For a text that this version of the program
// does not know, it returns a new error with that text.
func ParseRejection(wireText string) error {
	for _, err := range RejectionErrors() {
		if RejectionWireText(err) == wireText {
			return err
		}
	}
	return errors.New(wireText)
}

// ErrUnsupportedFormat reports a log or snapshot whose format version is newer than FormatVersion. The process must
// stop applying entries. If it continued, its state would diverge from the state of the other members.
var ErrUnsupportedFormat = errors.New("fleet: the format version of the log is newer than this program supports")
