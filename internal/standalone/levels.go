package standalone

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cobaltward/levels"
	"cobaltward/policy"
)

// Service contains the settings that all levels of reduced service share.
type Service struct {
	ShedLast    []string      `toml:"guarded"`                 // classes that no level may shed more than other classes
	MinInterval time.Duration `toml:"least" min:"1s" max:"1h"` // minimum time between changes of the level; default: 30 s
	DryRun      bool          `toml:"dry_run"`                 // whether levels are only computed and counted
}

// Level is a level of reduced service, with the conditions for entering and leaving the level.
type Level struct {
	Name     string      `toml:"name" need:"1"`
	Enter    []Condition `toml:"enter" need:"1"`
	Exit     []Condition `toml:"exit" need:"1"`
	Measures []Measure   `toml:"measure" need:"1"`
}

// Condition compares a signal with a threshold. It holds after the comparison has been true for the time For.
type Condition struct {
	Signal    string        `toml:"signal" need:"1" one:"demand|slow|held"`
	Class     string        `toml:"class"`
	Threshold float64       `toml:"bound" need:"1" min:"0"`
	For       time.Duration `toml:"for" min:"0s" max:"1h"`
}

// Measure is a restriction that a level applies to a class.
type Measure struct {
	Class       string   `toml:"class" need:"1"`
	Tenants     []string `toml:"tenants"` // default: all tenants
	Shed        float64  `toml:"shed" min:"0" max:"1"`
	NoHedging   bool     `toml:"no_copies"`
	MaxAttempts int      `toml:"attempts" min:"1"`
	WithinQuota bool     `toml:"in_share"`

	MaxQueueTime time.Duration `toml:"hold" min:"1ms" max:"1h"`
	ZoneLocal    bool          `toml:"own_zone"`
	FollowDemand bool          `toml:"follow"` // shed only the excess of demand over capacity, at most Shed
}

// signals maps the values of the key signal to the signals of package levels.
var signals = map[string]levels.Signal{
	"demand": levels.Demand,
	"slow":   levels.SlowAnswers,
	"held":   levels.Queued,
}

// LevelsConfig returns the configuration of the levels for a node's classes, or nil if the file contains no levels.
// Errors name the line.
func (f *File) LevelsConfig(classes []policy.Class) (*levels.Config, error) {
	if len(f.Levels) == 0 {
		return nil, nil
	}
	config := &levels.Config{MinInterval: f.Service.MinInterval, DryRun: f.Service.DryRun}
	for _, class := range classes {
		shedLast := slices.Contains(f.Service.ShedLast, class.Name)
		config.Classes = append(config.Classes, levels.Class{Name: class.Name, ShedLast: shedLast})
	}
	for i, name := range f.Service.ShedLast {
		if !slices.ContainsFunc(classes, func(class policy.Class) bool { return class.Name == name }) {
			return nil, f.lines.Errorf("service.guarded", "unknown class %q (guarded[%d])", name, i)
		}
	}
	for _, level := range f.Levels {
		config.Levels = append(config.Levels, level.config())
	}
	if _, err := levels.New(*config); err != nil {
		var invalid *levels.ConfigError
		if !errors.As(err, &invalid) {
			return nil, err
		}
		return nil, f.lines.Errorf(fmt.Sprintf("level[%d]", max(0, invalid.Level)), "%s", invalid.Problem)
	}
	return config, nil
}

// config returns the level as the type of package levels.
func (l *Level) config() levels.Level {
	level := levels.Level{Name: l.Name, Enter: toConditions(l.Enter), Exit: toConditions(l.Exit)}
	for _, measure := range l.Measures {
		level.Measures = append(level.Measures, levels.Measure{
			Class:        measure.Class,
			Tenants:      measure.Tenants,
			Shed:         measure.Shed,
			NoHedging:    measure.NoHedging,
			MaxAttempts:  measure.MaxAttempts,
			WithinQuota:  measure.WithinQuota,
			MaxQueueTime: measure.MaxQueueTime,
			ZoneLocal:    measure.ZoneLocal,
			FollowDemand: measure.FollowDemand,
		})
	}
	return level
}

func toConditions(conditions []Condition) (converted []levels.Condition) {
	for _, condition := range conditions {
		converted = append(converted, levels.Condition{
			Class:     condition.Class,
			Threshold: condition.Threshold,
			For:       condition.For,
			Signal:    signals[condition.Signal],
		})
	}
	return converted
}
