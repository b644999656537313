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
	// immediateRejection is how soon a bucket's refusal comes: what is refused later has waited for a server.
	immediateRejection = 10 * time.Millisecond
	shedRetrySpread    = 4   // times ownRetryAfter, over which the shed are told to come back
	serviceTimeGain    = 0.1 // weight of one answer in the mean work of a class
)

// degradation counts what the ladder of levels goes by, and does what its level asks for. The loop owns it.
type degradation struct {
	controller   *levels.Ladder
	shedByClass  map[string]uint64 // by class
	shedByTenant map[string]uint64 // by tenant that the settings list; the others under no name
	shedWeight   float64           // of what was shed
	classes      map[string]*classWindow
	quotas       map[string]*quotaBucket // by tenant, for measures that keep tenants to their shares
}

type classWindow struct {
	levels.Second
	latencyObjective time.Duration
	priorityWeight   float64
}

// quotaBucket is what a tenant may send within its share: tokens of one second.
type quotaBucket struct {
	rate, tokens float64
	last         policy.Time
}

func newDegradation(c levels.Config, set policy.Settings) (*degradation, error) {
	ladder, err := levels.New(c)
	if err != nil {
		return nil, err
	}
	s := &degradation{controller: ladder, shedByClass: make(map[string]uint64), shedByTenant: make(map[string]uint64)}
	s.reconfigure(set)
	return s, nil
}

// reconfigure goes by other settings. What was counted of classes and tenants that they still have goes on.
func (s *degradation) reconfigure(set policy.Settings) {
	classes, shares := make(map[string]*classWindow, len(set.Classes)), make(map[string]*quotaBucket, len(set.Tenants))
	for _, class := range set.Classes {
		aim := class.LatencyObjective
		if aim == 0 {
			aim = class.Deadline
		}
		c := s.classes[class.Name]
		if c == nil {
			c = &classWindow{Second: levels.Second{Work: aim.Seconds()}}
		}
		c.latencyObjective, c.priorityWeight = aim, class.PriorityWeight
		classes[class.Name] = c
	}
	for _, t := range set.Tenants {
		rate := t.Quota / float64(set.Nodes)
		b := s.quotas[t.Name]
		if b == nil {
			b = &quotaBucket{tokens: max(1, rate)}
		}
		b.rate = rate
		shares[t.Name] = b
	}
	s.classes, s.quotas = classes, shares
}

