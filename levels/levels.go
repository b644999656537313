// Package levels decides at which level of service a node works: what of the offered work it sheds, and what it may
// spend on the rest, while servers can't carry all. It does no I/O and reads no clock: figures and times in, a
// level with its reason out. The buckets of the module stay as they are; a level is applied before they are asked.
package levels

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Signal is a figure that conditions go by.
type Signal uint8

// The signals. Each is of the last second, smoothed.
const (
	// Demand is the work offered, what was shed included, over the work that servers have lately been seen to
	// carry in time. What a level sheds does not lower it: so no level ends by its own effect.
	Demand Signal = iota
	// SlowAnswers is the part of answers that came after their aim, or not at all.
	SlowAnswers
	// Queued is the requests that wait for a server, in parts of those that are open.
	Queued
)

var signalNames = [...]string{"demand", "slow", "held"}

// String names the signal as configurations do.
func (s Signal) String() string { return signalNames[s] }

// Condition holds once a signal has been beyond a bound for a while.
type Condition struct {
	Signal    Signal
	Class     string // of this class alone; empty: of all
	Threshold float64
	For       time.Duration
}

func (c Condition) String() string {
	of := ""
	if c.Class != "" {
		of = " of " + c.Class
	}
	return fmt.Sprintf("%v%s %.4g for %v", c.Signal, of, c.Threshold, c.For)
}

// Measure is what a level does to the requests of a class.
type Measure struct {
	Class       string
	Tenants     []string // of these tenants alone; nil: of all
	Shed        float64  // part that is refused at once, 0 to 1
	NoHedging   bool     // no second copies
	MaxAttempts int      // at most so many; 0: as many as the settings allow
	WithinQuota bool     // what a tenant sends beyond its share is refused
	// MaxQueueTime is for how long a request waits for a server at most; 0: as ever.
	MaxQueueTime time.Duration
	ZoneLocal    bool // none crosses zones while the node's own has a server
	// FollowDemand has Shed be the most: of the class so much is shed as demand lacks, second by second, after the measures
	// before this one. Demand counts what is shed, so it does not swing by that.
	FollowDemand bool
}

// Level is one step of reduced service.
type Level struct {
	Name     string
	Enter    []Condition // any of them, above its bound
	Exit     []Condition // all of them, below their bounds
	Measures []Measure   // beside those of the levels before it
}

// Class is what must be known of a class to check a ladder.
type Class struct {
	Name     string
	ShedLast bool // it is to be shed last
}

// Config is a ladder: service is full at 0, and each level adds to the one before it.
type Config struct {
	Levels  []Level
	Classes []Class
	DryRun  bool // levels are decided on and counted, and change nothing for requests
	// MinInterval is the time between two changes of the level; 0: 30 s. A level that is entered again soon after its
	// end stays for twice as long, and so on up to eight times: load that hovers at a bound does not swing it.
	MinInterval time.Duration
}

// Event is one change of the level.
type Event struct {
	At       time.Duration
	From, To int
	Name     string // of To; "full" for 0
	Reason   string
}

// Window is what a node has counted for one class in one second.
type Window struct {
	Offered float64 // requests, shed ones included
	Shed    float64 // by a level
	Work    float64 // mean of a request, in any unit that is the same for all classes
	OnTime  float64 // answers within their aim
	Late    float64 // answers after it, and requests that failed or were refused for want of a server
	Queued  float64 // requests that wait for a server, at the end of the second
	Open    float64 // requests without their answer, at the end of the second
}

const (
	smoothing          = 0.25            // weight of the newest second
	capacityDecay      = 0.02            // by which the work that can be carried is forgotten each second
	saturatedSlowRatio = 0.15            // part of slow answers from which servers show what they carry
	reentryWindow      = 2 * time.Minute // after its end, a level that is entered again was left too early
	maxStayFactor      = 8
	defaultMinInterval = 30 * time.Second // default of Config.Least
	maxEvents          = 100
	fullDemand         = 1.0 // demand that measures that follow leave: what servers carry
	// exitProbeTime is how long half of what a level sheds is let in before the level ends: some seconds of the smoothed
	// figures, so that they show it.
	exitProbeTime = 5 * time.Second
)

// Controller is the state of one node. It isn't safe for concurrent use. Make one with New.
type Controller struct {
	config         Config
	level          int
	changedAt      time.Duration // of the level; 0 before the first change
	hasChanged     bool
	heldSince      map[string]time.Duration // since when conditions hold, by their texts
	shed           [][]float64              // by level and measure: what it sheds now
	stayFactor     []float64                // by level: how much longer it stays
	leftAt         []time.Duration          // by level: when it ended last
	hasLeft        []bool
	capacity       float64 // work a second that servers carry in time
	signals        map[signalKey]float64
	events         []Event
	exitProbing    bool          // the way out is tried: the level in force sheds half of what it adds
	exitProbeStart time.Duration // since when
	maxLevel       int           // levels beyond it are not entered; negative: all may be
	manual         bool
	manualUntil    time.Duration
	reason         string
}

