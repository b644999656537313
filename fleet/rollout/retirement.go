package rollout

import (
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/lease"
)

// RetirementTracker determines when the last lease of a retired version has expired. Each member of the consensus
// group has a tracker, so a new leader need not wait for the full time again after a retirement that it has observed.
// RetirementTracker is not safe for concurrent use.
type RetirementTracker struct {
	LeaseDuration time.Duration // duration of version leases
	Unsafe        UnsafeOptions
	observed      map[string]retirement // by artifact
}

// retirement is a retired version and the time at which the tracker first observed its retirement.
type retirement struct {
	version fleet.Version
	seenAt  time.Duration
}

// Observe records the retired versions of a state. now is the time of the caller's monotonic clock.
func (t *RetirementTracker) Observe(state *fleet.State, now time.Duration) {
	if t.observed == nil {
		t.observed = make(map[string]retirement)
	}
	for name, artifact := range state.Artifacts {
		switch {
		case artifact.Retiring == nil:
			delete(t.observed, name)
		case t.observed[name].version != *artifact.Retiring:
			t.observed[name] = retirement{*artifact.Retiring, now}
		}
	}
}

// Cleared returns the retired version of artifact if no process acts on that version any more at now.
// It returns the zero Version if no version is retired, or if a process may still act on the retired version.
func (t *RetirementTracker) Cleared(artifact string, now time.Duration) fleet.Version {
	retired, ok := t.observed[artifact]
	if !ok {
		return fleet.Version{}
	}
	if !t.Unsafe.SkipRetirementDelay && now-retired.seenAt < lease.ExpiryDelay(t.LeaseDuration) {
		return fleet.Version{}
	}
	return retired.version
}
