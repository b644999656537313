// Package rollout decides which version a process may act on, when the next one may be put in force, and what is written
// down of it. It does no I/O and reads no clock.
//
// It stands processes that are stopped, cut off or started from an old disk, and a council that is away: who gets no
// right acts no more once the last one is over. It trusts that no clock runs more than owner.Drift faster or slower
// than another while a right lasts: then at no time do processes act on more than two versions of a thing. From a
// right that was asked for and never answered nothing follows: it counts from before the asking, so that one whose
// answer comes late is worth less, never more.
package rollout

import (
	"maps"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// VersionVector is what a process acts on: of each thing a version, by its digest.
type VersionVector map[string]string

// Clone is a copy.
func (v VersionVector) Clone() VersionVector { return maps.Clone(v) }

// DesiredVersions is the vector that a node should act on by a state.
func DesiredVersions(s *fleet.State, node string) VersionVector {
	v := make(VersionVector, len(s.Artifacts))
	for name, t := range s.Artifacts {
		v[name] = t.DesiredVersion(node)
	}
	return v
}

// Allows tells whether a node may have a right to a vector by a state. The state has to be one that was the newest at
// some moment after the right was asked for.
func Allows(s *fleet.State, node string, v VersionVector) bool {
	for name, t := range s.Artifacts {
		ok := false
		for _, d := range t.AllowedVersions(node) {
			ok = ok || v[name] == d
		}
		if !ok {
			return false
		}
	}
	return true
}

// UnsafeOptions are what the bound of two versions rests on, for rehearsals to take one away. The zero value is whole.
type UnsafeOptions struct {
	CountFromResponse   bool // a right counts from its answer
	GrantAnyVersion     bool // a right is renewed for whatever a process acts on
	SkipRetirementDelay bool // a version that was retired is cleared at once
}

// VersionLease is what lets one process act: a right to its vector, for a limited time on its own monotonic clock.
type VersionLease struct {
	Duration time.Duration
	Unsafe   UnsafeOptions

	versions    VersionVector
	expiresAt   time.Duration
	requestedAt time.Duration
	inFlight    bool
	nextRequest time.Duration
}

// NextRequest is the vector to ask a right for now: the one that the process should act on, once it has what that takes.
func (r *VersionLease) NextRequest(now time.Duration, want VersionVector) (v VersionVector, ok bool) {
	if r.inFlight && now-r.requestedAt < r.Duration/4 || now < r.nextRequest && maps.Equal(want, r.versions) {
		return nil, false
	}
	r.requestedAt, r.inFlight = now, true
	return want.Clone(), true
}

// HandleResult tells what came of an ask that went out at asked. A right to another vector ends the one before: the process
// acts on the new one from here on, and on nothing else.
func (r *VersionLease) HandleResult(asked, now time.Duration, v VersionVector, granted bool) {
	if asked == r.requestedAt {
		r.inFlight = false
	}
	if !granted {
		return
	}
	from := asked
	if r.Unsafe.CountFromResponse {
		from = now
	}
	if until := from + r.Duration; until > r.expiresAt || !maps.Equal(v, r.versions) && asked == r.requestedAt {
		r.versions, r.expiresAt = v, until
	}
	r.nextRequest = asked + r.Duration/3
}

// Valid tells whether the process may act now, and on what. Where it may not it takes no new work.
func (r *VersionLease) Valid(now time.Duration) (VersionVector, bool) {
	return r.versions, r.versions != nil && now < r.expiresAt
}

// RetirementTracker tells when the last right to a version that was retired is over. Each member of the council has one, as it has
// an owner.Lessor: what it has seen retired itself need not be waited for anew under another leader.
type RetirementTracker struct {
	LeaseDuration time.Duration // of rights
	Unsafe        UnsafeOptions
	observed      map[string]retirement
}

type retirement struct {
	version fleet.Version
	since   time.Duration
}

// Observe tells of a state. now is of a monotonic clock.
func (c *RetirementTracker) Observe(s *fleet.State, now time.Duration) {
	if c.observed == nil {
		c.observed = make(map[string]retirement)
	}
	for name, t := range s.Artifacts {
		switch {
		case t.Retiring == nil:
			delete(c.observed, name)
		case c.observed[name].version != *t.Retiring:
			c.observed[name] = retirement{*t.Retiring, now}
		}
	}
}

// Cleared is the version of a thing that was retired and that nobody acts on any more; none: somebody may.
func (c *RetirementTracker) Cleared(thing string, now time.Duration) (v fleet.Version) {
	if g, ok := c.observed[thing]; ok && (c.Unsafe.SkipRetirementDelay || now-g.since >= lease.ExpiryDelay(c.LeaseDuration)) {
		return g.version
	}
	return v
}
