package router

import (
	"maps"
	"sync"
	"sync/atomic"

	"cobaltward/policy"
)

// maxCountedClasses is the maximum number of classes with separate counts, over all reloads. All further classes are
// counted together under an empty name.
const maxCountedClasses = 256

// counters holds the counts that Metrics reports. Each count is updated where its events happen. The methods are safe
// for concurrent use.
type counters struct {
	mu                   sync.Mutex // held while classes are added
	classes              atomic.Pointer[map[string]*classCounters]
	accepted             atomic.Uint64
	inFlight             atomic.Int64
	endpoints            atomic.Int64
	unavailableEndpoints atomic.Int64
}

// classCounters holds the numbers of final answers of one class.
type classCounters struct {
	answers [len(outcomeNames)]atomic.Uint64 // by Outcome
}

// addClasses adds counts for the elements of classes that are not counted yet, up to maxCountedClasses.
func (c *counters) addClasses(classes []policy.Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := map[string]*classCounters{"": new(classCounters)}
	if current := c.classes.Load(); current != nil {
		next = maps.Clone(*current)
	}
	for i := range classes {
		name := classes[i].Name
		if next[name] == nil && len(next) <= maxCountedClasses {
			next[name] = new(classCounters)
		}
	}
	c.classes.Store(&next)
}

func (c *counters) class(name string) *classCounters {
	classes := *c.classes.Load()
	if class := classes[name]; class != nil {
		return class
	}
	return classes[""]
}

// count counts one final answer, by its class and outcome.
func (c *counters) count(class string, outcome Outcome) { c.class(class).answers[outcome].Add(1) }

// answers returns the numbers of final answers of all classes, by Outcome.
func (c *counters) answers() (sum [len(outcomeNames)]uint64) {
	for _, class := range *c.classes.Load() {
		for outcome := range sum {
			sum[outcome] += class.answers[outcome].Load()
		}
	}
	return sum
}

// setEndpoints sets the numbers of listed and unavailable endpoints. It writes only changed numbers, because it is
// called after each event.
func (c *counters) setEndpoints(listed, unavailable int) {
	if n := int64(unavailable); n != c.unavailableEndpoints.Load() {
		c.unavailableEndpoints.Store(n)
	}
	if n := int64(listed); n != c.endpoints.Load() {
		c.endpoints.Store(n)
	}
}
