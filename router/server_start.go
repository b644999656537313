package router

import (
	"time"

	"cobaltward/policy"
)

const (
	// unknownStart is the age up to which the wall clock does not tell that a server has been running for long: it may
	// have been stepped by an hour since, and so may the clock of who noted the start.
	unknownStart = 2 * time.Hour
	// startCredit is how long before the list that names it first a start may be taken to lie: lists come late, by one
	// to two seconds as a rule. It bounds what a stepped clock can do to a span of slow start.
	startCredit = 2 * time.Second
	// maxWallStep is by how much the wall clock may move against the monotonic one and still count as steady.
	maxWallStep = time.Second
	// minTrackedStarts is how many servers that are no longer listed are remembered at least.
	minTrackedStarts = 1024
)

// startTracker bounds when each server's process started, though wall clocks may be stepped at any moment: slow start
// is a span of real time. A start that a list names for the first time lies before that list, and by startCredit at the
// most for all that is believed of the wall clock, unless it is long ago by any clock. Behind an outage of discovery,
// which the monotonic clock measures, the list may be as much later, and the wall clock is believed for that long, too:
// only of starts after the router's own, only while no step of it was seen, and less its lead as shown by the lists
// that came in time. A start once found does not change. The tracker belongs to the event loop.
type startTracker struct {
	bounds  map[string]startBound // by server
	outage  time.Duration         // ahead of the present update; 0 where the wall clock is not believed
	stepped bool                  // the wall clock was seen to step
	lag     startLag
}

// startBound is when a server is taken to have started.
type startBound struct {
	started time.Time // as the list names it
	since   policy.Time
}

// startLag is the smallest age, by the wall clock, at which a list without an outage before it named a new start. A
// start can't be later than its list, which bounds the lead of the wall clock over the clock that noted the start.
type startLag struct {
	minimum time.Duration
	known   bool
}

// observe takes in one age.
func (s *startLag) observe(age time.Duration) {
	if !s.known || age < s.minimum {
		s.minimum, s.known = age, true
	}
}

// excess is the part of the lag that lists which come late don't explain.
func (s *startLag) excess() time.Duration { return max(0, s.minimum-startCredit) }

// beginUpdate goes ahead of the starts that an update names: outage is how long discovery failed before it, wallStep by
// how much the wall clock was stepped since the router's start.
func (t *startTracker) beginUpdate(outage, wallStep time.Duration) {
	t.stepped = t.stepped || wallStep.Abs() > maxWallStep
	t.outage = outage
	if t.stepped {
		t.outage = 0
	}
}

// slowStartSince returns from when on a server's slow start counts; 0 where it started long ago. started is the start
// as the list names it, byWallClock where the wall clock places that, as it was at the router's start.
func (t *startTracker) slowStartSince(id string, started time.Time, byWallClock, now policy.Time) policy.Time {
	if started.IsZero() {
		return 0
	}
	if bound, ok := t.bounds[id]; ok && bound.started.Equal(started) {
		return bound.since
	}
	since := policy.Time(0)
	if now-byWallClock <= unknownStart {
		since = t.firstNamed(byWallClock, now)
	}
	if t.bounds == nil {
		t.bounds = make(map[string]startBound)
	}
	t.bounds[id] = startBound{started, since}
	return since
}

// firstNamed bounds a start that the present update is the first to name.
func (t *startTracker) firstNamed(byWallClock, now policy.Time) policy.Time {
	credit := startCredit
	if byWallClock >= timeOrigin {
		credit += t.outage
		if t.outage == 0 {
			t.lag.observe(now - byWallClock)
		}
	}
	return min(now, max(byWallClock+t.lag.excess(), now-credit))
}

// prune forgets servers that are not listed where there are many.
func (t *startTracker) prune(listed map[string]endpointSummary) {
	if len(t.bounds) <= 2*len(listed)+minTrackedStarts {
		return
	}
	for id := range t.bounds {
		if _, ok := listed[id]; !ok {
			delete(t.bounds, id)
		}
	}
}
