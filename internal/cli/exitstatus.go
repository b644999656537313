package cli

import "strconv"

// exitStatusError is the exit status of a program whose scripts tell outcomes apart.
type exitStatusError int

// Exit statuses, beside 0 and 1.
const (
	errNotRun         exitStatusError = 2 // call: the request was not executed, a retry is harmless
	errMayHaveRun     exitStatusError = 3 // call: the request may have been executed
	errUnreachable    exitStatusError = 4 // ctl: no node answers
	errDeadlinePassed exitStatusError = 5 // ctl drain: requests were answered because the deadline passed
	errDrainCancelled exitStatusError = 6 // ctl drain
	errConflict       exitStatusError = 7 // ctl: the node rejects the request in its present state
	errExpiring       exitStatusError = 8 // certs check: a certificate expires soon
	errServerRejected exitStatusError = 9 // certs probe: a node would not use the server
)

func (s exitStatusError) Error() string {
	switch s {
	case errNotRun:
		return "not served; it has not run"
	case errMayHaveRun:
		return "not served; it may have run"
	case errExpiring:
		return "certificates expire soon"
	}
	return "exit status " + strconv.Itoa(int(s))
}

// statusError is an error with an exit status.
type statusError struct {
	error
	status exitStatusError
}

// As lets errors.As find the exit status.
func (e statusError) As(to any) bool {
	status, ok := to.(*exitStatusError)
	if ok {
		*status = e.status
	}
	return ok
}
