package router

import (
	"container/heap"
	"errors"
	"maps"
	"time"

	"cobaltward/drops"
	"cobaltward/levels"
	"cobaltward/policy"
)

// ErrNoLevels says that the router has no levels of reduced service.
var ErrNoLevels = errors.New("router: there are no levels of service")

const (
	// quickRefusal is how soon a bucket's refusal comes: what is refused later has waited for a server.
	quickRefusal = 10 * time.Millisecond
	shedSpread   = 4   // times ownRetryAfter, over which the shed are told to come back
	workGain     = 0.1 // weight of one answer in the mean work of a class
)

// service counts what the ladder of levels goes by, and does what its level asks for. The loop owns it.
type service struct {
	ladder  *levels.Ladder
	shed    map[string]uint64 // by class
	shedBy  map[string]uint64 // by tenant that the settings list; the others under no name
	worth   float64           // of what was shed
	classes map[string]*classCount
	shares  map[string]*shareBucket // by tenant, for measures that keep tenants to their shares
}

type classCount struct {
	levels.Second
	aim   time.Duration
	worth float64
}

// shareBucket is what a tenant may send within its share: tokens of one second.
type shareBucket struct {
	rate, tokens float64
	last         policy.Time
}

func newService(c levels.Config, set policy.Settings) (*service, error) {
	ladder, err := levels.New(c)
	if err != nil {
		return nil, err
	}
	s := &service{ladder: ladder, shed: make(map[string]uint64), shedBy: make(map[string]uint64)}
	s.follow(set)
	return s, nil
}

// follow goes by other settings. What was counted of classes and tenants that they still have goes on.
func (s *service) follow(set policy.Settings) {
	classes, shares := make(map[string]*classCount, len(set.Classes)), make(map[string]*shareBucket, len(set.Tenants))
	for _, class := range set.Classes {
		aim := class.LatencyObjective
		if aim == 0 {
			aim = class.Deadline
		}
		c := s.classes[class.Name]
		if c == nil {
			c = &classCount{Second: levels.Second{Work: aim.Seconds()}}
		}
		c.aim, c.worth = aim, class.PriorityWeight
		classes[class.Name] = c
	}
	for _, t := range set.Tenants {
		rate := t.Quota / float64(set.Nodes)
		b := s.shares[t.Name]
		if b == nil {
			b = &shareBucket{tokens: max(1, rate)}
		}
		b.rate = rate
		shares[t.Name] = b
	}
	s.classes, s.shares = classes, shares
}

