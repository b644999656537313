package router

import "errors"

var (
	// ErrClosed is returned after Close was called.
	ErrClosed = errors.New("router: closed")
	// ErrDrained is returned by Do once a drain is over. The request was not accepted.
	ErrDrained = errors.New("router: drained")
	// ErrNoLevels is returned if the router has no levels of service.
	ErrNoLevels = errors.New("router: there are no levels of service")
	// ErrBodyConsumed is returned by Upload.Open if the body can no longer be read from its start.
	ErrBodyConsumed = errors.New("the start of the body was forwarded and is no longer buffered")
)

// errStateUnsupported is returned if the balancer cannot export or restore its learned state.
var errStateUnsupported = errors.New("router: balancer does not support exporting and restoring state")

// InvalidError reports an invalid field of a request. The request was not accepted and reached no server.
type InvalidError struct{ Field, Problem string }

// Error names the field and the problem.
func (e *InvalidError) Error() string { return "router: request: " + e.Field + ": " + e.Problem }
