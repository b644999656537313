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
	// Slow is the part of answers that came after their aim, or not at all.
	Slow
	// Held is the requests that wait for a server, in parts of those that are open.
	Held
)

var signalNames = [...]string{"demand", "slow", "held"}

// String names the signal as configurations do.
func (s Signal) String() string { return signalNames[s] }

// Condition holds once a signal has been beyond a bound for a while.
type Condition struct {
	Signal Signal
	Class  string // of this class alone; empty: of all
	Bound  float64
	For    time.Duration
}

func (c Condition) String() string {
	of := ""
	if c.Class != "" {
		of = " of " + c.Class
	}
	return fmt.Sprintf("%v%s %.4g for %v", c.Signal, of, c.Bound, c.For)
}

// Measure is what a level does to the requests of a class.
type Measure struct {
	Class    string
	Tenants  []string // of these tenants alone; nil: of all
	Shed     float64  // part that is refused at once, 0 to 1
	NoCopies bool     // no second copies
	Attempts int      // at most so many; 0: as many as the settings allow
	InShare  bool     // what a tenant sends beyond its share is refused
	// Hold is for how long a request waits for a server at most; 0: as ever.
	Hold    time.Duration
	OwnZone bool // none crosses zones while the node's own has a server
	// Follow has Shed be the most: of the class so much is shed as demand lacks, second by second, after the measures
	// before this one. Demand counts what is shed, so it does not swing by that.
	Follow bool
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
	Name    string
	Guarded bool // it is to be shed last
}

// Config is a ladder: service is full at 0, and each level adds to the one before it.
type Config struct {
	Levels  []Level
	Classes []Class
	Dry     bool // levels are decided on and counted, and change nothing for requests
	// Least is the time between two changes of the level; 0: 30 s. A level that is entered again soon after its
	// end stays for twice as long, and so on up to eight times: load that hovers at a bound does not swing it.
	Least time.Duration
}

// Event is one change of the level.
type Event struct {
	At       time.Duration
	From, To int
	Name     string // of To; "full" for 0
	Reason   string
}

// Second is what a node has counted for one class in one second.
type Second struct {
	Offered float64 // requests, shed ones included
	Shed    float64 // by a level
	Work    float64 // mean of a request, in any unit that is the same for all classes
	OnTime  float64 // answers within their aim
	Late    float64 // answers after it, and requests that failed or were refused for want of a server
	Held    float64 // requests that wait for a server, at the end of the second
	Open    float64 // requests without their answer, at the end of the second
}

const (
	smooth     = 0.25            // weight of the newest second
	carryFall  = 0.02            // by which the work that can be carried is forgotten each second
	slowFull   = 0.15            // part of slow answers from which servers show what they carry
	soon       = 2 * time.Minute // after its end, a level that is entered again was left too early
	mostFactor = 8
	leastTime  = 30 * time.Second // default of Config.Least
	keptEvents = 100
	carried    = 1.0 // demand that measures that follow leave: what servers carry
	// probeFor is how long half of what a level sheds is let in before the level ends: some seconds of the smoothed
	// figures, so that they show it.
	probeFor = 5 * time.Second
)

// Ladder is the state of one node. It isn't safe for concurrent use. Make one with New.
type Ladder struct {
	c        Config
	level    int
	changed  time.Duration // of the level; 0 before the first change
	moved    bool
	held     map[string]time.Duration // since when conditions hold, by their texts
	parts    [][]float64              // by level and measure: what it sheds now
	factor   []float64                // by level: how much longer it stays
	left     []time.Duration          // by level: when it ended last
	wasLeft  []bool
	carries  float64 // work a second that servers carry in time
	figures  map[key]float64
	events   []Event
	probing  bool          // the way out is tried: the level in force sheds half of what it adds
	probed   time.Duration // since when
	most     int           // levels beyond it are not entered; negative: all may be
	byHand   bool
	handEnds time.Duration
	reason   string
}

type key struct {
	signal Signal
	class  string
}