type signalKey struct {
	signal Signal
	class  string
}

// New returns a ladder at full service.
func New(c Config) (*Controller, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.MinInterval == 0 {
		c.MinInterval = defaultMinInterval
	}
	n := len(c.Levels) + 1
	l := &Controller{
		config: c, heldSince: make(map[string]time.Duration), stayFactor: make([]float64, n), leftAt: make([]time.Duration, n), hasLeft: make([]bool, n),
		signals: make(map[signalKey]float64), reason: "the start", maxLevel: -1,
	}
	for i := range l.stayFactor {
		l.stayFactor[i] = 1
	}
	for _, level := range c.Levels {
		l.shed = append(l.shed, make([]float64, len(level.Measures)))
	}
	l.updateShed()
	return l, nil
}

// Reconfigure puts another ladder in the place of this one, while it stands. A level goes on if the new ladder has one of its
// name, else the nearest below it does: a reload sheds no more than what was shed, and no less by accident. What
// was seen, the time since the last change and what is set by hand go on; the level's conditions begin anew. moved tells
// that the level is another one now.
func (l *Controller) Reconfigure(now time.Duration, c Config) (moved bool, err error) {
	next, err := New(c)
	if err != nil {
		return false, err
	}
	at := func(name string) int {
		return slices.IndexFunc(c.Levels, func(x Level) bool { return x.Name == name }) + 1
	}
	next.maxLevel = min(l.maxLevel, len(c.Levels))
	defer func() { l.updateShed() }()
	next.changedAt, next.hasChanged, next.capacity, next.signals, next.events, next.reason = l.changedAt, l.hasChanged, l.capacity, l.signals, l.events, l.reason
	for i := range l.config.Levels {
		if n := at(l.config.Levels[i].Name); n > 0 {
			next.stayFactor[n], next.leftAt[n], next.hasLeft[n] = l.stayFactor[i+1], l.leftAt[i+1], l.hasLeft[i+1]
		}
	}
	was := l.name(l.level)
	for n := l.level; n > 0 && next.level == 0; n-- {
		next.level = at(l.name(n))
	}
	stays := l.level == 0 || next.level > 0 && next.name(next.level) == was
	if next.manual = l.manual && stays; next.manual {
		next.manualUntil = l.manualUntil
	}
	if !stays {
		next.changedAt, next.hasChanged = now, true
		next.record(Event{now, l.level, next.level, next.name(next.level), fmt.Sprintf("a reload: there is no level %q any more", was)})
	}
	*l = *next
	return !stays, nil
}

// record keeps a change.
func (l *Controller) record(e Event) {
	l.reason = e.Reason
	if l.events = append(l.events, e); len(l.events) > maxEvents {
		l.events = slices.Clone(l.events[1:])
	}
}

// Level is the level in force, 0 for full service, with the reason for it.
func (l *Controller) Level() (n int, name, reason string) { return l.level, l.name(l.level), l.reason }

func (l *Controller) name(n int) string {
	if n == 0 {
		return "full"
	}
	return l.config.Levels[n-1].Name
}

// Events are the last changes, oldest first.
func (l *Controller) Events() []Event { return l.events }

// Value is a signal as conditions see it now.
func (l *Controller) Value(s Signal, class string) float64 { return l.signals[signalKey{s, class}] }

// SetManual has an operator put a level in force for a while; 0 for the time: until Release.
func (l *Controller) SetManual(now time.Duration, level int, d time.Duration, who, why string) error {
	if level < 0 || level > len(l.config.Levels) {
		return fmt.Errorf("want a level from 0 to %d, got %d", len(l.config.Levels), level)
	}
	l.manual, l.manualUntil, l.exitProbing = true, 0, false
	if d > 0 {
		l.manualUntil = now + d
	}
	l.changeTo(now, level, fmt.Sprintf("by hand of %s: %s", who, why))
	return nil
}

// ReleaseManual gives the level back to the conditions, from where it stands.
func (l *Controller) ReleaseManual() { l.manual = false }

// SetMaxLevel has no level beyond most entered, by its conditions, and leaves those that are; negative: all are allowed.
func (l *Controller) SetMaxLevel(now time.Duration, most int, who, why string) error {
	if most > len(l.config.Levels) {
		return fmt.Errorf("want a level from 0 to %d, or -1 for none, got %d", len(l.config.Levels), most)
	}
	l.maxLevel = most
	if most >= 0 && l.level > most && !l.manual {
		l.exitProbing = false
		l.changeTo(now, most, fmt.Sprintf("levels beyond %d forbidden by %s: %s", most, who, why))
	}
	return nil
}

