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
)

// Over tells why nothing may go out for an attempt any more; nil while it may.
func Over(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if end, ok := ctx.Deadline(); ok && !time.Now().Before(end) { // its timer may be late as well
		return context.DeadlineExceeded
	}
	return nil
}

// Lost names the outcome of an attempt that brought no answer. One whose last byte was never written can't
// have run, also where its time is up; when unsure, it may have run.
func Lost(ctx context.Context, mayRun bool) policy.Code {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled
	case !mayRun:
		return policy.ConnectFailed
	case ctx.Err() != nil:
		return policy.TimedOut
	}
	return policy.Reset
}

// maxReported is more than any figure of a load report can be.
const maxReported = 1e9

// LoadReport reads `name=value,name=value` into the order of names; nil where there is none, or where
// a part of it is missing or makes no sense: the rest is then not to be trusted either.
func LoadReport(text string, names []string) []float64 {
	if text == "" || len(names) == 0 {
		return nil
	}
	figures := make(map[string]float64)
	for _, pair := range strings.Split(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(pair), "=")
		n, err := strconv.ParseFloat(v, 64)
		if _, twice := figures[name]; twice || err != nil || !(n >= 0 && n <= maxReported) {
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
