package levels

import (
	"fmt"
	"slices"
)

// ConfigError describes why a configuration is invalid.
type ConfigError struct {
	Level   int // index of the invalid level in Config.Levels; -1 if no single level is invalid
	Problem string
}

func (e *ConfigError) Error() string {
	if e.Level < 0 {
		return e.Problem
	}
	return fmt.Sprintf("level %d: %s", e.Level+1, e.Problem)
}

// check validates the configuration. It returns the first problem found, as a *ConfigError.
func (c *Config) check() error {
	names := make(map[string]bool)
	shed := make(map[string]float64) // by class: maximum shed for all tenants, over the levels so far
	for i := range c.Levels {
		if err := c.checkLevel(i, names, shed); err != nil {
			return &ConfigError{Level: i, Problem: err.Error()}
		}
	}
	return nil
}

// checkLevel checks the level with the given index. names and shed describe the levels before it; checkLevel adds
// this level to both.
func (c *Config) checkLevel(index int, names map[string]bool, shed map[string]float64) error {
	level := &c.Levels[index]
	if err := level.checkParts(names); err != nil {
		return err
	}
	if err := c.checkConditions(level); err != nil {
		return err
	}
	if err := level.checkExitBelowEntry(); err != nil {
		return err
	}
	if err := c.checkReachable(index); err != nil {
		return err
	}
	if err := c.checkMeasures(level, shed); err != nil {
		return err
	}
	return c.checkShedLast(shed)
}

// checkParts checks that the level has a unique name, conditions and measures. It adds the name to names.
func (l *Level) checkParts(names map[string]bool) error {
	switch {
	case l.Name == "" || l.Name == fullServiceName:
		return fmt.Errorf("name: want a unique name that is not reserved, got %q", l.Name)
	case names[l.Name]:
		return fmt.Errorf("name: %q is used twice", l.Name)
	case len(l.Enter) == 0:
		return fmt.Errorf("it has no condition for entering it")
	case len(l.Exit) == 0:
		return fmt.Errorf("it has no condition for leaving it")
	case len(l.Measures) == 0:
		return fmt.Errorf("it has no measures")
	}
	names[l.Name] = true
	return nil
}

// checkConditions checks the thresholds, durations and classes of a level's conditions.
func (c *Config) checkConditions(level *Level) error {
	for _, condition := range slices.Concat(level.Enter, level.Exit) {
		if condition.Threshold < 0 || condition.For < 0 {
			return fmt.Errorf("%v: bound and for must not be negative", condition)
		}
		if condition.Class != "" && !c.hasClass(condition.Class) {
			return fmt.Errorf("%v: the class does not exist", condition)
		}
	}
	return nil
}

func (c *Config) hasClass(name string) bool {
	return slices.ContainsFunc(c.Classes, func(class Class) bool { return class.Name == name })
}

// sameSignal reports whether two conditions compare the same signal of the same class.
func (c Condition) sameSignal(other Condition) bool {
	return c.Signal == other.Signal && c.Class == other.Class
}

// checkExitBelowEntry checks that the exit threshold of each signal is below its entry threshold.
func (l *Level) checkExitBelowEntry() error {
	for _, enter := range l.Enter {
		for _, exit := range l.Exit {
			if enter.sameSignal(exit) && exit.Threshold >= enter.Threshold {
				return fmt.Errorf("it is left below %.4g of %s and entered above %.4g: want the exit below the entry",
					exit.Threshold, exit.label(), enter.Threshold)
			}
		}
	}
	return nil
}

// checkReachable checks the entry conditions of the level with the given index. None of them may hold earlier than a
// condition on the same signal in the previous level. Levels are entered one after another, so such a condition would
// have no effect.
func (c *Config) checkReachable(index int) error {
	if index == 0 {
		return nil
	}
	for _, enter := range c.Levels[index].Enter {
		for _, before := range c.Levels[index-1].Enter {
			if enter.sameSignal(before) && enter.Threshold < before.Threshold && enter.For <= before.For {
				return fmt.Errorf("its entry threshold has no effect: the level before it is entered above %.4g of %s, "+
					"and this one already above %.4g", before.Threshold, enter.label(), enter.Threshold)
			}
		}
	}
	return nil
}

// checkMeasures checks the measures of level. It records in shed, by class, the fraction that level sheds for all
// tenants.
func (c *Config) checkMeasures(level *Level, shed map[string]float64) error {
	for i := range level.Measures {
		measure := &level.Measures[i]
		if !c.hasClass(measure.Class) {
			return fmt.Errorf("a measure for class %q, which does not exist", measure.Class)
		}
		if err := measure.check(); err != nil {
			return fmt.Errorf("%s: %w", measure.Class, err)
		}
		if measure.Tenants == nil {
			shed[measure.Class] = max(shed[measure.Class], measure.Shed)
		}
	}
	return nil
}

// check checks that the values of a measure are in range and that it has an effect.
func (m *Measure) check() error {
	switch {
	case m.Shed < 0 || m.Shed > 1:
		return fmt.Errorf("shed: want 0 to 1, got %v", m.Shed)
	case m.FollowDemand && m.Shed == 0:
		return fmt.Errorf("follow: needs shed, the largest fraction that may be shed")
	case m.MaxQueueTime < 0:
		return fmt.Errorf("hold: want 0 or more, got %v", m.MaxQueueTime)
	case m.MaxAttempts < 0:
		return fmt.Errorf("attempts: want 0 or more, got %d", m.MaxAttempts)
	case m.isEmpty():
		return fmt.Errorf("the measure has no effect")
	}
	return nil
}

// isEmpty reports whether a measure has no effect.
func (m *Measure) isEmpty() bool {
	return m.Shed == 0 && !m.NoHedging && m.MaxAttempts == 0 && !m.WithinQuota && m.MaxQueueTime == 0 && !m.ZoneLocal
}

// checkShedLast checks that no class with ShedLast is shed more than a class without it.
func (c *Config) checkShedLast(shed map[string]float64) error {
	for _, last := range c.Classes {
		for _, other := range c.Classes {
			if last.ShedLast && !other.ShedLast && shed[last.Name] > shed[other.Name] {
				return fmt.Errorf("it sheds %.4g of the guarded class %s, and only %.4g of %s, which is not guarded",
					shed[last.Name], last.Name, shed[other.Name], other.Name)
			}
		}
	}
	return nil
}
