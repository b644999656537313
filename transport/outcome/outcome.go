// Package outcome has the functions that the transports of all protocols share. They check whether an attempt may
// still be written, determine the outcome of an attempt without a response, and parse load reports.
package outcome

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"cobaltward/policy"
	"cobaltward/router"
)

// ErrIdempotencyExpired means that servers may have forgotten the idempotency key of the request. An attempt written
// now could run the request a second time.
var ErrIdempotencyExpired = errors.New("dedup window of the idempotency key has passed")

// ErrAbandoned means that the request already has its answer, or that its client has disconnected.
var ErrAbandoned = errors.New("attempt is abandoned")

// CheckSendable returns an error if the attempt with the context ctx must not be written any more.
func CheckSendable(ctx context.Context) error {
	// The attempt may have waited for its connection beyond the time to send it.
	if sendCtx, ok := ctx.(router.SendDeadlineContext); ok {
		if sendBy := sendCtx.SendBy(); !sendBy.IsZero() && !time.Now().Before(sendBy) {
			return ErrIdempotencyExpired
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if abandonable, ok := ctx.(router.AbandonableContext); ok && abandonable.Abandoned() {
		return ErrAbandoned
	}
	// The timer that ends ctx may fire late, so the clock is compared with the deadline too.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// BeginWrite returns an error if the attempt with the context ctx must not be written. If it returns nil, the caller
// must call EndWrite after the write. Between the two calls the router delays a rejection of the request.
func BeginWrite(ctx context.Context) error {
	guard, ok := ctx.(router.WriteGuardContext)
	if ok && !guard.BeginWrite() {
		return ErrAbandoned
	}
	err := CheckSendable(ctx)
	if ok && err != nil {
		guard.EndWrite()
	}
	return err
}

// EndWrite ends the write that a successful BeginWrite has begun.
func EndWrite(ctx context.Context) {
	if guard, ok := ctx.(router.WriteGuardContext); ok {
		guard.EndWrite()
	}
}

// FailureCode returns the outcome of an attempt without a response. mayRun is true if the last byte of the attempt
// may have been written. If mayRun is false, the server cannot have run the request, even after the deadline.
func FailureCode(ctx context.Context, mayRun bool) policy.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case !mayRun:
		return unsentCode(ctx)
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.Reset
}

// NotBegunCode returns the outcome of an attempt that had a connection but was not written because of err. err
// comes from BeginWrite or from a check after it. If the deadline passed before the write, this process was late and
// the server is not at fault.
func NotBegunCode(ctx context.Context, err error) policy.Code {
	code := FailureCode(ctx, false)
	if code == policy.ConnectFailed && errors.Is(err, context.DeadlineExceeded) {
		return policy.Superseded
	}
	return code
}

// unsentCode returns the outcome of an attempt whose last byte was not written.
func unsentCode(ctx context.Context) policy.Code {
	err := CheckSendable(ctx)
	if errors.Is(err, ErrIdempotencyExpired) || errors.Is(err, ErrAbandoned) {
		return policy.Superseded // the server is not at fault
	}
	return policy.ConnectFailed
}

// maxLoadValue is the largest valid value in a load report.
const maxLoadValue = 1e9

// ParseLoadReport parses text, a load report of the form name=value,name=value. It returns the values in the order of
// names. It returns nil if text lacks one of names or is invalid in any part.
func ParseLoadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	values := make(map[string]float64)
	for _, pair := range strings.Split(text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(number, 64)
		if _, duplicate := values[name]; duplicate || err != nil || !(value >= 0 && value <= maxLoadValue) {
			return nil
		}
		values[name] = value
	}
	ordered := make([]float64, len(names))
	for i, name := range names {
		value, ok := values[name]
		if !ok {
			return nil
		}
		ordered[i] = value
	}
	return ordered
}
