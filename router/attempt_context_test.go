package router

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// The context of an attempt is one like any other: what waits on it in any way is told once.
func TestAttemptContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &attemptContext{deadline: time.Now().Add(time.Second)}
		var _ context.Context = c
		if end, ok := c.Deadline(); !ok || !end.Equal(c.deadline) || c.Err() != nil || c.Value(1) != nil {
			t.Errorf("deadline %v %v, error %v", end, ok, c.Err())
		}
		ran := make(chan string, 10)
		stopFirst := context.AfterFunc(c, func() { ran <- "first" })
		stopSecond := context.AfterFunc(c, func() { ran <- "second" })
		stopped := context.AfterFunc(c, func() { ran <- "stopped" })
		child, cancel := context.WithCancel(c)
		defer cancel()
		if !stopped() || stopped() {
			t.Error("what was stopped can be stopped again, or could not be")
		}
		done := c.Done()
		c.cancel(context.DeadlineExceeded)
		c.cancel(context.Canceled)
		<-done
		<-c.Done()
		<-child.Done()
		synctest.Wait()
		if !errors.Is(c.Err(), context.DeadlineExceeded) || !errors.Is(child.Err(), context.DeadlineExceeded) {
			t.Errorf("errors %v and, of a child, %v", c.Err(), child.Err())
		}
		if len(ran) != 2 || stopFirst() || stopSecond() {
			t.Errorf("%d functions ran", len(ran))
		}
		context.AfterFunc(c, func() { ran <- "late" })
		synctest.Wait()
		if len(ran) != 3 {
			t.Error("what is registered after the end did not run")
		}
		fresh := &attemptContext{}
		fresh.cancel(context.Canceled)
		<-fresh.Done()
	})
}

// A stopped function makes room for the next, as a dial does for its connection.
func TestAttemptContextMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &attemptContext{}
		ran := make(chan string, 10)
		for range 3 {
			if stop := context.AfterFunc(c, func() { ran <- "stopped" }); !stop() {
				t.Fatal("could not be stopped")
			}
		}
		context.AfterFunc(c, func() { ran <- "kept" })
		c.cancel(context.Canceled)
		synctest.Wait()
		if len(ran) != 1 || <-ran != "kept" {
			t.Error("what was kept did not run alone")
		}
	})
}

// A derived context's timer and its cancel may both stop what it registered, the second of them when somebody else has
// registered by then: that one's function stays.
func TestStopTwice(t *testing.T) {
	c := new(attemptContext)
	first := c.AfterFunc(func() { t.Error("the first was stopped") })
	if !first() {
		t.Fatal("not stopped")
	}
	ran := make(chan struct{})
	second := c.AfterFunc(func() { close(ran) })
	if first() {
		t.Error("stopped twice")
	}
	c.cancel(context.Canceled)
	<-ran
	if second() {
		t.Error("stopped after it ran")
	}
}