// New returns a ladder at full service.
func New(c Config) (*Ladder, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.Least == 0 {
		c.Least = leastTime
	}
	n := len(c.Levels) + 1
	l := &Ladder{
		c: c, held: make(map[string]time.Duration), factor: make([]float64, n), left: make([]time.Duration, n), wasLeft: make([]bool, n),
		figures: make(map[key]float64), reason: "the start", most: -1,
	}
	for i := range l.factor {
		l.factor[i] = 1
	}
	for _, level := range c.Levels {
		l.parts = append(l.parts, make([]float64, len(level.Measures)))
	}
	l.share()
	return l, nil
}

// Adopt puts another ladder in the place of this one, while it stands. A level goes on if the new ladder has one of its
// name, else the nearest below it does: a reload sheds no more than what was shed, and no less by accident. What
// was seen, the time since the last change and what is set by hand go on; the level's conditions begin anew. moved tells
// that the level is another one now.
func (l *Ladder) Adopt(now time.Duration, c Config) (moved bool, err error) {
	next, err := New(c)
	if err != nil {
		return false, err
	}
	at := func(name string) int {
		return slices.IndexFunc(c.Levels, func(x Level) bool { return x.Name == name }) + 1
	}
	next.most = min(l.most, len(c.Levels))
	defer func() { l.share() }()
	next.changed, next.moved, next.carries, next.figures, next.events, next.reason = l.changed, l.moved, l.carries, l.figures, l.events, l.reason
	for i := range l.c.Levels {
		if n := at(l.c.Levels[i].Name); n > 0 {
			next.factor[n], next.left[n], next.wasLeft[n] = l.factor[i+1], l.left[i+1], l.wasLeft[i+1]
		}
	}
	was := l.name(l.level)
	for n := l.level; n > 0 && next.level == 0; n-- {
		next.level = at(l.name(n))
	}
	stays := l.level == 0 || next.level > 0 && next.name(next.level) == was
	if next.byHand = l.byHand && stays; next.byHand {
		next.handEnds = l.handEnds
	}
	if !stays {
		next.changed, next.moved = now, true
		next.note(Event{now, l.level, next.level, next.name(next.level), fmt.Sprintf("a reload: there is no level %q any more", was)})
	}
	*l = *next
	return !stays, nil
}

// note keeps a change.
func (l *Ladder) note(e Event) {
	l.reason = e.Reason
	if l.events = append(l.events, e); len(l.events) > keptEvents {
		l.events = slices.Clone(l.events[1:])
	}
}

// Level is the level in force, 0 for full service, with the reason for it.
func (l *Ladder) Level() (n int, name, reason string) { return l.level, l.name(l.level), l.reason }

func (l *Ladder) name(n int) string {
	if n == 0 {
		return "full"
	}
	return l.c.Levels[n-1].Name
}

// Events are the last changes, oldest first.
func (l *Ladder) Events() []Event { return l.events }

// Figure is a signal as conditions see it now.
func (l *Ladder) Figure(s Signal, class string) float64 { return l.figures[key{s, class}] }

// Set has an operator put a level in force for a while; 0 for the time: until Release.
func (l *Ladder) Set(now time.Duration, level int, d time.Duration, who, why string) error {
	if level < 0 || level > len(l.c.Levels) {
		return fmt.Errorf("want a level from 0 to %d, got %d", len(l.c.Levels), level)
	}
	l.byHand, l.handEnds, l.probing = true, 0, false
	if d > 0 {
		l.handEnds = now + d
	}
	l.to(now, level, fmt.Sprintf("by hand of %s: %s", who, why))
	return nil
}

// Release gives the level back to the conditions, from where it stands.
func (l *Ladder) Release() { l.byHand = false }

// Forbid has no level beyond most entered, by its conditions, and leaves those that are; negative: all are allowed.
func (l *Ladder) Forbid(now time.Duration, most int, who, why string) error {
	if most > len(l.c.Levels) {
		return fmt.Errorf("want a level from 0 to %d, or -1 for none, got %d", len(l.c.Levels), most)
	}
	l.most = most
	if most >= 0 && l.level > most && !l.byHand {
		l.probing = false
		l.to(now, most, fmt.Sprintf("levels beyond %d forbidden by %s: %s", most, who, why))
	}
	return nil
}

