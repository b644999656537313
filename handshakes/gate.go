// Package handshakes decides what handshakes may cost: how many go on at once, towards each server and in all; how
// much of a core their arithmetic may take from requests in flight; when a server that could not prove who it is is
// asked again; and which connections are made before they are needed. It does no I/O and reads no clock.
package handshakes

// Limits bound the handshakes that go on at once. What is 0 takes its default.
type Limits struct {
	AtOnce    int // in all
	PerServer int // towards one server
	PerCold   int // towards one whose process is new: its budget is for requests
	Waiting   int // for their turn, in all; who comes beyond that is turned away
}

// Defaults of Limits.
const (
	DefaultAtOnce    = 16
	DefaultPerServer = 4
	DefaultPerCold   = 1
	DefaultWaiting   = 256
)

func (l Limits) filled() Limits {
	for _, d := range []struct {
		field *int
		value int
	}{{&l.AtOnce, DefaultAtOnce}, {&l.PerServer, DefaultPerServer}, {&l.PerCold, DefaultPerCold}, {&l.Waiting, DefaultWaiting}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	return l
}

// Verdict is what becomes of who asks for a handshake.
type Verdict uint8

// The verdicts.
const (
	Begin  Verdict = iota // now
	Wait                  // until Left names the turn
	Refuse                // too many wait already
)

// Turn is one handshake that goes on or waits.
type Turn struct {
	Server string
	Cold   bool // the server's process is new
	Spare  bool // nobody waits for it: it never waits itself, nor stands in the way of who does

	begun, over bool
}

// Gate lets handshakes through. It isn't safe for concurrent use.
type Gate struct {
	limits  Limits
	out     map[string]int // by server
	all     int
	waiting []*Turn // in the order of their coming
}

// NewGate returns a gate with nothing going on.
func NewGate(l Limits) *Gate { return &Gate{limits: l.filled(), out: make(map[string]int)} }

// Ask is for a handshake. The turn has to be given back by Left, whatever the verdict but Refuse.
func (g *Gate) Ask(t *Turn) Verdict {
	if g.may(t) && !(t.Spare && len(g.waiting) > 0) && !g.ahead(t) {
		g.begin(t)
		return Begin
	}
	if t.Spare || len(g.waiting) >= g.limits.Waiting { // what nobody waits for can be asked for again
		return Refuse
	}
	g.waiting = append(g.waiting, t)
	return Wait
}

// ahead tells whether somebody who came before t waits for the same server.
func (g *Gate) ahead(t *Turn) bool {
	for _, w := range g.waiting {
		if w.Server == t.Server {
			return true
		}
	}
	return false
}

func (g *Gate) may(t *Turn) bool {
	most := g.limits.PerServer
	if t.Cold {
		most = min(most, g.limits.PerCold)
	}
	return g.all < g.limits.AtOnce && g.out[t.Server] < most
}

func (g *Gate) begin(t *Turn) {
	t.begun = true
	g.all++
	g.out[t.Server]++
}

// Left ends a turn: its handshake is over, or nobody waits for it any more. It returns those whose turn it is now, in
// the order of their coming: a server at its bound holds up nobody else.
func (g *Gate) Left(t *Turn) (now []*Turn) {
	if t.over {
		return nil
	}
	t.over = true
	if t.begun {
		g.all--
		if g.out[t.Server]--; g.out[t.Server] == 0 {
			delete(g.out, t.Server)
		}
	}
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		switch {
		case w.over:
		case g.may(w):
			g.begin(w)
			now = append(now, w)
		default:
			kept = append(kept, w)
		}
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
	return now
}

// Going is how many handshakes go on, and how many wait.
func (g *Gate) Going() (out, waiting int) { return g.all, len(g.waiting) }
