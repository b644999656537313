// Package handshakes limits the resources that TLS handshakes with clients and servers may take from a node.
//
// State machines without I/O, clocks or goroutines make the decisions. They are not safe for concurrent use.
//
//   - Limiter decides how many handshakes with servers run at once.
//   - CPUBudget decides which share of the CPU handshake computations may take from requests in flight.
//   - UntrustedBackoff decides when an untrusted server is checked again.
//   - PreconnectTargets decides to which servers connections are opened ahead of requests.
//
// CPUScheduler and Conn apply a CPUBudget to connections. These two types use clocks, and goroutines may share them
// as documented there.
package handshakes

// Limits limits the handshakes with servers that run at once. A field of 0 or less takes its default.
type Limits struct {
	MaxConcurrent       int // maximum number of running handshakes
	MaxPerServer        int // maximum number of running handshakes with one server
	MaxPerWarmingServer int // MaxPerServer for a server that is warming up; leaves capacity of the server to requests
	MaxQueued           int // maximum number of queued handshakes; further handshakes are rejected
}

// Defaults of Limits.
const (
	DefaultMaxConcurrent       = 16
	DefaultMaxPerServer        = 4
	DefaultMaxPerWarmingServer = 1
	DefaultMaxQueued           = 256
)

func (l Limits) withDefaults() Limits {
	setDefault := func(limit *int, value int) {
		if *limit <= 0 {
			*limit = value
		}
	}
	setDefault(&l.MaxConcurrent, DefaultMaxConcurrent)
	setDefault(&l.MaxPerServer, DefaultMaxPerServer)
	setDefault(&l.MaxPerWarmingServer, DefaultMaxPerWarmingServer)
	setDefault(&l.MaxQueued, DefaultMaxQueued)
	return l
}

// Decision is the result of Limiter.Acquire.
type Decision uint8

// The decisions.
const (
	Proceed Decision = iota // the handshake may start now
	Queue                   // the handshake waits until a call of Release returns its reservation
	Reject                  // the handshake may not start: the queue is full, or the handshake is speculative
)

// Reservation is a handshake that runs or is queued.
type Reservation struct {
	Server      string
	WarmingUp   bool // whether the server is warming up
	Speculative bool // true if no request waits for the handshake; never queued, never overtakes queued handshakes

	started, released bool
}

// Limiter admits handshakes with servers within Limits. It is not safe for concurrent use.
type Limiter struct {
	limits    Limits
	perServer map[string]int // running handshakes by server
	total     int            // running handshakes
	queue     []*Reservation // queued reservations, in order of arrival
}

// NewLimiter returns a limiter without reservations.
func NewLimiter(limits Limits) *Limiter {
	return &Limiter{limits: limits.withDefaults(), perServer: make(map[string]int)}
}

// Acquire requests a slot for a handshake. Unless the decision is Reject, the caller must pass r to Release.
func (l *Limiter) Acquire(r *Reservation) Decision {
	blocked := r.Speculative && len(l.queue) > 0 || l.hasQueuedFor(r.Server)
	if !blocked && l.hasCapacity(r) {
		l.start(r)
		return Proceed
	}
	if r.Speculative || len(l.queue) >= l.limits.MaxQueued {
		return Reject
	}
	l.queue = append(l.queue, r)
	return Queue
}

func (l *Limiter) hasQueuedFor(server string) bool {
	for _, queued := range l.queue {
		if queued.Server == server {
			return true
		}
	}
	return false
}

func (l *Limiter) hasCapacity(r *Reservation) bool {
	limit := l.limits.MaxPerServer
	if r.WarmingUp {
		limit = min(limit, l.limits.MaxPerWarmingServer)
	}
	return l.total < l.limits.MaxConcurrent && l.perServer[r.Server] < limit
}

func (l *Limiter) start(r *Reservation) {
	r.started = true
	l.total++
	l.perServer[r.Server]++
}

// Release ends r. It must be called when the handshake has ended or is no longer wanted. It returns the queued
// reservations whose handshakes may start now, in order of arrival. A server at its limit does not block reservations
// for other servers. Further calls for r have no effect.
func (l *Limiter) Release(r *Reservation) (admitted []*Reservation) {
	if r.released {
		return nil
	}
	r.released = true
	if r.started {
		l.total--
		l.perServer[r.Server]--
		if l.perServer[r.Server] == 0 {
			delete(l.perServer, r.Server)
		}
	}
	remaining := l.queue[:0]
	for _, queued := range l.queue {
		switch {
		case queued.released:
		case l.hasCapacity(queued):
			l.start(queued)
			admitted = append(admitted, queued)
		default:
			remaining = append(remaining, queued)
		}
	}
	clear(l.queue[len(remaining):])
	l.queue = remaining
	return admitted
}

// Usage returns the numbers of running and queued handshakes.
func (l *Limiter) Usage() (running, queued int) { return l.total, len(l.queue) }
