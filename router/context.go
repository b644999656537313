package router

import (
	"context"
	"sync"
	"time"
)

// attemptContext is the context of one attempt. The loop ends it when its time is up, by the one heap
// of timers that it has: a context of the runtime's would bring a timer, two allocations and a lock
// of a parent's for each attempt.
type attemptContext struct {
	deadline time.Time
	sendBy   time.Time

	mu           sync.Mutex
	err          error
	abandoned    bool          // nothing may be written for it any more
	done         chan struct{} // made when somebody asks
	afterFunc    func()        // what AfterFunc registered
	registration uint64        // registrations of it
}

// closedChan is what Done returns for a context that had ended before anybody asked.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (c *attemptContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, true
}

// setDeadline moves the deadline: the body of the request has come.
func (c *attemptContext) setDeadline(deadline time.Time) {
	c.mu.Lock()
	c.deadline = deadline
	c.mu.Unlock()
}

// abandon has nothing written that is not written yet: the request has its answer, or its client has left. What was
// written goes on.
func (c *attemptContext) abandon() {
	c.mu.Lock()
	c.abandoned = true
	c.mu.Unlock()
}

// Abandoned tells whether nothing may be written for the attempt any more. Transports ask right before they write.
func (c *attemptContext) Abandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// SendBy is the moment from which on nothing may be written for the attempt, since its key may be forgotten
// by the servers that drop its repeats; zero where there is none. Transports ask right before they write.
func (c *attemptContext) SendBy() time.Time { return c.sendBy }

func (c *attemptContext) Value(any) any { return nil }

func (c *attemptContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *attemptContext) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done == nil {
		if c.err != nil {
			return closedChan
		}
		c.done = make(chan struct{})
	}
	return c.done
}

// AfterFunc is what context.AfterFunc uses where a context has it. One function is held; a second
// waits in a goroutine of its own until the context ends, which the loop sees to.
func (c *attemptContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	switch {
	case c.err != nil:
		c.mu.Unlock()
		go f()
		return func() bool { return false }
	case c.afterFunc != nil:
		c.mu.Unlock()
		inner, cancel := context.WithCancel(doneOnlyContext{c})
		stop := context.AfterFunc(inner, f)
		return func() bool {
			stopped := stop()
			cancel()
			return stopped
		}
	}
	c.afterFunc = f
	c.registration++
	mine := c.registration
	c.mu.Unlock()
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		// A context derived from this one may stop its function again, long after: that must not take out another's.
		if c.afterFunc == nil || c.registration != mine {
			return false
		}
		c.afterFunc = nil
		return true
	}
}

// doneOnlyContext hides AfterFunc, so that the standard library watches Done.
type doneOnlyContext struct{ context.Context }

// cancel ends the context; the first reason holds. What AfterFunc registered runs in a goroutine of its
// own, since the loop waits for nobody.
func (c *attemptContext) cancel(why error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = why
	f := c.afterFunc
	c.afterFunc = nil
	if c.done != nil {
		close(c.done)
	}
	c.mu.Unlock()
	if f != nil {
		go f()
	}
}