// withinQuota tells whether a request is withinQuota its tenant's share; tenants that nobody listed have none.
func (s *degradation) withinQuota(tenant string, now policy.Time) bool {
	b := s.quotas[tenant]
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

// shouldShed counts a request that comes, and tells whether the level refuses it.
func (s *degradation) shouldShed(r *request, now policy.Time) bool {
	c := s.classes[r.req.Class]
	if c == nil { // of settings that a reload brought
		return false
	}
	if !r.req.IsRetry { // else what a level sheds would come back as more demand
		c.Offered++
	}
	e := s.controller.Effect(r.req.Class, r.req.Tenant)
	within := s.withinQuota(r.req.Tenant, now)
	// A client that was shed and comes again under another id would be drawn again, until it is let in.
	if e.Shed > 0 && (r.req.IsRetry || drops.Fraction(r.req.ID) < e.Shed) || e.InShare && !within {
		c.Shed++
		s.shedByClass[r.req.Class]++
		tenant := r.req.Tenant
		if s.quotas[tenant] == nil {
			tenant = ""
		}
		s.shedByTenant[tenant]++
		s.shedWeight += c.priorityWeight
		return !s.controller.Dry()
	}
	return false
}

// shedRetryAfter spreads what the shed are told over some seconds, by their ids, so that they do not come back together.
func shedRetryAfter(id string, most time.Duration) time.Duration {
	d := routerRetryAfter + time.Duration(shedRetrySpread*drops.Fraction("again "+id)*float64(routerRetryAfter))
	if most > 0 {
		return min(d, most)
	}
	return d
}

// restrictions is what the level asks of the module for a request: to stay in the node's zone, and to wait for less.
func (s *degradation) restrictions(r *request) (near bool, hold time.Duration) {
	if s.controller.Dry() {
		return false, 0
	}
	e := s.controller.Effect(r.req.Class, r.req.Tenant)
	return e.OwnZone, e.Hold
}

// forbidsAttempt tells whether the level forbids an attempt: the n-th from 0 on.
func (s *degradation) forbidsAttempt(r *request, n int) bool {
	if n == 0 || s.controller.Dry() {
		return false
	}
	e := s.controller.Effect(r.req.Class, r.req.Tenant)
	if e.Attempts > 0 && n >= e.Attempts {
		return true
	}
	if e.NoCopies {
		for _, a := range r.attempts {
			if a.inFlight {
				return true
			}
		}
	}
	return false
}

// recordServiceTime notes what a request took at its server.
func (s *degradation) recordServiceTime(r *request, took time.Duration) {
	if c := s.classes[r.req.Class]; c != nil {
		c.Work += serviceTimeGain * (took.Seconds() - c.Work)
	}
}

// recordAnswer counts an answer. A bucket's refusal says nothing of the servers.
func (s *degradation) recordAnswer(r *request, o Outcome, now policy.Time) {
	c := s.classes[r.req.Class]
	if c == nil {
		return
	}
	age := now - r.receivedAt
	switch {
	case o == Served && age <= c.latencyObjective:
		c.OnTime++
	case o == Rejected && age < immediateRejection && len(r.attempts) == 0, o == Conflict:
	default:
		c.Late++
	}
}

// step hands the last second to the ladder, and begins the next.
func (s *degradation) step(now policy.Time, open map[string]*request) (e levels.Event, moved bool) {
	for _, r := range open {
		if c := s.classes[r.req.Class]; c != nil && !r.finished {
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
	before, _, _ := s.controller.Level()
	s.controller.Step(now, counts)
	after, _, _ := s.controller.Level()
	if before == after {
		return levels.Event{}, false
	}
	all := s.controller.Events()
	return all[len(all)-1], true
}

// LevelStatus is the level of service in force.
type LevelStatus struct {
	Level          int            `json:"level"` // 0: full service
	Name           string         `json:"name"`
	Reason         string         `json:"reason"`
	Demand         float64        `json:"demand"` // as levels.Demand
	Slow           float64        `json:"slow"`
	Queued         float64        `json:"held"`
	Events         []levels.Event `json:"events"`
	ExitConditions []string       `json:"lifts,omitempty"` // what would end it
	ExitProbing    bool           `json:"trying"`          // its end is being tried with half of what it sheds
	MaxLevel       int            `json:"most"`            // levels beyond it are forbidden; -1: none is
	DryRun         bool           `json:"dry_run"`         // it changes nothing for requests
	// What it has cost since the start: in a dry run, what it would have.
	ShedByClass  map[string]uint64 `json:"shed,omitempty"`    // by class
	ShedByTenant map[string]uint64 `json:"shed_by,omitempty"` // by tenant
	ShedWeight   float64           `json:"shed_worth"`
}

// Level tells which level of service is in force, and why. ErrNoLevels says that there are none.
func (r *Router) Level() (st LevelStatus, err error) {
	err = r.runLevelCommand(func(s *degradation, _ policy.Time) error { st = s.status(); return nil })
	return st, err
}

func (s *degradation) status() (st LevelStatus) {
	st.Level, st.Name, st.Reason = s.controller.Level()
	st.Demand, st.Slow, st.Queued = s.controller.Figure(levels.Demand, ""), s.controller.Figure(levels.Slow, ""), s.controller.Figure(levels.Held, "")
	st.Events = append(st.Events, s.controller.Events()...)
	st.ExitConditions, st.ExitProbing, st.MaxLevel, st.DryRun = s.controller.Lifts(), s.controller.Probing(), s.controller.Most(), s.controller.Dry()
	st.ShedByClass, st.ShedByTenant, st.ShedWeight = maps.Clone(s.shedByClass), maps.Clone(s.shedByTenant), s.shedWeight
	return st
}

// SetLevel puts a level in force by hand, for a while; 0: until ReleaseLevel.
func (r *Router) SetLevel(level int, d time.Duration, who, why string) error {
	return r.runLevelCommand(func(s *degradation, now policy.Time) error { return s.controller.Set(now, level, d, who, why) })
}

// SetLevels puts another ladder of levels in force while the router runs; nil: full service always. A level of the same
// name goes on. An error says what makes no sense, and nothing has changed then.
func (r *Router) SetLevels(c *levels.Config) error {
	reply := make(chan error, 1)
	return r.sendAndWait(ladderOrder{c, reply}, reply)
}

// reconfigureLevels is SetLevels in the loop.
func (l *loop) reconfigureLevels(c *levels.Config) error {
	now := l.clock.now()
	switch {
	case c == nil:
		l.degradation = nil
	case l.degradation == nil:
		s, err := newDegradation(*c, l.config.Settings)
		if err != nil {
			return err
		}
		l.degradation = s
		l.scheduleLevelStep(now)
	default:
		moved, err := l.degradation.controller.Adopt(now, *c)
		if err != nil {
			return err
		}
		if n, name, reason := l.degradation.controller.Level(); moved {
			l.log.Warn("level of service", "to", n, "name", name, "reason", reason)
		}
	}
	return nil
}

// scheduleLevelStep has the ladder take a step each second, unless it does already.
func (l *loop) scheduleLevelStep(now policy.Time) {
	if !l.levelStepScheduled {
		l.levelStepScheduled = true
		heap.Push(&l.timers, &timer{due: now + time.Second, levelStep: true})
	}
}

// SetMaxLevel has no level beyond most entered by its conditions; -1 allows all again.
func (r *Router) SetMaxLevel(most int, who, why string) error {
	return r.runLevelCommand(func(s *degradation, now policy.Time) error { return s.controller.Forbid(now, most, who, why) })
}

// ReleaseLevel gives the level back to its conditions.
func (r *Router) ReleaseLevel() error {
	return r.runLevelCommand(func(s *degradation, _ policy.Time) error { s.controller.Release(); return nil })
}

func (r *Router) runLevelCommand(do func(*degradation, policy.Time) error) error {
	reply := make(chan error, 1)
	return r.sendAndWait(levelOrder{do, reply}, reply)
}
