package http1

import (
	"context"
	"errors"
	"io"
	"net"

	"cobaltward/policy"
	"cobaltward/transport/outcome"
)

var (
	errIdleConnAvailable = errors.New("an idle connection became available")
	errClientGone        = errors.New("the attempt ended while its connection was being opened")
	errUnknownServer     = errors.New("server is not in the endpoint list")
	errServerDraining    = errors.New("server is draining")
	errNoConnection      = errors.New("connection limit reached")
	errMalformedResponse = errors.New("malformed response")
	errEarlyResponse     = errors.New("server responded or closed before the end of the request body")
)

// readError returns errMalformedResponse for a response that breaks the protocol or its bounds, and err itself where
// the connection failed.
func readError(err error, limitReached bool) error {
	var netErr net.Error
	if errors.As(err, &netErr) || !limitReached && errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errMalformedResponse
}

// failureCode returns the outcome of an attempt that got no response. mayRun says that the last byte of the request may
// have been written.
func failureCode(ctx context.Context, err error, mayRun bool) policy.Code {
	code := outcome.FailureCode(ctx, mayRun)
	if code == policy.Reset && errors.Is(err, errMalformedResponse) {
		return policy.ServerError
	}
	return code
}
