package handshakes

import "time"

// DefaultShare is the part of a core that the arithmetic of handshakes takes at most while requests are in flight.
const DefaultShare = 0.25

// mostRest bounds the rest behind one piece of arithmetic: a clock that jumped, or a host that kept the process from
// running, must not stop handshakes.
const mostRest = 50 * time.Millisecond

// Pace shares a core between the arithmetic of handshakes and all else: so many pieces at a
// time as there are cores, and behind each a rest as long as the share wants while requests are in flight. It isn't safe for concurrent use.
type Pace struct {
	share float64
	cores int
	busy  int
	rest  time.Duration // until then nothing begins while requests are in flight
	count uint64
	took  time.Duration
}

// NewPace returns one for a share of so many cores; 0 is the default share.
func NewPace(share float64, cores int) *Pace {
	if !(share > 0 && share <= 1) {
		share = DefaultShare
	}
	return &Pace{share: share, cores: max(1, cores)}
}

// Begin asks for the core; inFlight says that requests would wait for it. wait is for how long to ask no more; while
// another piece goes on it is negative: End says when.
func (p *Pace) Begin(now time.Duration, inFlight bool) (wait time.Duration, ok bool) {
	switch {
	case p.busy >= p.cores:
		return -1, false
	case inFlight && now < p.rest:
		return p.rest - now, false
	}
	p.busy++
	return 0, true
}

// End gives the core back, after a piece that took so long.
func (p *Pace) End(now, took time.Duration) {
	p.busy--
	took = max(0, took)
	p.count++
	p.took += took
	p.rest = now + min(mostRest, time.Duration(float64(took)*(1/p.share-1)/float64(p.cores)))
}

// Took is how many pieces there were, and the time of them all.
func (p *Pace) Took() (pieces uint64, all time.Duration) { return p.count, p.took }
