package router

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"cobaltward/policy"
)

// Metrics are what a router tells without waiting for anybody: they are counted where each fact arises, and read
// however busy the router is. A request whose caller has left before its answer is counted nowhere.
type Metrics struct {
	Classes  []ClassMetrics // of every class that the settings have or had, by name
	Inflight int            // requests taken and not ended
	Listed   int            // servers in the list
	Down     int            // of them, those that the module avoids
	Written  uint64         // attempts written whole to servers, where the transport tells
}

// ClassMetrics are the final answers of one class.
type ClassMetrics struct {
	Class                  string
	Success, Busy, Failure uint64 // served, refused, failed
}

// maxTallied bounds the classes that are counted, over all reloads: the rest count together, under no name.
const maxTallied = 256

// tally is where a router's facts are counted. Its methods may be called at once from many goroutines.
type tally struct {
	classes  atomic.Pointer[map[string]*classTally]
	inflight atomic.Int64
	listed   atomic.Int64
	down     atomic.Int64
	adopting sync.Mutex
}

type classTally struct {
	answers [len(outcomeNames)]atomic.Uint64
}

// adopt has every class of the settings counted, from 0 where it is new.
func (t *tally) adopt(classes []policy.Class) {
	t.adopting.Lock()
	defer t.adopting.Unlock()
	next := map[string]*classTally{"": new(classTally)}
	if old := t.classes.Load(); old != nil {
		next = maps.Clone(*old)
	}
	for _, c := range classes {
		if next[c.Name] == nil && len(next) <= maxTallied {
			next[c.Name] = new(classTally)
		}
	}
	t.classes.Store(&next)
}

func (t *tally) of(class string) *classTally {
	all := *t.classes.Load()
	if c := all[class]; c != nil {
		return c
	}
	return all[""]
}

// count notes one final answer.
func (t *tally) count(class string, o Outcome) { t.of(class).answers[o].Add(1) }

// answers sums over the classes.
func (t *tally) answers() (sum [len(outcomeNames)]uint64) {
	for _, c := range *t.classes.Load() {
		for o := range sum {
			sum[o] += c.answers[o].Load()
		}
	}
	return sum
}

func (t *tally) figures() Metrics {
	f := Metrics{Inflight: int(t.inflight.Load()), Listed: int(t.listed.Load()), Down: int(t.down.Load())}
	for name, c := range *t.classes.Load() {
		if name == "" {
			continue
		}
		n := func(o Outcome) uint64 { return c.answers[o].Load() }
		f.Classes = append(f.Classes, ClassMetrics{name, n(Served), n(Rejected) + n(Overloaded), n(Failed) + n(Expired) + n(Conflict)})
	}
	slices.SortFunc(f.Classes, func(a, b ClassMetrics) int { return strings.Compare(a.Class, b.Class) })
	return f
}

// Metrics tells what the router has counted. It waits for nobody.
func (r *Router) Metrics() Metrics {
	f := r.loop.tally.figures()
	f.Written = r.loop.written()
	return f
}

// Inflight is the requests taken and not ended. It waits for nobody.
func (r *Router) Inflight() int { return int(r.loop.tally.inflight.Load()) }

// CountFailed has a front count a request of a class that it answered as failed itself: it was malformed, and the
// router never saw it.
func (r *Router) CountFailed(class string) { r.loop.tally.count(class, Failed) }

// written is the attempts that went out whole, where the transport tells.
func (l *loop) written() uint64 {
	if t, ok := l.transport.(interface{ Written() uint64 }); ok {
		return t.Written()
	}
	return 0
}

// published keeps the figures of the servers up to date, after each event.
func (l *loop) published() {
	down := 0
	if m, ok := l.module.(interface{ UnavailableEndpoints() int }); ok {
		down = m.UnavailableEndpoints()
	}
	if int64(down) != l.tally.down.Load() {
		l.tally.down.Store(int64(down))
	}
	if n := int64(len(l.servers)); n != l.tally.listed.Load() {
		l.tally.listed.Store(n)
	}
}
