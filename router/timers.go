package router

import (
	"hash/maphash"
	"time"

	"cobaltward/policy"
)

const (
	// timeOrigin is what the clock shows at the start. Servers that started before the router did have
	// a time above 0 all the same: 0 means long ago, and would count a cold server as warm.
	timeOrigin          = 24 * time.Hour
	idRetention         = 10 * time.Second
	maxIDsPerGeneration = 1 << 15
)

// clock turns the machine's clocks into policy.Time. The wall clock is read once, at the start. A stepped
// engine's shows what it is set to.
type clock struct {
	start   time.Time
	virtual *policy.Time
}

func (c clock) now() policy.Time {
	if c.virtual != nil {
		return *c.virtual
	}
	return timeOrigin + time.Since(c.start)
}

func (c clock) wallTime(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// policyTime converts a moment that the same monotonic clock has told; it lies where the start does at the
// earliest.
func (c clock) policyTime(t time.Time) policy.Time { return timeOrigin + max(0, t.Sub(c.start)) }

// serverStart converts a server's start. Zero stays 0, and so does what lies before the origin, which is just
// as long ago.
func (c clock) serverStart(t time.Time) policy.Time {
	if t.IsZero() {
		return 0
	}
	most := timeOrigin.Milliseconds() // nor may a start far ahead overflow
	ago := min(max(c.start.UnixMilli()-t.UnixMilli(), -most), most)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}

// timer is one of the module's, a request's backstop, or the end of an attempt's time.
type timer struct {
	due       policy.Time
	token     uint64
	backstop  *request
	attempt   *attempt
	levelStep bool // of the levels of service
	index     int  // its place among the timers; -1 once it is out
}

type timerHeap []*timer

func (t timerHeap) Len() int           { return len(t) }
func (t timerHeap) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timerHeap) Push(x any) {
	x.(*timer).index = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.index, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return x
}

// idHistory remembers for a while, between idsFor and twice that, which idHistory requests came under: two
// halves, of which the older is dropped whole, so that it neither grows nor needs to be searched.
// At very many a second the while is shorter. Hashes stand for the idHistory, to keep it small.
type idHistory struct {
	seed              maphash.Seed
	rotatedAt         policy.Time
	current, previous map[uint64]struct{}
}

// add takes an id in, or reports false where it is there already.
func (s *idHistory) add(id string, now policy.Time) bool {
	if s.current == nil || now-s.rotatedAt >= idRetention || len(s.current) >= maxIDsPerGeneration {
		s.previous, s.current, s.rotatedAt = s.current, make(map[uint64]struct{}), now
	}
	h := maphash.String(s.seed, id)
	_, fresh := s.current[h]
	_, old := s.previous[h]
	s.current[h] = struct{}{}
	return !fresh && !old
}
