// Package handshaking is what handshakes of both sides have in common: the connection under TLS, and the core that
// their arithmetic shares with requests. What they may take is decided in package 
package handshakes

import (
	"net"
	"os"
	"sync"
	"time"

)

// CPUScheduler is the processor as handshakes have it. Its methods may be called at once from many goroutines; nil is one
// that is free for all. Who waits is bounded by the connections that there are.
type CPUScheduler struct {
	hasRequests func() bool
	startedAt time.Time

	mu    sync.Mutex
	budget  *CPUBudget
	granted map[*Task]chan struct{} // of those that wait
	pauseTimer *time.Timer                         // for the end of a rest
}

// NewCPUScheduler returns one of so many cores, of which handshakes take a share while busy says that requests are in flight.
func NewCPUScheduler(share float64, cores int, busy func() bool) *CPUScheduler {
	return &CPUScheduler{hasRequests: busy, startedAt: time.Now(), budget: NewCPUBudget(share, cores), granted: make(map[*Task]chan struct{})}
}

// acquire waits for the core until a time, or until done says that nobody wants the piece any more.
func (c *CPUScheduler) acquire(x *Task, by time.Time, done <-chan struct{}) error {
	if c == nil {
		return nil
	}
	turn := make(chan struct{})
	c.mu.Lock()
	c.granted[x] = turn
	c.budget.Enqueue(x)
	c.startReady()
	c.mu.Unlock()
	select {
	case <-turn:
		return nil
	default:
	}
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	err := net.ErrClosed
	select {
	case <-turn:
		return nil
	case <-late.C:
		err = os.ErrDeadlineExceeded
	case <-done:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.granted, x)
	if c.budget.Cancel(x) { // its turn came just now
		c.budget.Finish(time.Since(c.startedAt), x, 0)
		c.startReady()
	}
	return err
}

// release gives the core back.
func (c *CPUScheduler) release(x *Task, began time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Finish(time.Since(c.startedAt), x, time.Since(began))
	c.startReady()
}

// startReady lets those in whose turn it is. It needs the mutex.
func (c *CPUScheduler) startReady() {
	begin, wait := c.budget.Next(time.Since(c.startedAt), c.hasRequests())
	for _, x := range begin {
		if turn := c.granted[x]; turn != nil {
			close(turn)
			delete(c.granted, x)
		}
	}
	switch {
	case wait <= 0:
	case c.pauseTimer == nil:
		c.pauseTimer = time.AfterFunc(wait, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.startReady()
		})
	default:
		c.pauseTimer.Reset(wait)
	}
}

// Totals is how many pieces of arithmetic there were, and their time.
func (c *CPUScheduler) Totals() (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Totals()
}