// MaxLevel is the last level that may be entered; -1: all may be.
func (l *Controller) MaxLevel() int { return l.maxLevel }

// DryRun tells whether levels change nothing for requests.
func (l *Controller) DryRun() bool { return l.config.DryRun }

// ExitProbing tells whether the way out of the level in force is being tried.
func (l *Controller) ExitProbing() bool { return l.exitProbing }

// ExitConditions says what would end the level in force, a condition each; nothing at full service.
func (l *Controller) ExitConditions() (all []string) {
	if l.level == 0 {
		return nil
	}
	for _, c := range l.config.Levels[l.level-1].Exit {
		all = append(all, fmt.Sprintf("%s below %.4g for %v (now %.4g)", c.label(), c.Threshold, c.For, l.signals[signalKey{c.Signal, c.Class}]))
	}
	return all
}

// Step takes one second's counts in, by class, and moves by one level at the most.
func (l *Controller) Step(now time.Duration, seconds map[string]Window) {
	l.updateSignals(seconds)
	if l.manual && (l.manualUntil == 0 || now < l.manualUntil) {
		return
	}
	l.manual = false
	if up := l.level; up < len(l.config.Levels) && (l.maxLevel < 0 || up < l.maxLevel) {
		if why, ok := l.anyHolds(now, l.config.Levels[up].Enter); ok && l.mayChange(now, 1) {
			if l.hasLeft[up+1] && now-l.leftAt[up+1] < reentryWindow {
				l.stayFactor[up+1] = min(maxStayFactor, 2*l.stayFactor[up+1])
			} else if l.hasLeft[up+1] {
				l.stayFactor[up+1] = 1
			}
			l.exitProbing = false
			l.changeTo(now, up+1, why)
			return
		}
	}
	if l.level > 0 {
		why, ok := l.allHold(now, l.config.Levels[l.level-1].Exit)
		switch {
		case l.exitProbing && l.anyExceeded(l.config.Levels[l.level-1].Exit): // half was too much: all of it would be
			l.exitProbing = false
		case l.exitProbing && now-l.exitProbeStart >= exitProbeTime && ok:
			l.exitProbing = false
			l.leftAt[l.level], l.hasLeft[l.level] = now, true
			l.changeTo(now, l.level-1, why)
		case !l.exitProbing && ok && l.mayChange(now, l.stayFactor[l.level]):
			l.exitProbing, l.exitProbeStart = true, now
		}
	}
}

// anyExceeded tells whether one of the conditions does not hold at this moment.
func (l *Controller) anyExceeded(all []Condition) bool {
	return slices.ContainsFunc(all, func(c Condition) bool { return l.signals[signalKey{c.Signal, c.Class}] >= c.Threshold })
}

// mayChange tells whether the last change is long enough ago.
func (l *Controller) mayChange(now time.Duration, factor float64) bool {
	return !l.hasChanged || now-l.changedAt >= time.Duration(factor*float64(l.config.MinInterval))
}

func (l *Controller) changeTo(now time.Duration, level int, why string) {
	from := l.level
	if from == level {
		l.reason = why
		return
	}
	l.level, l.changedAt, l.hasChanged = level, now, true
	clear(l.heldSince) // conditions begin anew: what they saw was under another level
	l.record(Event{now, from, level, l.name(level), why})
}

// updateSignals turns counts into signals.
func (l *Controller) updateSignals(seconds map[string]Window) {
	var offered, done, slow, answers, held, open float64
	for _, c := range l.config.Classes {
		s := seconds[c.Name]
		offered += s.Offered * s.Work
		done += s.OnTime * s.Work
		slow += s.Late
		answers += s.OnTime + s.Late
		held += s.Queued
		open += s.Open
		l.smoothSignal(signalKey{SlowAnswers, c.Name}, ratio(s.Late, s.OnTime+s.Late))
		l.smoothSignal(signalKey{Queued, c.Name}, ratio(s.Queued, s.Open))
	}
	l.smoothSignal(signalKey{SlowAnswers, ""}, ratio(slow, answers))
	l.smoothSignal(signalKey{Queued, ""}, ratio(held, open))
	// What servers carry shows where they are pushed: the most that was done in time lately, less as that grows
	// old; and no more than what is done now, where much of it comes late.
	l.capacity *= 1 - capacityDecay
	if full := l.signals[signalKey{SlowAnswers, ""}] > saturatedSlowRatio; full && l.capacity > done {
		l.capacity += smoothing * (done - l.capacity)
	}
	l.capacity = max(l.capacity, done)
	if l.signals[signalKey{SlowAnswers, ""}] <= saturatedSlowRatio { // nothing shows that they could not carry what is offered
		l.capacity = max(l.capacity, min(offered, 1.1*done))
	}
	l.smoothSignal(signalKey{Demand, ""}, ratio(offered, l.capacity))
	for _, c := range l.config.Classes {
		s := seconds[c.Name]
		l.smoothSignal(signalKey{Demand, c.Name}, ratio(s.Offered*s.Work, l.capacity))
	}
	l.updateShed()
}

