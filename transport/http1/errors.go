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
	errAttemptEnded      = errors.New("the attempt ended while its connection was being opened")
	errUnknownServer     = errors.New("server is not in the endpoint list")
	errServerDraining    = errors.New("server is draining")
	errNoConnection      = errors.New("connection limit reached")
	errMalformedResponse = errors.New("malformed response")
	errEarlyResponse     = errors.New("server responded or closed before the end of the request body")
)

// readError classifies err, which ended the reading of a response. It returns err if the connection failed. It
// returns errMalformedResponse if the response violates the protocol or, as limitReached says, the size limits.
func readError(err error, limitReached bool) error {
	var netErr net.Error
	if errors.As(err, &netErr) || !limitReached && errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return errMalformedResponse
}

// failureCode returns the outcome of an attempt that got no response because of err. mayRun is true if the last byte
// of the request may have been written. The server may have run the request only then.
func failureCode(ctx context.Context, err error, mayRun bool) policy.Code {
	code := outcome.FailureCode(ctx, mayRun)
	if code == policy.Reset && errors.Is(err, errMalformedResponse) {
		return policy.ServerError
	}
	return code
}
