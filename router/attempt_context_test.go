package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// An attempt's context is one like any other: what waits for its end in any way is notified once.
func TestAttemptContext_BehavesAsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := &attemptContext{deadline: time.Now().Add(time.Second)}
		if end, ok := ctx.Deadline(); !ok || !end.Equal(ctx.deadline) || ctx.Err() != nil || ctx.Value(1) != nil {
			t.Errorf("deadline %v %v, error %v", end, ok, ctx.Err())
		}
		ran := make(chan string, 10)
		stopFirst := context.AfterFunc(ctx, func() { ran <- "first" })
		stopSecond := context.AfterFunc(ctx, func() { ran <- "second" })
		stopThird := context.AfterFunc(ctx, func() { ran <- "stopped" })
		child, cancel := context.WithCancel(ctx)
		defer cancel()
		if !stopThird() || stopThird() {
			t.Error("a function could not be stopped, or twice")
		}
		done := ctx.Done()
		ctx.cancel(context.DeadlineExceeded)
		ctx.cancel(context.Canceled)
		<-done
		<-ctx.Done()
		<-child.Done()
		synctest.Wait()
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !errors.Is(child.Err(), context.DeadlineExceeded) {
			t.Errorf("errors %v and, of a child, %v", ctx.Err(), child.Err())
		}
		if len(ran) != 2 || stopFirst() || stopSecond() {
			t.Errorf("%d functions ran", len(ran))
		}
		context.AfterFunc(ctx, func() { ran <- "late" })
		synctest.Wait()
		if len(ran) != 3 {
			t.Error("a function registered after the end did not run")
		}
	})
}

// Done is closed also where the context ended before the first call.
func TestAttemptContext_DoneAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := new(attemptContext)
		ctx.cancel(context.Canceled)
		select {
		case <-ctx.Done():
		default:
			t.Error("not done")
		}
	})
}

// Once a function is stopped the next can be registered, as for a dial and then for its connection.
func TestAttemptContext_AfterFuncReplacesStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := new(attemptContext)
		ran := make(chan string, 10)
		for range 3 {
			if stop := context.AfterFunc(ctx, func() { ran <- "stopped" }); !stop() {
				t.Fatal("could not be stopped")
			}
		}
		context.AfterFunc(ctx, func() { ran <- "kept" })
		ctx.cancel(context.Canceled)
		synctest.Wait()
		if len(ran) != 1 || <-ran != "kept" {
			t.Error("the function that was not stopped did not run alone")
		}
	})
}

// A derived context's timer and its cancel may both stop its registration, the second of them when another
// function is registered: that one stays.
func TestAttemptContext_SecondStopKeepsOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := new(attemptContext)
		stopFirst := ctx.AfterFunc(func() { t.Error("the first ran, though it was stopped") })
		if !stopFirst() {
			t.Fatal("not stopped")
		}
		ran := make(chan struct{})
		stopSecond := ctx.AfterFunc(func() { close(ran) })
		if stopFirst() {
			t.Error("stopped twice")
		}
		ctx.cancel(context.Canceled)
		<-ran
		if stopSecond() {
			t.Error("stopped after it ran")
		}
	})
}
