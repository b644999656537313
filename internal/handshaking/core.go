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
// that is free for all. Who waits is bounded by the connections that there are.
type Core struct {
	busy func() bool
	from time.Time

	mu    sync.Mutex
	pace  *handshakes.Pace
	turns map[*handshakes.Piece]chan struct{} // of those that wait
	alarm *time.Timer                         // for the end of a rest
}

// NewCore returns one of so many cores, of which handshakes take a share while busy says that requests are in flight.
func NewCore(share float64, cores int, busy func() bool) *Core {
	return &Core{busy: busy, from: time.Now(), pace: handshakes.NewPace(share, cores), turns: make(map[*handshakes.Piece]chan struct{})}
}

// enter waits for the core until a time, or until done says that nobody wants the piece any more.
func (c *Core) enter(x *handshakes.Piece, by time.Time, done <-chan struct{}) error {
	if c == nil {
		return nil
	}
	turn := make(chan struct{})
	c.mu.Lock()
	c.turns[x] = turn
	c.pace.Ask(x)
	c.next()
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
	delete(c.turns, x)
	if c.pace.Leave(x) { // its turn came just now
		c.pace.End(time.Since(c.from), x, 0)
		c.next()
	}
	return err
}

// leave gives the core back.
func (c *Core) leave(x *handshakes.Piece, began time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pace.End(time.Since(c.from), x, time.Since(began))
	c.next()
}

// next lets those in whose turn it is. It needs the mutex.
func (c *Core) next() {
	begin, wait := c.pace.Next(time.Since(c.from), c.busy())
	for _, x := range begin {
		if turn := c.turns[x]; turn != nil {
			close(turn)
			delete(c.turns, x)
		}
	}
	switch {
	case wait <= 0:
	case c.alarm == nil:
		c.alarm = time.AfterFunc(wait, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.next()
		})
	default:
		c.alarm.Reset(wait)
	}
}

// Took is how many pieces of arithmetic there were, and their time.
func (c *Core) Took() (uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pace.Took()
}
