package router

import (
	"time"

	"cobaltward/policy"
)

const (
	// maxRecentStartAge is the maximum age, by the wall clock, of the start of a server that may be recent. An older
	// start was certainly long ago. The limit allows for a step of an hour of the wall clock, and a step of an hour of
	// the clock that recorded the start.
	maxRecentStartAge = 2 * time.Hour
	// maxListDelay is the maximum time assumed between a start and the first endpoint list that names the start. Lists
	// usually come one to two seconds late. The error that a stepped clock causes in the duration of slow start is
	// therefore at most maxListDelay.
	maxListDelay = 2 * time.Second
	// maxWallStep is the maximum movement of the wall clock against the monotonic clock that does not count as a
	// step.
	maxWallStep = time.Second
	// minTrackedStarts is the number of servers that may be remembered in addition to twice the number of listed
	// servers.
	minTrackedStarts = 1024
)

// startTracker determines when the process of each server started, which is when its slow start begins. Slow start is
// a span of real time, although wall clocks may be stepped at any moment. The event loop owns the tracker.
//
// The first list that names a start is assumed to come at most maxListDelay after the start, whatever the wall clock
// shows. This does not apply to a start that is more than maxRecentStartAge ago. After an outage of discovery, the
// list may be late by the length of the outage, which the monotonic clock measures.
//
// The start time by the wall clock is used within these limits. An age above maxListDelay is used only after an
// outage, only for starts after the start of the router, and only while no step of the wall clock was seen. The start
// time is corrected by the time by which the wall clock is ahead (see listDelay). A start does not change once it is
// determined.
type startTracker struct {
	bounds    map[string]startBound // by server ID
	outage    time.Duration         // outage before the current update; 0 if the wall clock is not trusted
	stepped   bool                  // whether a step of the wall clock was seen
	listDelay listDelay
}

// startBound is the time at which a server is assumed to have started.
type startBound struct {
	started time.Time   // start time in the endpoint list
	since   policy.Time // beginning of slow start; 0: long ago
}

// listDelay is the minimum age, by the wall clock, of a new start in a list that did not follow an outage. A server is
// listed only after it has started. The age of its start is therefore at least the time by which this node's wall
// clock is ahead of the clock that recorded the start. The minimum age is thus an upper bound of that time.
type listDelay struct {
	minimum time.Duration
	known   bool
}

// observe updates the minimum with the age of a new start.
func (s *listDelay) observe(age time.Duration) {
	if !s.known || age < s.minimum {
		s.minimum, s.known = age, true
	}
}

// excess returns the part of the minimum age above maxListDelay. Late lists do not explain that part, so the wall
// clock must be ahead by at least that time.
func (s *listDelay) excess() time.Duration { return max(0, s.minimum-maxListDelay) }

// beginUpdate must be called before slowStartSince for the starts in an update. outage is the length of the outage of
// discovery before the update. wallStep is the total step of the wall clock since the start of the router.
func (t *startTracker) beginUpdate(outage, wallStep time.Duration) {
	t.stepped = t.stepped || wallStep.Abs() > maxWallStep
	t.outage = outage
	if t.stepped {
		t.outage = 0
	}
}

// slowStartSince returns the time from which the slow start of the server id counts, or 0 if the server started long
// ago. started is the start time in the list. wallClockStart is started, converted by the wall clock at the router's
// start.
func (t *startTracker) slowStartSince(id string, started time.Time, wallClockStart, now policy.Time) policy.Time {
	if started.IsZero() {
		return 0
	}
	if bound, ok := t.bounds[id]; ok && bound.started.Equal(started) {
		return bound.since
	}
	since := policy.Time(0)
	if now-wallClockStart <= maxRecentStartAge {
		since = t.boundNewStart(wallClockStart, now)
	}
	if t.bounds == nil {
		t.bounds = make(map[string]startBound)
	}
	t.bounds[id] = startBound{started, since}
	return since
}

// boundNewStart returns the assumed time of a start that no earlier update has named.
func (t *startTracker) boundNewStart(wallClockStart, now policy.Time) policy.Time {
	maxAge := maxListDelay
	if wallClockStart >= timeOrigin {
		maxAge += t.outage
		if t.outage == 0 {
			t.listDelay.observe(now - wallClockStart)
		}
	}
	return min(now, max(wallClockStart+t.listDelay.excess(), now-maxAge))
}

// prune forgets the servers that are not in listed if more than twice the number of listed servers plus
// minTrackedStarts are remembered.
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
