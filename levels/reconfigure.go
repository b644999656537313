package levels

import (
	"fmt"
	"time"
)

// Reconfigure replaces the configuration. If the new configuration has a level with the name of the one in force,
// that level stays in force. Otherwise the controller changes to the nearest level before it that also exists in the
// new configuration, so that shedding does not increase. Signals, the time since the last change and operators'
// settings are kept; conditions have to hold for their whole time again. changed reports whether the level in force
// is now another one. If the configuration is invalid, Reconfigure returns a *ConfigError and changes nothing.
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

// inherit copies the state that is kept when the configuration is replaced.
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
