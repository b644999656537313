// Package pacing slows down connections whose clients send, at full speed, requests that the node answers without a
// server, such as readiness checks, malformed requests and rejected ones. Nothing else slows down such clients, and the
// work for them would delay all other requests. The package does no I/O and has no goroutine.
package pacing

import (
	"sync"
	"time"
)

const (
	// connRate is the number of local answers per second above which a connection is paced.
	connRate = 100
	// connBurst is the number of local answers that a connection gets without a delay.
	connBurst = 20
	// totalRate is the maximum number of local answers per second on all paced connections together. It bounds the share
	// of the CPU that they use, however many they are.
	totalRate = 2000
	// MaxDelay limits the delay of one request.
	MaxDelay = 250 * time.Millisecond
	// catchUpBurst is how long a connection that catches up is served without a delay.
	catchUpBurst = 200 * time.Microsecond
	// catchUpInterval is the time from one burst to the next of all connections that catch up. They are served for a
	// quarter of the time, however many they are.
	catchUpInterval = 4 * catchUpBurst
)

// Limiter is the rate limit that the paced connections of a node share. It is safe for concurrent use. The zero value
// is ready to use.
type Limiter struct {
	mu      sync.Mutex
	next    time.Time // time from which the next local answer on a paced connection is allowed
	burst   time.Time // time from which the next burst of a connection that catches up is allowed
	delayed uint64
}

// reserve returns the time until the next local answer on a paced connection is allowed, and reserves that answer.
func (l *Limiter) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayed++
	return reserveSlot(&l.next, now, time.Second/totalRate)
}

// reserveBurst returns the time until the next burst of a connection that catches up is allowed, and reserves it.
func (l *Limiter) reserveBurst(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return reserveSlot(&l.burst, now, catchUpInterval)
}

// reserveSlot returns the time from now to *next, the next free slot, and moves *next on by interval. It reserves no
// slot that is MaxDelay away or more.
func reserveSlot(next *time.Time, now time.Time, interval time.Duration) time.Duration {
	if next.Before(now) {
		*next = now
	}
	delay := next.Sub(now)
	if delay >= MaxDelay {
		return MaxDelay
	}
	*next = next.Add(interval)
	return delay
}

// Delayed returns the number of delays so far.
func (l *Limiter) Delayed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delayed
}

// Conn is the token bucket of one connection. It is safe for concurrent use.
type Conn struct {
	limiter *Limiter

	mu         sync.Mutex
	spent      float64 // local answers beyond those that connRate has allowed since the start of the connection
	refilledAt time.Time
	burstEnd   time.Time // end of the present burst while the connection catches up
}

// NewConn returns the token bucket of a connection that shares the limit of limiter.
func (l *Limiter) NewConn() *Conn { return &Conn{limiter: l} }

// CountLocalAnswer counts a request that is answered without a server.
func (c *Conn) CountLocalAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spent++
}

// Delay returns how long to wait at now before the next request of the connection is read, at most limit. The time of
// the delay itself allows no further answers, so that a connection stays paced while its client sends at full speed.
func (c *Conn) Delay(now time.Time, limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refill(now)
	if c.spent <= connBurst {
		return 0
	}
	own := time.Duration((c.spent - connBurst) / connRate * float64(time.Second))
	delay := min(limit, MaxDelay, max(own, c.limiter.reserve(now)))
	c.spent, c.refilledAt = connBurst, now.Add(delay)
	return delay
}

// CatchUpDelay is Delay for a connection with requests that have waited for too long to be paced. Such connections are
// served in turns, which leave the rest of the CPU to others.
func (c *Conn) CatchUpDelay(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refill(now)
	if c.spent <= connBurst || now.Before(c.burstEnd) {
		return 0
	}
	delay := c.limiter.reserveBurst(now)
	c.burstEnd = now.Add(delay + catchUpBurst)
	return delay
}

// refill subtracts what connRate has allowed until now from the local answers. c.mu is held.
func (c *Conn) refill(now time.Time) {
	passed := now.Sub(c.refilledAt)
	if passed <= 0 {
		return
	}
	if !c.refilledAt.IsZero() {
		c.spent = max(0, c.spent-passed.Seconds()*connRate)
	}
	c.refilledAt = now
}
