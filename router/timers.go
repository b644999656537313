package router

import (
	"hash/maphash"
	"time"

	"cobaltward/policy"
)

const (
	// timeOrigin is what the clock shows at the start. Servers that started before the router did have
	// a time above 0 all the same: 0 means long ago, and would count a cold server as warm.
	timeOrigin = 24 * time.Hour
	idsFor     = 10 * time.Second
	maxIDs     = 1 << 15
)

// clock turns the machine's clocks into policy.Time. The wall clock is read once, at the start. A stepped
// engine's shows what it is set to.
type clock struct {
	start time.Time
	set   *policy.Time
}

func (c clock) now() policy.Time {
	if c.set != nil {
		return *c.set
	}
	return timeOrigin + time.Since(c.start)
}

func (c clock) at(t policy.Time) time.Time { return c.start.Add(t - timeOrigin) }

// since converts a moment that the same monotonic clock has told; it lies where the start does at the
// earliest.
func (c clock) since(t time.Time) policy.Time { return timeOrigin + max(0, t.Sub(c.start)) }

// unix converts a server's start. Zero stays 0, and so does what lies before the origin, which is just
// as long ago.
func (c clock) unix(t time.Time) policy.Time {
	if t.IsZero() {
		return 0
	}
	most := timeOrigin.Milliseconds() // nor may a start far ahead overflow
	ago := min(max(c.start.UnixMilli()-t.UnixMilli(), -most), most)
	return timeOrigin - time.Duration(ago)*time.Millisecond
}

// timer is one of the module's, a request's backstop, or the end of an attempt's time.
type timer struct {
	due      policy.Time
	token    uint64
	backstop *request
	attempt  *attempt
	second   bool // of the levels of service
	at       int  // its place among the timers; -1 once it is out
}

type timers []*timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].at, t[j].at = i, j
}

func (t *timers) Push(x any) {
	x.(*timer).at = len(*t)
	*t = append(*t, x.(*timer))
}

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	x.at, (*t)[last] = -1, nil
	*t = (*t)[:last]
	return x
}

// ids remembers for a while, between idsFor and twice that, which ids requests came under: two
// halves, of which the older is dropped whole, so that it neither grows nor needs to be searched.
// At very many a second the while is shorter. Hashes stand for the ids, to keep it small.
type ids struct {
	seed       maphash.Seed
	began      policy.Time
	now, older map[uint64]struct{}
}

// add takes an id in, or reports false where it is there already.
func (s *ids) add(id string, now policy.Time) bool {
	if s.now == nil || now-s.began >= idsFor || len(s.now) >= maxIDs {
		s.older, s.now, s.began = s.now, make(map[uint64]struct{}), now
	}
	h := maphash.String(s.seed, id)
	_, fresh := s.now[h]
	_, old := s.older[h]
	s.now[h] = struct{}{}
	return !fresh && !old
}