// within tells whether a request is within its tenant's share; tenants that nobody listed have none.
func (s *service) within(tenant string, now policy.Time) bool {
	b := s.shares[tenant]
	if b == nil {
		return false
	}
	b.tokens = min(max(1, b.rate), b.tokens+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sheds counts a request that comes, and tells whether the level refuses it.
func (s *service) sheds(r *request, now policy.Time) bool {
	c := s.classes[r.req.Class]
	if c == nil { // of settings that a reload brought
		return false
	}
	if !r.req.IsRetry { // else what a level sheds would come back as more demand
		c.Offered++
	}
	e := s.ladder.Effect(r.req.Class, r.req.Tenant)
	within := s.within(r.req.Tenant, now)
	// A client that was shed and comes again under another id would be drawn again, until it is let in.
	if e.Shed > 0 && (r.req.IsRetry || drops.Fraction(r.req.ID) < e.Shed) || e.InShare && !within {
		c.Shed++
		s.shed[r.req.Class]++
		tenant := r.req.Tenant
		if s.shares[tenant] == nil {
			tenant = ""
		}
		s.shedBy[tenant]++
		s.worth += c.worth
		return !s.ladder.Dry()
	}
	return false
}

// shedRetry spreads what the shed are told over some seconds, by their ids, so that they do not come back together.
func shedRetry(id string, most time.Duration) time.Duration {
	d := ownRetryAfter + time.Duration(shedSpread*drops.Fraction("again "+id)*float64(ownRetryAfter))
	if most > 0 {
		return min(d, most)
	}
	return d
}

// narrowed is what the level asks of the module for a request: to stay in the node's zone, and to wait for less.
func (s *service) narrowed(r *request) (near bool, hold time.Duration) {
	if s.ladder.Dry() {
		return false, 0
	}
	e := s.ladder.Effect(r.req.Class, r.req.Tenant)
	return e.OwnZone, e.Hold
}

// spares tells whether the level forbids an attempt: the n-th from 0 on.
func (s *service) spares(r *request, n int) bool {
	if n == 0 || s.ladder.Dry() {
		return false
	}
	e := s.ladder.Effect(r.req.Class, r.req.Tenant)
	if e.Attempts > 0 && n >= e.Attempts {
		return true
	}
	if e.NoCopies {
		for _, a := range r.attempts {
			if a.out {
				return true
			}
		}
	}
	return false
}

// worked notes what a request took at its server.
func (s *service) worked(r *request, took time.Duration) {
	if c := s.classes[r.req.Class]; c != nil {
		c.Work += workGain * (took.Seconds() - c.Work)
	}
}

// answered counts an answer. A bucket's refusal says nothing of the servers.
func (s *service) answered(r *request, o Outcome, now policy.Time) {
	c := s.classes[r.req.Class]
	if c == nil {
		return
	}
	age := now - r.came
	switch {
	case o == Served && age <= c.aim:
		c.OnTime++
	case o == Rejected && age < quickRefusal && len(r.attempts) == 0, o == Conflict:
	default:
		c.Late++
	}
}

// step hands the last second to the ladder, and begins the next.
func (s *service) step(now policy.Time, open map[string]*request) (e levels.Event, moved bool) {
	for _, r := range open {
		if c := s.classes[r.req.Class]; c != nil && !r.ended {
			c.Open++
			if len(r.attempts) == 0 {
				c.Held++
			}
		}
	}
	counts := make(map[string]levels.Second, len(s.classes))
	for name, c := range s.classes {
		counts[name] = c.Second
		c.Second = levels.Second{Work: c.Work}
	}
	before, _, _ := s.ladder.Level()
	s.ladder.Step(now, counts)
	after, _, _ := s.ladder.Level()
	if before == after {
		return levels.Event{}, false
	}
	all := s.ladder.Events()
	return all[len(all)-1], true
}

// LevelStatus is the level of service in force.
type LevelStatus struct {
	Level  int            `json:"level"` // 0: full service
	Name   string         `json:"name"`
	Reason string         `json:"reason"`
	Demand float64        `json:"demand"` // as levels.Demand
	Slow   float64        `json:"slow"`
	Held   float64        `json:"held"`
	Events []levels.Event `json:"events"`
	Lifts  []string       `json:"lifts,omitempty"` // what would end it
	Trying bool           `json:"trying"`          // its end is being tried with half of what it sheds
	Most   int            `json:"most"`            // levels beyond it are forbidden; -1: none is
	Dry    bool           `json:"dry_run"`         // it changes nothing for requests
	// What it has cost since the start: in a dry run, what it would have.
	Shed   map[string]uint64 `json:"shed,omitempty"`    // by class
	ShedBy map[string]uint64 `json:"shed_by,omitempty"` // by tenant
	Worth  float64           `json:"shed_worth"`
}

// Level tells which level of service is in force, and why. ErrNoLevels says that there are none.
func (r *Router) Level() (st LevelStatus, err error) {
	err = r.levelOrder(func(s *service, _ policy.Time) error { st = s.status(); return nil })
	return st, err
}

func (s *service) status() (st LevelStatus) {
	st.Level, st.Name, st.Reason = s.ladder.Level()
	st.Demand, st.Slow, st.Held = s.ladder.Figure(levels.Demand, ""), s.ladder.Figure(levels.Slow, ""), s.ladder.Figure(levels.Held, "")
	st.Events = append(st.Events, s.ladder.Events()...)
	st.Lifts, st.Trying, st.Most, st.Dry = s.ladder.Lifts(), s.ladder.Probing(), s.ladder.Most(), s.ladder.Dry()
	st.Shed, st.ShedBy, st.Worth = maps.Clone(s.shed), maps.Clone(s.shedBy), s.worth
	return st
}

// SetLevel puts a level in force by hand, for a while; 0: until ReleaseLevel.
func (r *Router) SetLevel(level int, d time.Duration, who, why string) error {
	return r.levelOrder(func(s *service, now policy.Time) error { return s.ladder.Set(now, level, d, who, why) })
}

// SetLevels puts another ladder of levels in force while the router runs; nil: full service always. A level of the same
// name goes on. An error says what makes no sense, and nothing has changed then.
func (r *Router) SetLevels(c *levels.Config) error {
	reply := make(chan error, 1)
	return r.ask(ladderOrder{c, reply}, reply)
}

// adopt is SetLevels in the loop.
func (l *loop) adopt(c *levels.Config) error {
	now := l.clock.now()
	switch {
	case c == nil:
		l.service = nil
	case l.service == nil:
		s, err := newService(*c, l.config.Settings)
		if err != nil {
			return err
		}
		l.service = s
		l.eachSecond(now)
	default:
		moved, err := l.service.ladder.Adopt(now, *c)
		if err != nil {
			return err
		}
		if n, name, reason := l.service.ladder.Level(); moved {
			l.log.Warn("level of service", "to", n, "name", name, "reason", reason)
		}
	}
	return nil
}

// eachSecond has the ladder take a step each second, unless it does already.
func (l *loop) eachSecond(now policy.Time) {
	if !l.ticking {
		l.ticking = true
		heap.Push(&l.timers, &timer{due: now + time.Second, second: true})
	}
}

// ForbidLevels has no level beyond most entered by its conditions; -1 allows all again.
func (r *Router) ForbidLevels(most int, who, why string) error {
	return r.levelOrder(func(s *service, now policy.Time) error { return s.ladder.Forbid(now, most, who, why) })
}

// ReleaseLevel gives the level back to its conditions.
func (r *Router) ReleaseLevel() error {
	return r.levelOrder(func(s *service, _ policy.Time) error { s.ladder.Release(); return nil })
}

func (r *Router) levelOrder(do func(*service, policy.Time) error) error {
	reply := make(chan error, 1)
	return r.ask(levelOrder{do, reply}, reply)
}
