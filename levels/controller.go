package levels

import (
	"fmt"
	"slices"
	"time"
)

const (
	defaultMinInterval = 30 * time.Second // used if Config.MinInterval is 0
	maxEvents          = 100              // older events are dropped
	fullServiceName    = "full"
)

// Controller chooses the level of one node. It is not safe for concurrent use. The times passed to its methods must
// not decrease.
type Controller struct {
	config Config

	level      int // number of the level in force; 0: full service
	reason     string
	changedAt  time.Duration
	hasChanged bool           // whether changedAt is set
	history    []levelHistory // by level number
	events     []Event
	maxLevel   int // highest level that conditions may enter; negative: no limit

	manual      bool          // whether an operator has set the level
	manualUntil time.Duration // end of the manual level; 0: until ReleaseManual

	// During an exit probe, half of the load that only the level in force sheds is admitted.
	exitProbing    bool
	exitProbeStart time.Duration

	signals            map[signalKey]float64
	capacity           float64                  // estimated work per second that servers complete in time
	conditionHeldSince map[string]time.Duration // by condition text: time since which the condition has held
	shed               [][]float64              // by level and measure: fraction that is shed now
}

// levelHistory records when a level was last left, and its minimum time in force.
type levelHistory struct {
	minStayFactor float64 // minimum time in force, as a multiple of MinInterval
	leftAt        time.Duration
	hasLeft       bool // whether leftAt is set
}

// New returns a controller at full service. It returns a *ConfigError if the configuration is invalid.
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

// Level returns the number of the level in force (0: full service), its name, and the reason of the last change.
func (c *Controller) Level() (level int, name, reason string) {
	return c.level, c.config.levelName(c.level), c.reason
}

// Events returns the last 100 changes of the level, oldest first. Callers must not modify the slice.
func (c *Controller) Events() []Event { return c.events }

// Value returns the smoothed value of signal for class. An empty class means all classes together.
func (c *Controller) Value(signal Signal, class string) float64 {
	return c.signals[signalKey{signal, class}]
}

// MaxLevel returns the highest level that conditions may enter; -1 means no limit.
func (c *Controller) MaxLevel() int { return c.maxLevel }

// DryRun reports whether levels are decided and counted, but not applied to requests.
func (c *Controller) DryRun() bool { return c.config.DryRun }

// ExitProbing reports whether the exit of the level in force is being probed.
func (c *Controller) ExitProbing() bool { return c.exitProbing }

// ExitConditions describes the conditions for leaving the level in force, with the current values of their signals.
// It returns nil at full service.
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

// SetManual sets the level on behalf of the operator requestedBy. Conditions do not change the level until duration
// has passed or ReleaseManual is called. A duration of 0 has no end.
func (c *Controller) SetManual(now time.Duration, level int, duration time.Duration, requestedBy, reason string) error {
	if level < 0 || level > len(c.config.Levels) {
		return fmt.Errorf("want a level from 0 to %d, got %d", len(c.config.Levels), level)
	}
	c.manual, c.manualUntil, c.exitProbing = true, 0, false
	if duration > 0 {
		c.manualUntil = now + duration
	}
	c.changeTo(now, level, fmt.Sprintf("by hand of %s: %s", requestedBy, reason))
	return nil
}

// ReleaseManual lets conditions change the level again, starting from the level in force.
func (c *Controller) ReleaseManual() { c.manual = false }

// SetMaxLevel sets the highest level that conditions may enter. A negative maxLevel removes the limit. A higher level
// in force is lowered to maxLevel immediately, unless an operator has set it.
func (c *Controller) SetMaxLevel(now time.Duration, maxLevel int, requestedBy, reason string) error {
	if maxLevel > len(c.config.Levels) {
		return fmt.Errorf("want a level from 0 to %d, or -1 for no limit, got %d", len(c.config.Levels), maxLevel)
	}
	c.maxLevel = maxLevel
	if maxLevel >= 0 && c.level > maxLevel && !c.manual {
		c.exitProbing = false
		c.changeTo(now, maxLevel, fmt.Sprintf("levels beyond %d forbidden by %s: %s", maxLevel, requestedBy, reason))
	}
	return nil
}

// changeTo changes the level. If the level is already in force, it only changes the reason.
func (c *Controller) changeTo(now time.Duration, level int, reason string) {
	former := c.level
	if former == level {
		c.reason = reason
		return
	}
	c.level, c.changedAt, c.hasChanged = level, now, true
	clear(c.conditionHeldSince) // under the new level, conditions must hold for their whole duration again
	c.record(Event{At: now, From: former, To: level, Name: c.config.levelName(level), Reason: reason})
}

// record appends an event. It drops the oldest event if there are more than maxEvents.
func (c *Controller) record(event Event) {
	c.reason = event.Reason
	c.events = append(c.events, event)
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[1:])
	}
}

// levelName returns the name of the level with the given number.
func (c *Config) levelName(level int) string {
	if level == 0 {
		return fullServiceName
	}
	return c.Levels[level-1].Name
}

// levelOf returns the number of the level with the given name, or 0 if there is none.
func (c *Config) levelOf(name string) int {
	return slices.IndexFunc(c.Levels, func(level Level) bool { return level.Name == name }) + 1
}
