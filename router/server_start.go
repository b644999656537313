package router

import (
	"time"

	"cobaltward/policy"
)

const (
	// maxRecentStartAge is the age by the wall clock above which a server has certainly started long ago. Up to it,
	// that is uncertain: the wall clock may have been stepped by an hour since the start, and so may the clock that
	// recorded the start.
	maxRecentStartAge = 2 * time.Hour
	// maxListDelay is the longest time assumed between a start and the first list that names it. Lists usually come
	// one to two seconds late. It bounds the error in the duration of slow start that a stepped clock can cause.
	maxListDelay = 2 * time.Second
	// maxWallStep is how far the wall clock may move against the monotonic clock and still count as steady.
	maxWallStep = time.Second
	// minTrackedStarts is how many servers that are no longer listed are remembered at least.
	minTrackedStarts = 1024
)

// startTracker determines when each server's process started, for slow start, which is a span of real time, although
// wall clocks may be stepped at any moment. A start that a list names for the first time lies before that list, by at
// most maxListDelay whatever the wall clock says, unless it is long ago by any clock. After an outage of discovery,
// whose length the monotonic clock measures, the list may be late by that much more. Only then is the wall clock
// trusted, for the length of the outage: only for starts after the router's own start, only while no step of the wall
// clock was seen, and corrected by its lead as shown by the lists that came in time. A start does not change once it
// is determined. The tracker belongs to the event loop.
type startTracker struct {
	bounds    map[string]startBound // by server ID
	outage    time.Duration         // length of the outage before the current update; 0 if the wall clock is not trusted
	stepped   bool                  // a step of the wall clock was seen
	listDelay listDelay
}

// startBound is the time at which a server is assumed to have started.
type startBound struct {
	started time.Time   // start time in the endpoint list
	since   policy.Time // when slow start begins; 0: long ago
}

// listDelay is the smallest age, by the wall clock, at which a list that did not follow an outage named a new start.
// A start can't be later than its list, so this bounds the lead of the wall clock over the clock that recorded the
// start.
type listDelay struct {
	minimum time.Duration
	known   bool
}

// observe records the age of one start.
func (s *listDelay) observe(age time.Duration) {
	if !s.known || age < s.minimum {
		s.minimum, s.known = age, true
	}
}

// excess is the part of the delay that late lists do not explain, and that must be a lead of the wall clock.
func (s *listDelay) excess() time.Duration { return max(0, s.minimum-maxListDelay) }

// beginUpdate must be called before slowStartSince is called for the starts in an update. outage is how long
// discovery failed before the update, wallStep by how much the wall clock was stepped since the router's start.
func (t *startTracker) beginUpdate(outage, wallStep time.Duration) {
	t.stepped = t.stepped || wallStep.Abs() > maxWallStep
	t.outage = outage
	if t.stepped {
		t.outage = 0
	}
}

// slowStartSince returns the time from which a server's slow start counts; 0 if the server started long ago. started
// is the start time in the list, wallClockStart the same time converted by the wall clock as it was at the router's
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

// boundNewStart returns the assumed time of a start that the current update is the first to name.
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

// prune forgets servers that are not listed, if too many are remembered.
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
