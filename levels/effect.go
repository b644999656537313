package levels

import (
	"slices"
	"time"
)

// Effect is the effect of the level in force on the requests of a class and a tenant. Measure describes the fields of
// the same names.
type Effect struct {
	Shed         float64 // fraction of the requests that are rejected immediately, 0 to 1
	NoHedging    bool
	MaxAttempts  int // 0: the level sets no limit
	WithinQuota  bool
	MaxQueueTime time.Duration // 0: the level sets no limit
	ZoneLocal    bool
}

// Effect returns the effect of the level in force on requests of class and tenant. If several measures apply, each
// field has the strictest value of these measures.
func (c *Controller) Effect(class, tenant string) Effect {
	var effect Effect
	passed := 1.0 // fraction of requests that are not shed
	for i := range c.level {
		for j := range c.config.Levels[i].Measures {
			measure := &c.config.Levels[i].Measures[j]
			if !measure.appliesTo(class, tenant) {
				continue
			}
			shed := c.shed[i][j]
			probed := c.exitProbing && i == c.level-1
			if probed && 1-shed < passed { // half of the load that only this level sheds is admitted
				shed -= (shed - (1 - passed)) / 2
			}
			passed = min(passed, 1-shed)
			effect.tighten(measure)
		}
	}
	effect.Shed = 1 - passed
	return effect
}

func (m *Measure) appliesTo(class, tenant string) bool {
	return m.Class == class && (m.Tenants == nil || slices.Contains(m.Tenants, tenant))
}

// tighten applies the limits of measure that are stricter than those of e.
func (e *Effect) tighten(measure *Measure) {
	e.ZoneLocal = e.ZoneLocal || measure.ZoneLocal
	e.NoHedging = e.NoHedging || measure.NoHedging
	e.WithinQuota = e.WithinQuota || measure.WithinQuota
	e.MaxQueueTime = lowerLimit(e.MaxQueueTime, measure.MaxQueueTime)
	e.MaxAttempts = lowerLimit(e.MaxAttempts, measure.MaxAttempts)
}

// lowerLimit returns the lower of two limits; 0 means no limit.
func lowerLimit[T int | time.Duration](current, limit T) T {
	if limit > 0 && (current == 0 || limit < current) {
		return limit
	}
	return current
}
