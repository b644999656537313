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
	Classes              []ClassMetrics // of every class that the settings have or had, by name
	InFlight             int            // requests taken and not ended
	Endpoints            int            // servers in the list
	UnavailableEndpoints int            // of them, those that the module avoids
	AttemptsWritten      uint64         // attempts written whole to servers, where the transport tells
}

// ClassMetrics are the final answers of one class.
type ClassMetrics struct {
	Class                 string
	Served, Busy, Failure uint64 // served, refused, failed
}

// maxCountedClasses bounds the classes that are counted, over all reloads: the rest count together, under no name.
const maxCountedClasses = 256

// counters is where a router's facts are counted. Its methods may be called at once from many goroutines.
type counters struct {
	classes              atomic.Pointer[map[string]*classCounters]
	inFlight             atomic.Int64
	endpoints            atomic.Int64
	unavailableEndpoints atomic.Int64
	mu                   sync.Mutex
}

type classCounters struct {
	answers [len(outcomeNames)]atomic.Uint64
}

// addClasses has every class of the settings counted, from 0 where it is new.
func (t *counters) addClasses(classes []policy.Class) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := map[string]*classCounters{"": new(classCounters)}
	if old := t.classes.Load(); old != nil {
		next = maps.Clone(*old)
	}
	for _, c := range classes {
		if next[c.Name] == nil && len(next) <= maxCountedClasses {
			next[c.Name] = new(classCounters)
		}
	}
	t.classes.Store(&next)
}

func (t *counters) class(class string) *classCounters {
	all := *t.classes.Load()
	if c := all[class]; c != nil {
		return c
	}
	return all[""]
}

// count notes one final answer.
func (t *counters) count(class string, o Outcome) { t.class(class).answers[o].Add(1) }

// answers sums over the classes.
func (t *counters) answers() (sum [len(outcomeNames)]uint64) {
	for _, c := range *t.classes.Load() {
		for o := range sum {
			sum[o] += c.answers[o].Load()
		}
	}
	return sum
}

func (t *counters) metrics() Metrics {
	f := Metrics{InFlight: int(t.inFlight.Load()), Endpoints: int(t.endpoints.Load()), UnavailableEndpoints: int(t.unavailableEndpoints.Load())}
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
	f := r.loop.counters.metrics()
	f.AttemptsWritten = r.loop.attemptsWritten()
	return f
}

// InFlight is the requests taken and not ended. It waits for nobody.
func (r *Router) InFlight() int { return int(r.loop.counters.inFlight.Load()) }

// CountFailed has a front count a request of a class that it answered as failed itself: it was malformed, and the
// router never saw it.
func (r *Router) CountFailed(class string) { r.loop.counters.count(class, Failed) }

// attemptsWritten is the attempts that went out whole, where the transport tells.
func (l *loop) attemptsWritten() uint64 {
	if t, ok := l.transport.(interface{ Written() uint64 }); ok {
		return t.Written()
	}
	return 0
}

// publishEndpointCounts keeps the figures of the servers up to date, after each event.
func (l *loop) publishEndpointCounts() {
	down := 0
	if m, ok := l.balancer.(interface{ UnavailableEndpoints() int }); ok {
		down = m.UnavailableEndpoints()
	}
	if int64(down) != l.counters.unavailableEndpoints.Load() {
		l.counters.unavailableEndpoints.Store(int64(down))
	}
	if n := int64(len(l.endpoints)); n != l.counters.endpoints.Load() {
		l.counters.endpoints.Store(n)
	}
}
