// Package audit decides which version a process may act on, when the next one may be put in force, and what is written
// down of it. It does no I/O and reads no clock.
//
// It stands processes that are stopped, cut off or started from an old disk, and a council that is away: who gets no
// right acts no more once the last one is over. It trusts that no clock runs more than owner.Drift faster or slower
// than another while a right lasts: then at no time do processes act on more than two versions of a thing. From a
// right that was asked for and never answered nothing follows: it counts from before the asking, so that one whose
// answer comes late is worth less, never more.
package audit

import (
	"maps"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/owner"
)

// Vector is what a process acts on: of each thing a version, by its digest.
type Vector map[string]string

// Clone is a copy.
func (v Vector) Clone() Vector { return maps.Clone(v) }

// Wanted is the vector that a node should act on by a state.
func Wanted(s *fleet.State, node string) Vector {
	v := make(Vector, len(s.Artifacts))
	for name, t := range s.Artifacts {
		v[name] = t.DesiredVersion(node)
	}
	return v
}

// Allows tells whether a node may have a right to a vector by a state. The state has to be one that was the newest at
// some moment after the right was asked for.
func Allows(s *fleet.State, node string, v Vector) bool {
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

// Guards are what the bound of two versions rests on, for rehearsals to take one away. The zero value is whole.
type Guards struct {
	FromAnswer bool // a right counts from its answer
	Behind     bool // a right is renewed for whatever a process acts on
	NoWait     bool // a version that was retired is cleared at once
}

// Right is what lets one process act: a right to its vector, for a limited time on its own monotonic clock.
type Right struct {
	Length time.Duration
	Guards Guards

	has    Vector
	until  time.Duration
	asked  time.Duration
	flying bool
	next   time.Duration
}

// Ask is the vector to ask a right for now: the one that the process should act on, once it has what that takes.
func (r *Right) Ask(now time.Duration, want Vector) (v Vector, ok bool) {
	if r.flying && now-r.asked < r.Length/4 || now < r.next && maps.Equal(want, r.has) {
		return nil, false
	}
	r.asked, r.flying = now, true
	return want.Clone(), true
}

// Answered tells what came of an ask that went out at asked. A right to another vector ends the one before: the process
// acts on the new one from here on, and on nothing else.
func (r *Right) Answered(asked, now time.Duration, v Vector, granted bool) {
	if asked == r.asked {
		r.flying = false
	}
	if !granted {
		return
	}
	from := asked
	if r.Guards.FromAnswer {
		from = now
	}
	if until := from + r.Length; until > r.until || !maps.Equal(v, r.has) && asked == r.asked {
		r.has, r.until = v, until
	}
	r.next = asked + r.Length/3
}

// May tells whether the process may act now, and on what. Where it may not it takes no new work.
func (r *Right) May(now time.Duration) (Vector, bool) { return r.has, r.has != nil && now < r.until }

// Clearer tells when the last right to a version that was retired is over. Each member of the council has one, as it has
// an owner.Lessor: what it has seen retired itself need not be waited for anew under another leader.
type Clearer struct {
	Length time.Duration // of rights
	Guards Guards
	seen   map[string]gone
}

type gone struct {
	version fleet.Version
	since   time.Duration
}

// Observe tells of a state. now is of a monotonic clock.
func (c *Clearer) Observe(s *fleet.State, now time.Duration) {
	if c.seen == nil {
		c.seen = make(map[string]gone)
	}
	for name, t := range s.Artifacts {
		switch {
		case t.Retiring == nil:
			delete(c.seen, name)
		case c.seen[name].version != *t.Retiring:
			c.seen[name] = gone{*t.Retiring, now}
		}
	}
}

// Cleared is the version of a thing that was retired and that nobody acts on any more; none: somebody may.
func (c *Clearer) Cleared(thing string, now time.Duration) (v fleet.Version) {
	if g, ok := c.seen[thing]; ok && (c.Guards.NoWait || now-g.since >= owner.Wait(c.Length)) {
		return g.version
	}
	return v
}
