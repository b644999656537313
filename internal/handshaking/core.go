// Package handshaking is what handshakes of both sides have in common: the connection under TLS, and the core that
// their arithmetic shares with requests. What they may take is decided in package handshakes.
package handshaking

import (
	"net"
	"os"
	"sync"
	"time"

	"cobaltward/handshakes"
)

// Core is the processor as handshakes have it. Its methods may be called at once from many goroutines; nil is one
// that is free for all.
type Core struct {
	turn chan struct{} // holds one for each piece of arithmetic that goes on; who waits gets it in order
	busy func() bool
	from time.Time

	mu   sync.Mutex
	pace *handshakes.Pace
}

// NewCore returns one of so many cores, of which handshakes take a share while busy says that requests are in flight.
func NewCore(share float64, cores int, busy func() bool) *Core {
	cores = max(1, cores)
	return &Core{turn: make(chan struct{}, cores), busy: busy, from: time.Now(), pace: handshakes.NewPace(share, cores)}
}

// enter waits for the core until a time, or until gone says that nobody wants the handshake any more.
func (c *Core) enter(by time.Time, done <-chan struct{}, gone func() bool) error {
	if c == nil {
		return nil
	}
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case c.turn <- struct{}{}:
	case <-late.C:
		return os.ErrDeadlineExceeded
	case <-done:
		return net.ErrClosed
	}
	for {
		if gone() {
			<-c.turn
			return net.ErrClosed
		}
		c.mu.Lock()
		wait, ok := c.pace.Begin(time.Since(c.from), c.busy())
		c.mu.Unlock()
		if ok {
			return nil
		}
		rest := time.NewTimer(wait)
		select {
		case <-rest.C:
			continue
		case <-late.C:
		case <-done:
		}
		rest.Stop()
		<-c.turn
		return os.ErrDeadlineExceeded
	}
}

// leave gives the core back.
func (c *Core) leave(began time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	c.pace.End(time.Since(c.from), time.Since(began))
	c.mu.Unlock()
	<-c.turn
}

// Took is how many pieces of arithmetic there were, and their time.
func (c *Core) Took() (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace.Took()
}
