package router

import (
	"context"
	"sync"
	"time"
)

// attemptContext is the context of one attempt. A timer in the heap of the loop ends the context. A context of the
// standard library would cost each attempt a timer, two allocations and the lock of a parent context.
type attemptContext struct {
	deadline time.Time
	sendBy   time.Time

	mu           sync.Mutex // guards the fields below, and deadline once the attempt is launched
	err          error
	abandoned    bool          // if true, no more bytes may be written
	writing      bool          // whether a write is in progress, between BeginWrite and EndWrite
	afterWrite   func()        // function that EndWrite calls; nil: none
	done         chan struct{} // created by the first call of Done
	afterFunc    func()        // function registered by AfterFunc; nil: none
	registration uint64        // number of functions registered so far
}

var (
	_ context.Context     = (*attemptContext)(nil)
	_ AfterFuncContext    = (*attemptContext)(nil)
	_ SendDeadlineContext = (*attemptContext)(nil)
	_ AbandonableContext  = (*attemptContext)(nil)
	_ WriteGuardContext   = (*attemptContext)(nil)
)

// closedChan is the result of Done for a context that ended before the first call of Done.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Deadline implements context.Context.
func (c *attemptContext) Deadline() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, true
}

// setDeadline replaces the deadline. The loop calls it when the body of the request has arrived.
func (c *attemptContext) setDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
}

// abandon forbids further writes. The loop calls it when the request is answered or its client has disconnected.
// Bytes that were written before are not affected.
func (c *attemptContext) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = true
}

// Abandoned implements AbandonableContext. Transports call it just before they write.
func (c *attemptContext) Abandoned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned
}

// BeginWrite implements WriteGuardContext.
func (c *attemptContext) BeginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned {
		return false
	}
	c.writing = true
	return true
}

// EndWrite implements WriteGuardContext.
func (c *attemptContext) EndWrite() {
	c.mu.Lock()
	run := c.afterWrite
	c.writing, c.afterWrite = false, nil
	c.mu.Unlock()
	if run != nil {
		run()
	}
}

// runAfterWrite makes EndWrite call run if a write is in progress. It returns false if no write is in progress.
func (c *attemptContext) runAfterWrite(run func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.afterWrite = run
	}
	return c.writing
}

// SendBy implements SendDeadlineContext. Transports call it just before they write.
func (c *attemptContext) SendBy() time.Time { return c.sendBy }

// Value implements context.Context. It returns nil, because the context has no values.
func (c *attemptContext) Value(any) any { return nil }

// Err implements context.Context.
func (c *attemptContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Done implements context.Context.
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

// AfterFunc implements AfterFuncContext. context.AfterFunc calls this method too. One function at a time is
// registered without a goroutine. Each further function needs a goroutine that waits until the context ends. No such
// goroutine is left behind, because the loop ends every context.
func (c *attemptContext) AfterFunc(run func()) (stop func() bool) {
	if registration, ok := c.register(run); ok {
		return func() bool { return c.unregister(registration) }
	}
	return c.watchDone(run)
}

// register registers run, which is called when the context ends. It returns false if the context has ended or already
// has a function.
func (c *attemptContext) register(run func()) (registration uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || c.afterFunc != nil {
		return 0, false
	}
	c.afterFunc = run
	c.registration++
	return c.registration, true
}

// unregister removes the function with the number registration. It returns false if that function has run or was
// removed before. A derived context may stop its function a second time much later. The number protects a function
// that was registered between the two stops.
func (c *attemptContext) unregister(registration uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.afterFunc == nil || c.registration != registration {
		return false
	}
	c.afterFunc = nil
	return true
}

// watchDone calls run when Done is closed, or at once if Done is closed already.
func (c *attemptContext) watchDone(run func()) (stop func() bool) {
	inner, cancel := context.WithCancel(doneOnlyContext{c})
	stopInner := context.AfterFunc(inner, run)
	return func() bool {
		stopped := stopInner()
		cancel()
		return stopped
	}
}

// doneOnlyContext hides AfterFunc. The standard library then waits for Done instead.
type doneOnlyContext struct{ context.Context }

// cancel ends the context with the error cause. Only the first call has an effect. The function that AfterFunc
// registered runs in its own goroutine, because the loop must not wait for the function.
func (c *attemptContext) cancel(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = cause
	if c.done != nil {
		close(c.done)
	}
	if c.afterFunc != nil {
		go c.afterFunc()
		c.afterFunc = nil
	}
}
