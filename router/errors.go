package router

import "errors"

var (
	// ErrClosed is returned once Close was called.
	ErrClosed = errors.New("router: closed")
	// ErrDrained is returned by Do once a drain is over: the request was not accepted.
	ErrDrained = errors.New("router: drained")
	// ErrNoLevels is returned where the router has no levels of service.
	ErrNoLevels = errors.New("router: there are no levels of service")
	// ErrBodyConsumed is returned by Upload.Open where the body can't be read from its start again.
	ErrBodyConsumed = errors.New("the body has been passed on and is not held")
)

// errStateUnsupported is returned where the balancer can't export or restore its learned state.
var errStateUnsupported = errors.New("router: balancer does not support exporting and restoring state")

// InvalidError reports an invalid request. The request was not accepted, and reached no server.
type InvalidError struct{ Field, Problem string }

// Error names the field and the problem.
func (e *InvalidError) Error() string { return "router: request: " + e.Field + ": " + e.Problem }