// Most is the last level that may be entered; -1: all may be.
func (l *Ladder) Most() int { return l.most }

// Dry tells whether levels change nothing for requests.
func (l *Ladder) Dry() bool { return l.c.Dry }

// Probing tells whether the way out of the level in force is being tried.
func (l *Ladder) Probing() bool { return l.probing }

// Lifts says what would end the level in force, a condition each; nothing at full service.
func (l *Ladder) Lifts() (all []string) {
	if l.level == 0 {
		return nil
	}
	for _, c := range l.c.Levels[l.level-1].Exit {
		all = append(all, fmt.Sprintf("%s below %.4g for %v (now %.4g)", c.label(), c.Bound, c.For, l.figures[key{c.Signal, c.Class}]))
	}
	return all
}

// Step takes one second's counts in, by class, and moves by one level at the most.
func (l *Ladder) Step(now time.Duration, seconds map[string]Second) {
	l.measure(seconds)
	if l.byHand && (l.handEnds == 0 || now < l.handEnds) {
		return
	}
	l.byHand = false
	if up := l.level; up < len(l.c.Levels) && (l.most < 0 || up < l.most) {
		if why, ok := l.any(now, l.c.Levels[up].Enter); ok && l.may(now, 1) {
			if l.wasLeft[up+1] && now-l.left[up+1] < soon {
				l.factor[up+1] = min(mostFactor, 2*l.factor[up+1])
			} else if l.wasLeft[up+1] {
				l.factor[up+1] = 1
			}
			l.probing = false
			l.to(now, up+1, why)
			return
		}
	}
	if l.level > 0 {
		why, ok := l.all(now, l.c.Levels[l.level-1].Exit)
		switch {
		case l.probing && l.beyond(l.c.Levels[l.level-1].Exit): // half was too much: all of it would be
			l.probing = false
		case l.probing && now-l.probed >= probeFor && ok:
			l.probing = false
			l.left[l.level], l.wasLeft[l.level] = now, true
			l.to(now, l.level-1, why)
		case !l.probing && ok && l.may(now, l.factor[l.level]):
			l.probing, l.probed = true, now
		}
	}
}

// beyond tells whether one of the conditions does not hold at this moment.
func (l *Ladder) beyond(all []Condition) bool {
	return slices.ContainsFunc(all, func(c Condition) bool { return l.figures[key{c.Signal, c.Class}] >= c.Bound })
}

// may tells whether the last change is long enough ago.
func (l *Ladder) may(now time.Duration, factor float64) bool {
	return !l.moved || now-l.changed >= time.Duration(factor*float64(l.c.Least))
}

func (l *Ladder) to(now time.Duration, level int, why string) {
	from := l.level
	if from == level {
		l.reason = why
		return
	}
	l.level, l.changed, l.moved = level, now, true
	clear(l.held) // conditions begin anew: what they saw was under another level
	l.note(Event{now, from, level, l.name(level), why})
}

// measure turns counts into signals.
func (l *Ladder) measure(seconds map[string]Second) {
	var offered, done, slow, answers, held, open float64
	for _, c := range l.c.Classes {
		s := seconds[c.Name]
		offered += s.Offered * s.Work
		done += s.OnTime * s.Work
		slow += s.Late
		answers += s.OnTime + s.Late
		held += s.Held
		open += s.Open
		l.track(key{Slow, c.Name}, ratio(s.Late, s.OnTime+s.Late))
		l.track(key{Held, c.Name}, ratio(s.Held, s.Open))
	}
	l.track(key{Slow, ""}, ratio(slow, answers))
	l.track(key{Held, ""}, ratio(held, open))
	// What servers carry shows where they are pushed: the most that was done in time lately, less as that grows
	// old; and no more than what is done now, where much of it comes late.
	l.carries *= 1 - carryFall
	if full := l.figures[key{Slow, ""}] > slowFull; full && l.carries > done {
		l.carries += smooth * (done - l.carries)
	}
	l.carries = max(l.carries, done)
	if l.figures[key{Slow, ""}] <= slowFull { // nothing shows that they could not carry what is offered
		l.carries = max(l.carries, min(offered, 1.1*done))
	}
	l.track(key{Demand, ""}, ratio(offered, l.carries))
	for _, c := range l.c.Classes {
		s := seconds[c.Name]
		l.track(key{Demand, c.Name}, ratio(s.Offered*s.Work, l.carries))
	}
	l.share()
}

