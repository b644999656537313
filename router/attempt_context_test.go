package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// TestAttemptContext_BehavesAsContext checks that the context of an attempt notifies each waiting function and
// goroutine of its end exactly once, like any other context.
func TestAttemptContext_BehavesAsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := &attemptContext{deadline: time.Now().Add(time.Second)}
		if end, ok := ctx.Deadline(); !ok || !end.Equal(ctx.deadline) || ctx.Err() != nil || ctx.Value(1) != nil {
			t.Errorf("got deadline %v, %v and error %v, want the deadline that was set and no error", end, ok, ctx.Err())
		}
		ran := make(chan string, 10)
		stopFirst := context.AfterFunc(ctx, func() { ran <- "first" })
		stopSecond := context.AfterFunc(ctx, func() { ran <- "second" })
		stopThird := context.AfterFunc(ctx, func() { ran <- "stopped" })
		child, cancel := context.WithCancel(ctx)
		defer cancel()
		if !stopThird() || stopThird() {
			t.Error("a function could not be stopped, or was stopped twice")
		}
		done := ctx.Done()
		ctx.cancel(context.DeadlineExceeded)
		ctx.cancel(context.Canceled)
		<-done
		<-ctx.Done()
		<-child.Done()
		synctest.Wait()
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) || !errors.Is(child.Err(), context.DeadlineExceeded) {
			t.Errorf("context error %v, error of the derived context %v; want deadline exceeded", ctx.Err(), child.Err())
		}
		if len(ran) != 2 || stopFirst() || stopSecond() {
			t.Errorf("%d functions ran, want 2 that can no longer be stopped", len(ran))
		}
		context.AfterFunc(ctx, func() { ran <- "late" })
		synctest.Wait()
		if len(ran) != 3 {
			t.Error("a function registered after the end did not run")
		}
	})
}

// TestAttemptContext_DoneAfterCancel checks that Done returns a closed channel if the context ended before the first
// call of Done.
func TestAttemptContext_DoneAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := new(attemptContext)
		ctx.cancel(context.Canceled)
		select {
		case <-ctx.Done():
		default:
			t.Error("Done is not closed")
		}
	})
}

// TestAttemptContext_AfterFuncReplacesStopped checks that a function can be registered after the previous function
// was stopped. A dial registers a function, and its connection later registers another function.
func TestAttemptContext_AfterFuncReplacesStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := new(attemptContext)
		ran := make(chan string, 10)
		for range 3 {
			if stop := context.AfterFunc(ctx, func() { ran <- "stopped" }); !stop() {
				t.Fatal("a registered function could not be stopped")
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

// TestAttemptContext_SecondStopKeepsOther checks that a second stop of one registration keeps a function that was
// registered after the first stop. The timer of a derived context and its cancel function may both stop the same
// registration.
func TestAttemptContext_SecondStopKeepsOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := new(attemptContext)
		stopFirst := ctx.AfterFunc(func() { t.Error("the first function ran although it was stopped") })
		if !stopFirst() {
			t.Fatal("the first function could not be stopped")
		}
		ran := make(chan struct{})
		stopSecond := ctx.AfterFunc(func() { close(ran) })
		if stopFirst() {
			t.Error("the first function was stopped twice")
		}
		ctx.cancel(context.Canceled)
		<-ran
		if stopSecond() {
			t.Error("the second function was stopped after it had run")
		}
	})
}
