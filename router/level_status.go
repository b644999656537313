package router

import (
	"container/heap"
	"maps"
	"time"

	"cobaltward/levels"
	"cobaltward/policy"
)

// LevelStatus is the level of service in force, with the measurements that it depends on.
type LevelStatus struct {
	Level  int            `json:"level"` // 0: full service
	Name   string         `json:"name"`
	Reason string         `json:"reason"`
	Demand float64        `json:"demand"` // as levels.Demand
	Slow   float64        `json:"slow"`   // as levels.Slow
	Queued float64        `json:"held"`   // as levels.Held
	Events []levels.Event `json:"events"`

	ExitConditions []string `json:"lifts,omitempty"` // what would end the level
	ExitProbing    bool     `json:"trying"`          // its end is being tried: half of the usual part is shed
	MaxLevel       int      `json:"most"`            // levels beyond it are not entered by their conditions; -1: all are
	DryRun         bool     `json:"dry_run"`         // it changes nothing for requests

	// Requests shed by the levels since the start; in a dry run, those that would have been shed.
	ShedByClass  map[string]uint64 `json:"shed,omitempty"`
	ShedByTenant map[string]uint64 `json:"shed_by,omitempty"` // tenants that the settings don't list are under ""
	ShedWeight   float64           `json:"shed_worth"`        // sum of their priority weights
}

// Level returns the level of service in force; ErrNoLevels where there are none, ErrClosed after Close.
func (r *Router) Level() (status LevelStatus, err error) {
	err = r.withDegradation(func(d *degradation, _ policy.Time) error {
		status = d.status()
		return nil
	})
	return status, err
}

// SetLevel puts a level in force by hand for a duration; 0: until ReleaseLevel. who and why are for the events.
// It returns an error where there is no such level, ErrNoLevels or ErrClosed.
func (r *Router) SetLevel(level int, d time.Duration, who, why string) error {
	return r.withDegradation(func(deg *degradation, now policy.Time) error {
		return deg.controller.SetManual(now, level, d, who, why)
	})
}

// SetLevels replaces the levels of service while the router runs; nil: full service always. A level of the same
// name stays in force. It returns an error that names the invalid value, and changes nothing then, or ErrClosed.
func (r *Router) SetLevels(c *levels.Config) error {
	return r.runInLoop(func(l *loop) error { return l.reconfigureLevels(c) })
}

// SetMaxLevel has no level beyond it entered by its conditions; -1 allows all. who and why are for the events.
// It returns an error where there is no such level, ErrNoLevels or ErrClosed.
func (r *Router) SetMaxLevel(level int, who, why string) error {
	return r.withDegradation(func(d *degradation, now policy.Time) error {
		return d.controller.SetMaxLevel(now, level, who, why)
	})
}

// ReleaseLevel returns a level that was set by hand to its conditions. It returns ErrNoLevels or ErrClosed.
func (r *Router) ReleaseLevel() error {
	return r.withDegradation(func(d *degradation, _ policy.Time) error {
		d.controller.ReleaseManual()
		return nil
	})
}

// withDegradation runs f in the loop; ErrNoLevels where there are no levels.
func (r *Router) withDegradation(f func(*degradation, policy.Time) error) error {
	return r.runInLoop(func(l *loop) error {
		if l.degradation == nil {
			return ErrNoLevels
		}
		return f(l.degradation, l.clock.now())
	})
}

func (d *degradation) status() LevelStatus {
	level, name, reason := d.controller.Level()
	return LevelStatus{
		Level:          level,
		Name:           name,
		Reason:         reason,
		Demand:         d.controller.Value(levels.Demand, ""),
		Slow:           d.controller.Value(levels.SlowAnswers, ""),
		Queued:         d.controller.Value(levels.Queued, ""),
		Events:         append([]levels.Event(nil), d.controller.Events()...),
		ExitConditions: d.controller.ExitConditions(),
		ExitProbing:    d.controller.ExitProbing(),
		MaxLevel:       d.controller.MaxLevel(),
		DryRun:         d.controller.DryRun(),
		ShedByClass:    maps.Clone(d.shedByClass),
		ShedByTenant:   maps.Clone(d.shedByTenant),
		ShedWeight:     d.shedWeight,
	}
}

// reconfigureLevels is SetLevels in the loop.
func (l *loop) reconfigureLevels(config *levels.Config) error {
	switch {
	case config == nil:
		l.degradation = nil
		return nil
	case l.degradation == nil:
		d, err := newDegradation(*config, l.config.Settings)
		if err != nil {
			return err
		}
		l.degradation = d
		l.scheduleLevelStep(l.clock.now())
		return nil
	}
	changed, err := l.degradation.controller.Reconfigure(l.clock.now(), *config)
	if err != nil {
		return err
	}
	if changed {
		level, name, reason := l.degradation.controller.Level()
		l.log.Warn("level of service", "to", level, "name", name, "reason", reason)
	}
	return nil
}

// scheduleLevelStep sets the timer of the next step, unless it is set.
func (l *loop) scheduleLevelStep(now policy.Time) {
	if l.levelStepScheduled {
		return
	}
	l.levelStepScheduled = true
	heap.Push(&l.timers, &timer{kind: levelStepTimer, due: now + levelStepInterval})
}

// stepLevels takes the step that was due, and schedules the next.
func (l *loop) stepLevels(due policy.Time) {
	l.levelStepScheduled = false
	if l.degradation == nil { // SetLevels has removed the levels
		return
	}
	if event, changed := l.degradation.step(due, l.requests); changed {
		l.log.Warn("level of service", "from", event.From, "to", event.To, "name", event.Name, "reason", event.Reason)
	}
	l.scheduleLevelStep(due)
}
