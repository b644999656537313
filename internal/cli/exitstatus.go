package cli

import "strconv"

// exitStatusError is an error that sets the exit status of the program. Scripts use the status to distinguish
// outcomes.
type exitStatusError int

// Exit statuses other than 0 (success) and 1 (any other error).
const (
	errNotRun         exitStatusError = 2 // call: the request was not executed, so a retry is safe
	errMayHaveRun     exitStatusError = 3 // call: the request may have been executed
	errUnreachable    exitStatusError = 4 // ctl: no node answers
	errDeadlinePassed exitStatusError = 5 // ctl drain: the deadline passed with requests open
	errDrainCancelled exitStatusError = 6 // ctl drain: the drain was canceled
	errConflict       exitStatusError = 7 // ctl: the node rejects the request in its current state
	errExpiring       exitStatusError = 8 // certs check: a certificate expires soon
	errServerRejected exitStatusError = 9 // certs probe: a node would reject the server
)

func (s exitStatusError) Error() string {
	switch s {
	case errNotRun:
		return "not served: the request was not executed"
	case errMayHaveRun:
		return "not served: the request may have been executed"
	case errExpiring:
		return "certificates expire soon"
	}
	return "exit status " + strconv.Itoa(int(s))
}

// statusError adds an exit status to an error, and keeps the error's text.
type statusError struct {
	error
	status exitStatusError
}

// As sets target to the exit status if target is an *exitStatusError. errors.As calls it.
func (e statusError) As(target any) bool {
	status, ok := target.(*exitStatusError)
	if ok {
		*status = e.status
	}
	return ok
}
