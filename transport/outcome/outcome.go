// Package outcome has what transports of every protocol say alike of an attempt: whether it may still go out,
// what it came to where it brought no answer, and how a load report reads.
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

// ErrIdempotencyExpired says that the servers which drop the repeats of a request's key do not remember it for certain
// any more: to send it now could have its effect twice.
var ErrIdempotencyExpired = errors.New("the time in which servers drop repeats of the key is over")

// ErrAbandoned says that the request has its answer, or that its client has left.
var ErrAbandoned = errors.New("nobody waits for the attempt any more")

// CheckSendable tells why nothing may go out for an attempt any more; nil while it may.
func CheckSendable(ctx context.Context) error {
	// A repeat may have waited for its connection.
	if a, ok := ctx.(router.SendDeadlineContext); ok {
		if by := a.SendBy(); !by.IsZero() && !time.Now().Before(by) {
			return ErrIdempotencyExpired
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if a, ok := ctx.(router.AbandonableContext); ok && a.Abandoned() {
		return ErrAbandoned
	}
	if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) { // its timer may be late as well
		return context.DeadlineExceeded
	}
	return nil
}

// FailureCode names the outcome of an attempt that brought no answer. One whose last byte was never written can't
// have run, also where its time is up; when unsure, it may have run.
func FailureCode(ctx context.Context, mayRun bool) policy.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case !mayRun && (errors.Is(CheckSendable(ctx), ErrIdempotencyExpired) || errors.Is(CheckSendable(ctx), ErrAbandoned)):
		return policy.Superseded // the server is not to blame
	case !mayRun:
		return policy.ConnectFailed
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.Reset
}

// maxLoadValue is more than any figure of a load report can be.
const maxLoadValue = 1e9

// ParseLoadReport reads `name=value,name=value` into the order of names; nil where there is none, or where
// a part of it is missing or makes no sense: the rest is then not to be trusted either.
func ParseLoadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	figures := make(map[string]float64)
	for _, pair := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
		n, err := strconv.ParseFloat(v, 64)
		if _, twice := figures[name]; twice || err != nil || !(n >= 0 && n <= maxLoadValue) {
			return nil
		}
		figures[name] = n
	}
	row := make([]float64, len(names))
	for i, name := range names {
		n, ok := figures[name]
		if !ok {
			return nil
		}
		row[i] = n
	}
	return row
}
