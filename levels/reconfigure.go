package levels

import (
	"fmt"
	"time"
)

// Reconfigure replaces the configuration. A level in force stays in force if the new configuration has a level of the
// same name. If it has none, the controller changes to the nearest lower level whose name exists in the new
// configuration, or to full service. Shedding therefore does not increase. changed reports whether the controller
// changed to another level.
//
// Signals, events and the maximum level are kept. The time of the last change and a manual level are kept if the
// level in force stays. An exit probe ends, and conditions must hold for their whole duration again. If the
// configuration is invalid, Reconfigure returns a *ConfigError and changes nothing.
func (c *Controller) Reconfigure(now time.Duration, config Config) (changed bool, err error) {
	next, err := New(config)
	if err != nil {
		return false, err
	}
	next.inherit(c)
	formerName := c.config.levelName(c.level)
	for level := c.level; level > 0 && next.level == 0; level-- {
		next.level = config.levelOf(c.config.levelName(level))
	}
	keepsLevel := c.level == 0 || next.level > 0 && config.levelName(next.level) == formerName
	if c.manual && keepsLevel {
		next.manual, next.manualUntil = true, c.manualUntil
	}
	if !keepsLevel {
		next.changedAt, next.hasChanged = now, true
		next.record(Event{
			At: now, From: c.level, To: next.level, Name: config.levelName(next.level),
			Reason: fmt.Sprintf("a reload: there is no level %q any more", formerName),
		})
	}
	*c = *next
	c.updateShed()
	return !keepsLevel, nil
}

// inherit copies the state of former that is kept when the configuration is replaced.
func (c *Controller) inherit(former *Controller) {
	c.changedAt, c.hasChanged = former.changedAt, former.hasChanged
	c.capacity, c.signals = former.capacity, former.signals
	c.events, c.reason = former.events, former.reason
	c.maxLevel = min(former.maxLevel, len(c.config.Levels))
	for i := range former.config.Levels {
		if level := c.config.levelOf(former.config.Levels[i].Name); level > 0 {
			c.history[level] = former.history[i+1]
		}
	}
}
