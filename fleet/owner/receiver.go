package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// Order is an effect that an owner asks for.
type Order struct {
	Work   string             `json:"work"`
	Token  fleet.FencingToken `json:"token"`
	Job    string             `json:"job"`
	Step   fleet.StepKey      `json:"step"`
	Key    string             `json:"key"`             // the same for all owners that ask for this step
	Again  bool               `json:"again,omitempty"` // it may have been asked for before
	Drain  time.Duration      `json:"drain,omitempty"`
	Reason string             `json:"reason,omitempty"`
}

// Reply is what became of it so far.
type Reply struct {
	Running bool               `json:"running,omitempty"`
	Outcome string             `json:"outcome,omitempty"`
	Detail  string             `json:"detail,omitempty"`
	Seen    fleet.FencingToken `json:"seen"` // the highest token of the work
}

// Verdict is what a receiver does with an order.
type Verdict uint8

// The verdicts.
const (
	Refuse Verdict = iota // the token is old, or the job is over
	Later                 // this process does not know enough yet: it is asked again
	Tell                  // it is done, or under way
	Run                   // it is to be done
	Look                  // it may have been done: look, and do it where it has not
)

// Memory is what a receiver keeps through a restart.
type Memory struct {
	Gate   Gate     `json:"gate"`
	Ledger Ledger   `json:"ledger"`
	Holds  []string `json:"holds"` // servers that are held out for the fleet
}

// Receiver decides which effects are done. Whenever it says that its memory has changed, that is on the disk before
// anything is done or answered.
//
// A memory may be older than what the process before has done: a disk that was lost, or restored. So a process takes
// nothing before it has seen its own Join in the log: every token granted, and every step ended, before it was started
// is in the log before that, and is known then.
type Receiver struct {
	Memory
	node, run string
	joined    fleet.Position  // where its own Join was seen; 0: not yet
	unsure    map[string]bool // effects that were under way when an earlier process ended
}

// Wake makes a receiver of what an earlier process has kept. node and run are those of the Join of this process.
func Wake(m Memory, node, run string, g Guards) *Receiver {
	r := &Receiver{Memory: m, node: node, run: run, unsure: make(map[string]bool)}
	r.Gate.Guards = g
	for _, k := range r.Ledger.cut() {
		r.unsure[k] = true
	}
	return r
}

// Joined tells whether the process has seen its own Join; st is the state that it follows.
func (r *Receiver) Joined(st *fleet.State) bool {
	if r.joined == 0 && st.Nodes[r.node].Incarnation == r.run {
		r.joined = st.Position
	}
	return r.joined != 0
}

// Take decides on an order. st is the state that the process follows; it may be behind.
func (r *Receiver) Take(o Order, st *fleet.State) (reply Reply, v Verdict, changed bool) {
	open := r.Gate.Guards.NoToken // a rehearsal: anything is let through
	if !r.Joined(st) && !open {
		return reply, Later, false
	}
	if newest := st.HighestTokens[o.Work]; newest > r.Gate.Seen[o.Work] {
		_, changed = r.Gate.Pass(o.Work, newest)
	}
	pass, raised := r.Gate.Pass(o.Work, o.Token)
	changed = changed || raised
	reply.Seen = r.Gate.Seen[o.Work]
	if !pass {
		return reply, Refuse, changed
	}
	switch e, known := r.Ledger.Effects[o.Key]; {
	case known && !e.Running:
		reply.Outcome, reply.Detail = e.Outcome, e.Detail
		return reply, Tell, changed
	case known && !r.unsure[o.Key]:
		reply.Running = true
		return reply, Tell, changed
	}
	v = Run
	if r.unsure[o.Key] || o.Again {
		v = Look
	}
	if !open {
		j := st.Jobs[o.Job]
		if j == nil && r.Gate.Guards.Late {
			j = &fleet.Job{}
		}
		if j == nil {
			return reply, Later, changed
		}
		switch step := j.Steps[o.Step]; {
		case step.StartedAt == 0 && !r.Gate.Guards.Late: // the intent is in the log first
			return reply, Later, changed
		case step.FinishedAt != 0:
			reply.Outcome, reply.Detail = step.Outcome, step.Detail
			return reply, Tell, changed
		case j.CloseReason != "":
			return reply, Refuse, changed
		case step.StartedAt != 0 && step.StartedAt <= r.joined: // a process before this one may have had it
			v = Look
		}
	}
	r.Ledger.Begin(o.Key, o.Work, o.Token)
	delete(r.unsure, o.Key)
	reply.Running = true
	return reply, v, true
}

// Unsaved tells that the memory could not be kept, so that an order that was to be done is not.
func (r *Receiver) Unsaved(key string) {
	if r.Ledger.Effects[key].Running {
		r.unsure[key] = true
	}
}

// Gate is what a receiver remembers: the highest token of each work that it has seen. It is on the disk before
// anything is done under a token.
type Gate struct {
	Guards Guards                        `json:"-"`
	Seen   map[string]fleet.FencingToken `json:"seen"`
}

// Pass says whether an effect under a token may be done, and whether the gate has changed by it, so that it has to be
// written down first.
func (g *Gate) Pass(work string, t fleet.FencingToken) (pass, changed bool) {
	if t < g.Seen[work] {
		return g.Guards.NoToken, false
	}
	if t == g.Seen[work] {
		return t != 0, false
	}
	if g.Seen == nil {
		g.Seen = make(map[string]fleet.FencingToken)
	}
	g.Seen[work] = t
	return true, true
}

// Ledger is what a receiver has done, by the key of each effect, so that a repeat gets the first one's outcome.
type Ledger struct {
	Effects map[string]Effect `json:"effects"`
	N       uint64            `json:"n"`
}

// Effect is one.
type Effect struct {
	N       uint64             `json:"n"` // 1, 2, ...: the older ones go first
	Work    string             `json:"work"`
	Token   fleet.FencingToken `json:"token"` // the newest under which it was asked for
	Running bool               `json:"running"`
	Outcome string             `json:"outcome,omitempty"`
	Detail  string             `json:"detail,omitempty"`
}

const mostEffects = 4096

// Begin notes an effect that is about to be done.
func (l *Ledger) Begin(key, work string, t fleet.FencingToken) {
	if l.Effects == nil {
		l.Effects = make(map[string]Effect)
	}
	l.N++
	l.Effects[key] = Effect{N: l.N, Work: work, Token: t, Running: true}
	if len(l.Effects) > mostEffects {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.Effects)), func(a, b string) int { return cmp.Compare(l.Effects[a].N, l.Effects[b].N) })
		delete(l.Effects, oldest)
	}
}

// End notes what came of it.
func (l *Ledger) End(key, outcome, detail string) {
	e := l.Effects[key]
	e.Running, e.Outcome, e.Detail = false, outcome, detail
	l.Effects[key] = e
}

// cut are the effects that were under way when the process ended: what came of them has to be looked at.
func (l *Ledger) cut() (keys []string) {
	for k, e := range l.Effects {
		if e.Running {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
