// Package outcome has what transports of all protocols share about attempts: whether an attempt may still be written,
// the outcome of one that got no response, and the parser of load reports.
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

// ErrIdempotencyExpired means that servers may have forgotten the idempotency key of the request: writing the attempt
// could run it a second time.
var ErrIdempotencyExpired = errors.New("dedup window of the idempotency key has passed")

// ErrAbandoned means that the request has its answer, or that its client has disconnected.
var ErrAbandoned = errors.New("attempt is abandoned")

// CheckSendable returns why an attempt may not be written any more; nil if it may.
func CheckSendable(ctx context.Context) error {
	// An attempt may have waited for its connection since it was decided on.
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
	// The timer of ctx may be late.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// BeginWrite returns why an attempt may not be written; if it may, EndWrite must follow. Between the two the router
// withholds a rejection of the request.
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

// EndWrite follows a BeginWrite that returned no error.
func EndWrite(ctx context.Context) {
	if guard, ok := ctx.(router.WriteGuardContext); ok {
		guard.EndWrite()
	}
}

// FailureCode returns the outcome of an attempt that got no response. mayRun says that its last byte may have been
// written: without that, the server cannot have run it, even if its deadline has passed.
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

// NotBegunCode returns the outcome of an attempt that had its connection, and for which BeginWrite or a check after it
// returned err. Its server is not at fault where its time passed before the write: this process was late.
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

// maxLoadValue bounds the values of a load report; larger ones are invalid.
const maxLoadValue = 1e9

// ParseLoadReport parses `name=value,name=value` and returns the values of the given names, in their order. It returns
// nil for a report that lacks one of them, or that is invalid in any part.
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