// share works out what each measure sheds: of those that follow, so much as is left of the demand beyond what servers
// carry.
func (l *Ladder) share() {
	left := l.figures[key{Demand, ""}] - carried
	done := make(map[string]float64) // part that is shed of a class so far
	for i := range l.c.Levels {
		for j := range l.c.Levels[i].Measures {
			m := &l.c.Levels[i].Measures[j]
			part := m.Shed
			offered := l.figures[key{Demand, m.Class}]
			if m.Follow {
				part = done[m.Class]
				if offered > 0 && left > 0 {
					part = min(m.Shed, part+left/offered)
				}
			}
			if more := part - done[m.Class]; more > 0 && m.Tenants == nil {
				done[m.Class] = part
				left -= more * offered
			}
			l.parts[i][j] = part
		}
	}
}

func (l *Ladder) track(k key, v float64) { l.figures[k] += smooth * (v - l.figures[k]) }

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// any tells whether one of the conditions of an entry has held for its time.
func (l *Ladder) any(now time.Duration, all []Condition) (why string, ok bool) {
	for _, c := range all {
		if v := l.figures[key{c.Signal, c.Class}]; l.holds(now, "above "+c.String(), v > c.Bound, c.For) && !ok {
			why, ok = fmt.Sprintf("%v above %.4g for %v: %.4g", c.label(), c.Bound, c.For, v), true
		}
	}
	return why, ok
}

// all tells whether each of the conditions of an exit has held for its time.
func (l *Ladder) all(now time.Duration, all []Condition) (why string, ok bool) {
	ok = len(all) > 0
	for _, c := range all {
		v := l.figures[key{c.Signal, c.Class}]
		if !l.holds(now, "below "+c.String(), v < c.Bound, c.For) {
			ok = false
		}
		why = fmt.Sprintf("%v below %.4g for %v: %.4g", c.label(), c.Bound, c.For, v)
	}
	return why, ok
}

func (c Condition) label() string {
	if c.Class != "" {
		return c.Signal.String() + " of " + c.Class
	}
	return c.Signal.String()
}

// holds notes whether a condition holds now, and tells whether it has for long enough.
func (l *Ladder) holds(now time.Duration, name string, yes bool, d time.Duration) bool {
	if !yes {
		delete(l.held, name)
		return false
	}
	since, there := l.held[name]
	if !there {
		since = now
		l.held[name] = now
	}
	return now-since >= d
}

// Effect is what holds for a request at the level in force.
type Effect struct {
	Shed     float64 // part that is refused at once
	NoCopies bool
	Attempts int // 0: no bound of the level's
	InShare  bool
	Hold     time.Duration // 0: no bound of the level's
	OwnZone  bool
}

// Effect tells what holds for a class and a tenant: of several measures the strictest.
func (l *Ladder) Effect(class, tenant string) Effect {
	var e Effect
	keep := 1.0
	for i := range l.level {
		for j := range l.c.Levels[i].Measures {
			m := &l.c.Levels[i].Measures[j]
			if m.Class != class || m.Tenants != nil && !slices.Contains(m.Tenants, tenant) {
				continue
			}
			shed := l.parts[i][j]
			if l.probing && i == l.level-1 && 1-shed < keep { // half of what it sheds beyond the levels before it
				shed -= (shed - (1 - keep)) / 2
			}
			keep = math.Min(keep, 1-shed)
			e.OwnZone = e.OwnZone || m.OwnZone
			if m.Hold > 0 && (e.Hold == 0 || m.Hold < e.Hold) {
				e.Hold = m.Hold
			}
			e.NoCopies = e.NoCopies || m.NoCopies
			e.InShare = e.InShare || m.InShare
			if m.Attempts > 0 && (e.Attempts == 0 || m.Attempts < e.Attempts) {
				e.Attempts = m.Attempts
			}
		}
	}
	e.Shed = 1 - keep
	return e
}
