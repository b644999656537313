package sim

import (
	"fmt"
	"strings"
	"time"

	"cobaltward/emulator/model"
	"cobaltward/emulator/plan"
	"cobaltward/emulator/script"
	"cobaltward/policy"
)

// server is one machine: its processes come and go.
type server struct {
	w       *world
	spec    *plan.Server
	id      string
	addr    string
	started time.Duration // of its process; 0: long ago
	up      *process      // nil while there is none
	faults  []*plan.Fault // in force
	silent  []*plan.Fault
	state   policy.Availability // as the truth has it
	quiet   int                 // silences that the list has come to know
}

// process is one run of a server.
type process struct {
	s     *server
	m     *model.Server
	wake  time.Duration // when its next event is due; 0: none is
	tries map[string]*try
	dead  bool
}

func (w *world) addServer(spec *plan.Server, id string, index int, warm bool) *server {
	s := &server{w: w, spec: spec, id: id, addr: fmt.Sprintf("127.1.%d.%d:9000", index>>8, index&255)}
	if !warm {
		s.started = w.now
	}
	s.start()
	if warm {
		w.servers = append(w.servers, s)
	}
	w.byID[id] = s
	return s
}

// start runs a process, cold unless it is the one of the beginning.
func (s *server) start() {
	c := s.spec.Config
	if s.started == 0 {
		c.WarmUp = model.WarmUp{}
	} else if c.WarmUp.InitialCapacity > 0 && c.WarmUp.Duration > 0 {
		s.w.judge.ServerStarted()
	}
	s.up = &process{s: s, tries: make(map[string]*try)}
	s.up.m = model.New(c, &group{&s.w.keys, s}, s.w.now)
	s.up.m.OnExecution(func(e model.Execution) {
		id, _, _ := strings.Cut(e.ID, "/")
		s.w.judge.ServerExecuted(s.w.now, s.id, id, e.Discarded)
	})
}

func (s *server) restart() {
	s.started = s.w.now
	s.start()
	s.heard(policy.Running)
}

// crash ends the process: its connections are reset.
func (s *server) crash() {
	p := s.up
	if p == nil {
		return
	}
	s.up = nil
	p.m.Stop(s.w.now)
	p.die()
}

// die resets what a process had.
func (p *process) die() {
	p.dead = true
	p.run()
	for _, id := range sortedKeys(p.tries) {
		p.tries[id].metEnd()
		p.tries[id].broken(p.tries[id].delay)
	}
	p.tries = nil
}

// run lets the model's time pass, passes its completions on, and sees to the next.
func (p *process) run() {
	w := p.s.w
	for _, c := range p.m.Advance(w.now) {
		if t := p.tries[c.ID]; t != nil {
			delete(p.tries, c.ID)
			if c.Lost {
				t.broken(t.delay)
			} else {
				t.done(c.Discarded)
			}
		}
	}
	if p.m.Down() && !p.dead { // it fell over
		w.judge.ServerOverloaded(w.now, p.s.id, tries(p.m.OverloadingRequests()))
		p.s.up = nil
		p.s.heard(policy.Removed)
		p.die()
		return
	}
	if p.dead {
		return
	}
	if at, ok := p.m.Next(); ok && (p.wake <= w.now || at < p.wake) {
		at = max(at, w.now+1)
		p.wake = at
		w.q.put(at, func() {
			if p.wake == at && !p.dead {
				p.run()
			}
		})
	}
}

// tries strips the numbers of attempts.
func tries(ids []string) (all []string) {
	for _, id := range ids {
		id, _, _ = strings.Cut(id, "/")
		all = append(all, id)
	}
	return all
}

// silence cuts the machine off: nothing comes or goes. The list learns of it late, if at all.
func (s *server) silence(f *plan.Fault) {
	s.silent = append(s.silent, f)
	if after := s.w.p.Script.Discovery.SilenceTimeout; after > 0 && after < f.Duration {
		s.w.after(after, func() { s.quiet++; s.heard(policy.Removed) })
	}
}

