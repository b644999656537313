// Package handshakes decides what handshakes may cost: how many go on at once, towards each server and in all; how
// much of a core their arithmetic may take from requests in flight; when a server that could not prove who it is is
// asked again; and which connections are made before they are needed. It does no I/O and reads no clock.
package handshakes

// Limits bound the handshakes that go on at once. What is 0 takes its default.
type Limits struct {
	MaxConcurrent    int // in all
	MaxPerServer int // towards one server
	MaxPerWarmingServer   int // towards one whose process is new: its budget is for requests
	MaxQueued   int // for their turn, in all; who comes beyond that is turned away
}

// Defaults of Limits.
const (
	DefaultMaxConcurrent    = 16
	DefaultMaxPerServer = 4
	DefaultMaxPerWarmingServer   = 1
	DefaultMaxQueued   = 256
)

func (l Limits) withDefaults() Limits {
	for _, d := range []struct {
		field *int
		value int
	}{{&l.MaxConcurrent, DefaultMaxConcurrent}, {&l.MaxPerServer, DefaultMaxPerServer}, {&l.MaxPerWarmingServer, DefaultMaxPerWarmingServer}, {&l.MaxQueued, DefaultMaxQueued}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return l
}

// Decision is what becomes of who asks for a handshake.
type Decision uint8

// The verdicts.
const (
	Proceed  Decision = iota // now
	Queue                  // until Left names the turn
	Reject                // too many wait already
)

// Reservation is one handshake that goes on or waits.
type Reservation struct {
	Server string
	WarmingUp   bool // the server's process is new
	Speculative  bool // nobody waits for it: it never waits itself, nor stands in the way of who does

	started, released bool
}

// Limiter lets handshakes through. It isn't safe for concurrent use.
type Limiter struct {
	limits  Limits
	perServer     map[string]int // by server
	total     int
	queue []*Reservation // in the order of their coming
}

// NewLimiter returns a gate with nothing going on.
func NewLimiter(l Limits) *Limiter { return &Limiter{limits: l.withDefaults(), perServer: make(map[string]int)} }

// Acquire is for a handshake. The turn has to be given back by Left, whatever the verdict but Refuse.
func (g *Limiter) Acquire(t *Reservation) Decision {
	if g.hasCapacity(t) && !(t.Speculative && len(g.queue) > 0) && !g.hasQueuedFor(t) {
		g.start(t)
		return Proceed
	}
	if t.Speculative || len(g.queue) >= g.limits.MaxQueued { // what nobody waits for can be asked for again
		return Reject
	}
	g.queue = append(g.queue, t)
	return Queue
}

// hasQueuedFor tells whether somebody who came before t waits for the same server.
func (g *Limiter) hasQueuedFor(t *Reservation) bool {
	for _, w := range g.queue {
		if w.Server == t.Server {
			return true
		}
	}
	return false
}

func (g *Limiter) hasCapacity(t *Reservation) bool {
	most := g.limits.MaxPerServer
	if t.WarmingUp {
		most = min(most, g.limits.MaxPerWarmingServer)
	}
	return g.total < g.limits.MaxConcurrent && g.perServer[t.Server] < most
}

func (g *Limiter) start(t *Reservation) {
	t.started = true
	g.total++
	g.perServer[t.Server]++
}

// Release ends a turn: its handshake is over, or nobody waits for it any more. It returns those whose turn it is now, in
// the order of their coming: a server at its bound holds up nobody else.
func (g *Limiter) Release(t *Reservation) (now []*Reservation) {
	if t.released {
		return nil
	}
	t.released = true
	if t.started {
		g.total--
		if g.perServer[t.Server]--; g.perServer[t.Server] == 0 {
			delete(g.perServer, t.Server)
		}
	}
	kept := g.queue[:0]
	for _, w := range g.queue {
		switch {
		case w.released:
		case g.hasCapacity(w):
			g.start(w)
			now = append(now, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
	return now
}

// Usage is how many handshakes go on, and how many wait.
func (g *Limiter) Usage() (out, waiting int) { return g.total, len(g.queue) }
