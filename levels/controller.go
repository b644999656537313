package levels

import (
	"fmt"
	"slices"
	"time"
)

const (
	defaultMinInterval = 30 * time.Second // of Config.MinInterval
	maxEvents          = 100              // that are kept
	fullServiceName    = "full"
)

// Controller is the state of one node. It is not safe for concurrent use. Times must not go back.
type Controller struct {
	config Config

	level      int // in force; 0: full service
	reason     string
	changedAt  time.Duration
	hasChanged bool           // changedAt is set
	history    []levelHistory // by level
	events     []Event
	maxLevel   int // levels beyond it are not entered by their conditions; negative: all may be

	manual      bool          // an operator has set the level
	manualUntil time.Duration // 0: until ReleaseManual

	// While the exit of the level is probed, half of the load that it sheds beyond the levels before it passes.
	exitProbing    bool
	exitProbeStart time.Duration

	signals            map[signalKey]float64
	capacity           float64                  // work a second that servers complete in time
	conditionHeldSince map[string]time.Duration // since when conditions hold without a break, by their texts
	shed               [][]float64              // by level and measure: the fraction that it sheds now
}

// levelHistory is the remembered state of a level.
type levelHistory struct {
	minStayFactor float64 // how many times MinInterval it stays at least
	leftAt        time.Duration
	hasLeft       bool // leftAt is set
}

// New returns a controller at full service. Its errors are of type *ConfigError.
func New(config Config) (*Controller, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	if config.MinInterval == 0 {
		config.MinInterval = defaultMinInterval
	}
	controller := &Controller{
		config:             config,
		reason:             "the start",
		history:            make([]levelHistory, len(config.Levels)+1),
		maxLevel:           -1,
		signals:            make(map[signalKey]float64),
		conditionHeldSince: make(map[string]time.Duration),
	}
	for i := range controller.history {
		controller.history[i].minStayFactor = 1
	}
	for _, level := range config.Levels {
		controller.shed = append(controller.shed, make([]float64, len(level.Measures)))
	}
	controller.updateShed()
	return controller, nil
}

// Level returns the level in force, 0 for full service, its name, and the reason for it.
func (c *Controller) Level() (level int, name, reason string) {
	return c.level, c.config.levelName(c.level), c.reason
}

// Events returns the last changes, oldest first; 100 at most. They must not be changed.
func (c *Controller) Events() []Event { return c.events }

// Value returns a signal as conditions see it now; class is empty for that of all classes together.
func (c *Controller) Value(signal Signal, class string) float64 {
	return c.signals[signalKey{signal, class}]
}

// MaxLevel returns the last level that may be entered; -1: all may be.
func (c *Controller) MaxLevel() int { return c.maxLevel }

// DryRun reports whether levels change nothing for requests.
func (c *Controller) DryRun() bool { return c.config.DryRun }

// ExitProbing reports whether the exit of the level in force is being probed.
func (c *Controller) ExitProbing() bool { return c.exitProbing }

// ExitConditions describes what would end the level in force, a condition each; nothing at full service.
func (c *Controller) ExitConditions() (descriptions []string) {
	if c.level == 0 {
		return nil
	}
	for _, condition := range c.config.Levels[c.level-1].Exit {
		descriptions = append(descriptions, fmt.Sprintf("%s below %.4g for %v (now %.4g)",
			condition.label(), condition.Threshold, condition.For, c.value(condition)))
	}
	return descriptions
}

// SetManual puts a level in force on behalf of an operator, for a while; 0: until ReleaseManual.
func (c *Controller) SetManual(now time.Duration, level int, duration time.Duration, who, why string) error {
	if level < 0 || level > len(c.config.Levels) {
		return fmt.Errorf("want a level from 0 to %d, got %d", len(c.config.Levels), level)
	}
	c.manual, c.manualUntil, c.exitProbing = true, 0, false
	if duration > 0 {
		c.manualUntil = now + duration
	}
	c.changeTo(now, level, fmt.Sprintf("by hand of %s: %s", who, why))
	return nil
}

// ReleaseManual leaves the level to the conditions again, from where it stands.
func (c *Controller) ReleaseManual() { c.manual = false }

// SetMaxLevel keeps conditions from entering levels beyond one, and leaves such levels; negative: all may be entered.
// A level that an operator has set stays.
func (c *Controller) SetMaxLevel(now time.Duration, maxLevel int, who, why string) error {
	if maxLevel > len(c.config.Levels) {
		return fmt.Errorf("want a level from 0 to %d, or -1 for none, got %d", len(c.config.Levels), maxLevel)
	}
	c.maxLevel = maxLevel
	if maxLevel >= 0 && c.level > maxLevel && !c.manual {
		c.exitProbing = false
		c.changeTo(now, maxLevel, fmt.Sprintf("levels beyond %d forbidden by %s: %s", maxLevel, who, why))
	}
	return nil
}

// changeTo puts a level in force, or only sets the reason where it is already.
func (c *Controller) changeTo(now time.Duration, level int, reason string) {
	former := c.level
	if former == level {
		c.reason = reason
		return
	}
	c.level, c.changedAt, c.hasChanged = level, now, true
	clear(c.conditionHeldSince) // what conditions saw was under another level
	c.record(Event{At: now, From: former, To: level, Name: c.config.levelName(level), Reason: reason})
}

// record keeps a change.
func (c *Controller) record(event Event) {
	c.reason = event.Reason
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[1:])
	}
}

// levelName returns the name of a level.
func (c *Config) levelName(level int) string {
	if level == 0 {
		return fullServiceName
	}
	return c.Levels[level-1].Name
}

// levelOf returns the level of a name; 0 where there is none.
func (c *Config) levelOf(name string) int {
	return slices.IndexFunc(c.Levels, func(level Level) bool { return level.Name == name }) + 1
}