func (s *server) speak(f *plan.Fault) {
	for i := range s.silent {
		if s.silent[i] == f {
			s.silent = append(s.silent[:i], s.silent[i+1:]...)
			break
		}
	}
	if len(s.silent) == 0 {
		for _, n := range s.w.nodes {
			n.unstick()
		}
	}
	if s.quiet > 0 {
		if s.quiet--; s.quiet == 0 && s.up != nil {
			s.heard(policy.Running)
		}
	}
}

// heard has discovery learn of a state, and each node in its time.
func (s *server) heard(state policy.Availability) {
	s.state = state
	for _, n := range s.w.nodes {
		n.news(s.member(state))
	}
}

// failing tells whether a fault with a part of requests takes this one, and notes that it met it.
func (s *server) failing(kind string, t *try) bool {
	for _, f := range s.faults {
		if f.Kind == kind && s.w.p.Chance(kind+f.Label(), t.id) < f.Fraction {
			t.met(f)
			return true
		}
	}
	return false
}

// receive has the whole of a request come in.
func (p *process) receive(t *try) {
	s, w := p.s, p.s.w
	if p.dead {
		t.broken(t.delay)
		return
	}
	for _, f := range s.faults {
		if f.Kind == script.FaultHung { // it reads, and never answers
			t.met(f)
			return
		}
	}
	work := t.work
	for _, f := range s.faults {
		if f.Kind == script.FaultSlow {
			t.met(f)
			work *= f.Factor
		}
	}
	t.fails = s.failing(script.FaultFastErrors, t)
	if !t.fails && s.spec.ErrorRate > 0 {
		t.fails = w.p.Chance("errors"+s.id, t.id) < s.spec.ErrorRate
	}
	if t.fails {
		work = 0
	}
	p.run() // what ended before makes room
	if p.dead {
		t.broken(t.delay)
		return
	}
	p.tries[t.id] = t
	key := ""
	if t.key != "" {
		key = t.class + "\x00" + t.key
	}
	verdict := p.m.Offer(w.now, model.Request{ID: t.id, Key: key, Work: work, Deadline: t.until})
	switch verdict {
	case model.Accepted:
		w.book.WorkStarted(work)
		if s.failing(script.FaultReset, t) {
			delete(p.tries, t.id)
			t.broken(t.delay)
		}
		t.half, t.garbled = s.failing(script.FaultHalfAnswer, t), s.failing(script.FaultGarbled, t)
	case model.Rejected:
		delete(p.tries, t.id)
		t.turnedAway()
	case model.Down:
		delete(p.tries, t.id)
		t.broken(t.delay)
	}
	p.run()
}

// cancel has the server learn that nobody waits.
func (p *process) cancel(t *try) {
	if p.dead {
		return
	}
	if p.tries[t.id] == t {
		delete(p.tries, t.id)
		p.m.Cancel(p.s.w.now, t.id)
	}
	p.m.Disconnect(p.s.w.now)
	p.run()
}

// keyTables are the tables by which groups of servers drop repeats.
type keyTables struct {
	world  *world
	tables map[string]*model.KeyTable
}

// group is how one server looks repeats up: in the table of the group that it shares for the key's class.
type group struct {
	k *keyTables
	s *server
}

// Repeat tells whether a key was there within its class's window.
func (g *group) IsDuplicate(key string, now time.Duration) bool {
	class, key, _ := strings.Cut(key, "\x00")
	scope, window := g.k.world.p.DedupTable(class, g.s.spec)
	if g.k.tables == nil {
		g.k.tables = make(map[string]*model.KeyTable)
	}
	t := g.k.tables[scope]
	if t == nil {
		t = &model.KeyTable{Window: window}
		g.k.tables[scope] = t
	}
	return t.IsDuplicate(key, now)
}
