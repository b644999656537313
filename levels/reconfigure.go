package levels

import (
	"fmt"
	"time"
)

// Reconfigure puts another configuration in force. The level stays where the new configuration has one of its name;
// else the nearest level before it that the new one has is entered, so that shedding does not grow. Signals, the
// time since the last change and operators' settings are kept; conditions have to hold for their whole time again.
// changed reports that the level in force is another one. On an error, which is a *ConfigError, nothing has changed.
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
	stays := c.level == 0 || next.level > 0 && config.levelName(next.level) == formerName
	if c.manual && stays {
		next.manual, next.manualUntil = true, c.manualUntil
	}
	if !stays {
		next.changedAt, next.hasChanged = now, true
		next.record(Event{
			At: now, From: c.level, To: next.level, Name: config.levelName(next.level),
			Reason: fmt.Sprintf("a reload: there is no level %q any more", formerName),
		})
	}
	*c = *next
	c.updateShed()
	return !stays, nil
}

// inherit adopts the state that another configuration does not change.
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
