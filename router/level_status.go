package router

import (
	"container/heap"
	"maps"
	"time"

	"cobaltward/levels"
	"cobaltward/policy"
)

// LevelStatus describes the level of service in force, with the measurements that determine the level.
type LevelStatus struct {
	Level  int            `json:"level"` // 0: full service
	Name   string         `json:"name"`
	Reason string         `json:"reason"`
	Demand float64        `json:"demand"` // value of levels.Demand
	Slow   float64        `json:"slow"`   // value of levels.SlowAnswers
	Queued float64        `json:"held"`   // value of levels.Queued
	Events []levels.Event `json:"events"`

	ExitConditions []string `json:"lifts,omitempty"` // conditions for leaving the level
	ExitProbing    bool     `json:"trying"`          // the exit is being probed: a part of the load is no longer shed
	MaxLevel       int      `json:"most"`            // highest level that is entered automatically; -1: no limit
	DryRun         bool     `json:"dry_run"`         // the level is only computed and does not affect requests

	// The fields below count the requests that the levels have shed since the start. In a dry run, they count the
	// requests that would have been shed.
	ShedByClass  map[string]uint64 `json:"shed,omitempty"`
	ShedByTenant map[string]uint64 `json:"shed_by,omitempty"` // tenants that are not in the settings count under ""
	ShedWeight   float64           `json:"shed_worth"`        // sum of the priority weights of shed requests
}

// Level returns the level of service in force. It returns ErrNoLevels if there are no levels, and ErrClosed after
// Close.
func (r *Router) Level() (status LevelStatus, err error) {
	err = r.withDegradation(func(d *degradation, _ policy.Time) error {
		status = d.status()
		return nil
	})
	return status, err
}

// SetLevel manually puts level in force for the duration d, or until ReleaseLevel if d is 0. The events record
// requestedBy and reason. SetLevel returns an error if level does not exist, ErrNoLevels or ErrClosed.
func (r *Router) SetLevel(level int, d time.Duration, requestedBy, reason string) error {
	return r.withDegradation(func(deg *degradation, now policy.Time) error {
		return deg.controller.SetManual(now, level, d, requestedBy, reason)
	})
}

// SetLevels replaces the levels of service. A nil c means full service always. The level in force stays in force if c
// has a level with the same name. If a value is invalid, SetLevels changes nothing and returns an error that names
// the value. After Close it returns ErrClosed.
func (r *Router) SetLevels(c *levels.Config) error {
	return r.runInLoop(func(l *loop) error { return l.reconfigureLevels(c) })
}

// SetMaxLevel limits the levels that are entered by their conditions to level; -1 allows all levels. The events
// record requestedBy and reason. SetMaxLevel returns an error if level does not exist, ErrNoLevels or ErrClosed.
func (r *Router) SetMaxLevel(level int, requestedBy, reason string) error {
	return r.withDegradation(func(d *degradation, now policy.Time) error {
		return d.controller.SetMaxLevel(now, level, requestedBy, reason)
	})
}

// ReleaseLevel ends the effect of SetLevel. The conditions of the levels then determine the level again. ReleaseLevel
// returns ErrNoLevels or ErrClosed.
func (r *Router) ReleaseLevel() error {
	return r.withDegradation(func(d *degradation, _ policy.Time) error {
		d.controller.ReleaseManual()
		return nil
	})
}

// withDegradation calls f in the loop. It returns ErrNoLevels if there are no levels.
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

// reconfigureLevels implements SetLevels in the loop.
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

// scheduleLevelStep sets the timer for the next step of the levels, unless the timer is set already.
func (l *loop) scheduleLevelStep(now policy.Time) {
	if l.levelStepScheduled {
		return
	}
	l.levelStepScheduled = true
	heap.Push(&l.timers, &timer{kind: levelStepTimer, due: now + levelStepInterval})
}

// stepLevels performs the step that was due, and schedules the next step.
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