// updateShed works out what each measure sheds: of those that follow, so much as is left of the demand beyond what servers
// carry.
func (l *Controller) updateShed() {
	left := l.signals[signalKey{Demand, ""}] - fullDemand
	done := make(map[string]float64) // part that is shed of a class so far
	for i := range l.config.Levels {
		for j := range l.config.Levels[i].Measures {
			m := &l.config.Levels[i].Measures[j]
			part := m.Shed
			offered := l.signals[signalKey{Demand, m.Class}]
			if m.FollowDemand {
				part = done[m.Class]
				if offered > 0 && left > 0 {
					part = min(m.Shed, part+left/offered)
				}
			}
			if more := part - done[m.Class]; more > 0 && m.Tenants == nil {
				done[m.Class] = part
				left -= more * offered
			}
			l.shed[i][j] = part
		}
	}
}

func (l *Controller) smoothSignal(k signalKey, v float64) {
	l.signals[k] += smoothing * (v - l.signals[k])
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// anyHolds tells whether one of the conditions of an entry has held for its time.
func (l *Controller) anyHolds(now time.Duration, all []Condition) (why string, ok bool) {
	for _, c := range all {
		if v := l.signals[signalKey{c.Signal, c.Class}]; l.heldLongEnough(now, "above "+c.String(), v > c.Threshold, c.For) && !ok {
			why, ok = fmt.Sprintf("%v above %.4g for %v: %.4g", c.label(), c.Threshold, c.For, v), true
		}
	}
	return why, ok
}

// allHold tells whether each of the conditions of an exit has held for its time.
func (l *Controller) allHold(now time.Duration, all []Condition) (why string, ok bool) {
	ok = len(all) > 0
	for _, c := range all {
		v := l.signals[signalKey{c.Signal, c.Class}]
		if !l.heldLongEnough(now, "below "+c.String(), v < c.Threshold, c.For) {
			ok = false
		}
		why = fmt.Sprintf("%v below %.4g for %v: %.4g", c.label(), c.Threshold, c.For, v)
	}
	return why, ok
}

func (c Condition) label() string {
	if c.Class != "" {
		return c.Signal.String() + " of " + c.Class
	}
	return c.Signal.String()
}

// heldLongEnough notes whether a condition heldLongEnough now, and tells whether it has for long enough.
func (l *Controller) heldLongEnough(now time.Duration, name string, yes bool, d time.Duration) bool {
	if !yes {
		delete(l.heldSince, name)
		return false
	}
	since, there := l.heldSince[name]
	if !there {
		since = now
		l.heldSince[name] = now
	}
	return now-since >= d
}

// Effect is what holds for a request at the level in force.
type Effect struct {
	Shed         float64 // part that is refused at once
	NoHedging    bool
	MaxAttempts  int // 0: no bound of the level's
	WithinQuota  bool
	MaxQueueTime time.Duration // 0: no bound of the level's
	ZoneLocal    bool
}

// Effect tells what holds for a class and a tenant: of several measures the strictest.
func (l *Controller) Effect(class, tenant string) Effect {
	var e Effect
	keep := 1.0
	for i := range l.level {
		for j := range l.config.Levels[i].Measures {
			m := &l.config.Levels[i].Measures[j]
			if m.Class != class || m.Tenants != nil && !slices.Contains(m.Tenants, tenant) {
				continue
			}
			shed := l.shed[i][j]
			if l.exitProbing && i == l.level-1 && 1-shed < keep { // half of what it sheds beyond the levels before it
				shed -= (shed - (1 - keep)) / 2
			}
			keep = math.Min(keep, 1-shed)
			e.ZoneLocal = e.ZoneLocal || m.ZoneLocal
			if m.MaxQueueTime > 0 && (e.MaxQueueTime == 0 || m.MaxQueueTime < e.MaxQueueTime) {
				e.MaxQueueTime = m.MaxQueueTime
			}
			e.NoHedging = e.NoHedging || m.NoHedging
			e.WithinQuota = e.WithinQuota || m.WithinQuota
			if m.MaxAttempts > 0 && (e.MaxAttempts == 0 || m.MaxAttempts < e.MaxAttempts) {
				e.MaxAttempts = m.MaxAttempts
			}
		}
	}
	e.Shed = 1 - keep
	return e
}
