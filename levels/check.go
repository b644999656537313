package levels

import (
	"fmt"
	"slices"
)

// ConfigError names the level and what is wrong with it.
type ConfigError struct {
	Level   int // from 0 on, in the order of the configuration; -1 where none is to blame
	Problem string
}

func (e *ConfigError) Error() string {
	if e.Level < 0 {
		return e.Problem
	}
	return fmt.Sprintf("level %d: %s", e.Level+1, e.Problem)
}

// check says what in a ladder makes no sense.
func (c *Config) check() error {
	names := make(map[string]bool)
	shed := make(map[string]float64) // by class, of all tenants, so far
	for i, l := range c.Levels {
		bad := func(format string, args ...any) error { return &ConfigError{i, fmt.Sprintf(format, args...)} }
		switch {
		case l.Name == "" || l.Name == "full":
			return bad("name: want one of its own, got %q", l.Name)
		case names[l.Name]:
			return bad("name: %q is there twice", l.Name)
		case len(l.Enter) == 0:
			return bad("it is never entered: there is no condition for it")
		case len(l.Exit) == 0:
			return bad("it is never left: there is no condition for it")
		case len(l.Measures) == 0:
			return bad("it does nothing: there is no measure")
		}
		names[l.Name] = true
		for _, set := range [][]Condition{l.Enter, l.Exit} {
			for _, k := range set {
				if k.Threshold < 0 || k.For < 0 {
					return bad("%v: want a bound and a time of 0 or more", k)
				}
				if k.Class != "" && !slices.ContainsFunc(c.Classes, func(x Class) bool { return x.Name == k.Class }) {
					return bad("%v: there is no such class", k)
				}
			}
		}
		for _, in := range l.Enter {
			for _, out := range l.Exit {
				if in.Signal == out.Signal && in.Class == out.Class && out.Threshold >= in.Threshold {
					return bad("it is left below %.4g of %s and entered above %.4g: want the exit below the entry", out.Threshold, out.label(), in.Threshold)
				}
			}
		}
		if i > 0 {
			for _, in := range l.Enter {
				for _, before := range c.Levels[i-1].Enter {
					if in.Signal == before.Signal && in.Class == before.Class && in.Threshold < before.Threshold && in.For <= before.For {
						return bad("it can't be reached on its own: the level before it is entered above %.4g of %s, later than this one above %.4g", before.Threshold, in.label(), in.Threshold)
					}
				}
			}
		}
		for _, m := range l.Measures {
			k := slices.IndexFunc(c.Classes, func(x Class) bool { return x.Name == m.Class })
			switch {
			case k < 0:
				return bad("a measure for class %q, which there is not", m.Class)
			case m.Shed < 0 || m.Shed > 1:
				return bad("%s: shed: want 0 to 1, got %v", m.Class, m.Shed)
			case m.FollowDemand && m.Shed == 0:
				return bad("%s: follow: shed says how much it may shed at most", m.Class)
			case m.MaxQueueTime < 0:
				return bad("%s: hold: want 0 or more, got %v", m.Class, m.MaxQueueTime)
			case m.MaxAttempts < 0:
				return bad("%s: attempts: want 0 or more, got %d", m.Class, m.MaxAttempts)
			case m.Shed == 0 && !m.NoHedging && m.MaxAttempts == 0 && !m.WithinQuota && m.MaxQueueTime == 0 && !m.ZoneLocal:
				return bad("%s: the measure does nothing", m.Class)
			}
			if m.Tenants == nil {
				shed[m.Class] = max(shed[m.Class], m.Shed)
			}
		}
		for _, g := range c.Classes {
			for _, u := range c.Classes {
				if g.ShedLast && !u.ShedLast && shed[g.Name] > shed[u.Name] {
					return bad("it sheds %.4g of %s, which is guarded, and %.4g of %s, which is not", shed[g.Name], g.Name, shed[u.Name], u.Name)
				}
			}
		}
	}
	return nil
}
