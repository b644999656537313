package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cobaltward/fleet"
)

// EffectRequest is an effect that an owner asks for.
type EffectRequest struct {
	Resource       string             `json:"work"`
	FencingToken   fleet.FencingToken `json:"token"`
	JobID          string             `json:"job"`
	Step           fleet.StepKey      `json:"step"`
	IdempotencyKey string             `json:"key"`             // the same for all owners that ask for this step
	Retry          bool               `json:"again,omitempty"` // it may have been asked for before
	DrainTimeout   time.Duration      `json:"drain,omitempty"`
	Reason         string             `json:"reason,omitempty"`
}

// EffectResponse is what became of it so far.
type EffectResponse struct {
	Running      bool               `json:"running,omitempty"`
	Outcome      string             `json:"outcome,omitempty"`
	Detail       string             `json:"detail,omitempty"`
	HighestToken fleet.FencingToken `json:"seen"` // the highest token of the work
}

// Decision is what a receiver does with an order.
type Decision uint8

// The verdicts.
const (
	Reject      Decision = iota // the token is old, or the job is over
	Defer                       // this process does not know enough yet: it is asked again
	Report                      // it is done, or under way
	Execute                     // it is to be done
	VerifyFirst                 // it may have been done: look, and do it where it has not
)

// ReceiverState is what a receiver keeps through a restart.
type ReceiverState struct {
	Gate            FencingGate `json:"gate"`
	Effects         EffectLog   `json:"ledger"`
	DisabledServers []string    `json:"holds"` // servers that are held out for the fleet
}

// FencedReceiver decides which effects are done. Whenever it says that its memory has changed, that is on the disk before
// anything is done or answered.
//
// A memory may be older than what the process before has done: a disk that was lost, or restored. So a process takes
// nothing before it has seen its own Join in the log: every token granted, and every step ended, before it was started
// is in the log before that, and is known then.
type FencedReceiver struct {
	ReceiverState
	node, incarnation string
	registeredAt      fleet.Position  // where its own Join was seen; 0: not yet
	unverified        map[string]bool // effects that were under way when an earlier process ended
}

// Restore makes a receiver of what an earlier process has kept. node and run are those of the Join of this process.
func Restore(m ReceiverState, node, run string, g UnsafeOptions) *FencedReceiver {
	r := &FencedReceiver{ReceiverState: m, node: node, incarnation: run, unverified: make(map[string]bool)}
	r.Gate.Unsafe = g
	for _, k := range r.Effects.interrupted() {
		r.unverified[k] = true
	}
	return r
}

// Registered tells whether the process has seen its own Join; st is the state that it follows.
func (r *FencedReceiver) Registered(st *fleet.State) bool {
	if r.registeredAt == 0 && st.Nodes[r.node].Incarnation == r.incarnation {
		r.registeredAt = st.Position
	}
	return r.registeredAt != 0
}

// Decide decides on an order. st is the state that the process follows; it may be behind.
func (r *FencedReceiver) Decide(o EffectRequest, st *fleet.State) (reply EffectResponse, v Decision, changed bool) {
	open := r.Gate.Unsafe.SkipFencing // a rehearsal: anything is let through
	if !r.Registered(st) && !open {
		return reply, Defer, false
	}
	if newest := st.HighestTokens[o.Resource]; newest > r.Gate.HighestTokens[o.Resource] {
		_, changed = r.Gate.Admit(o.Resource, newest)
	}
	pass, raised := r.Gate.Admit(o.Resource, o.FencingToken)
	changed = changed || raised
	reply.HighestToken = r.Gate.HighestTokens[o.Resource]
	if !pass {
		return reply, Reject, changed
	}
	switch e, known := r.Effects.Effects[o.IdempotencyKey]; {
	case known && !e.Running:
		reply.Outcome, reply.Detail = e.Outcome, e.Detail
		return reply, Report, changed
	case known && !r.unverified[o.IdempotencyKey]:
		reply.Running = true
		return reply, Report, changed
	}
	v = Execute
	if r.unverified[o.IdempotencyKey] || o.Retry {
		v = VerifyFirst
	}
	if !open {
		j := st.Jobs[o.JobID]
		if j == nil && r.Gate.Unsafe.RecordIntentLate {
			j = &fleet.Job{}
		}
		if j == nil {
			return reply, Defer, changed
		}
		switch step := j.Steps[o.Step]; {
		case step.StartedAt == 0 && !r.Gate.Unsafe.RecordIntentLate: // the intent is in the log first
			return reply, Defer, changed
		case step.FinishedAt != 0:
			reply.Outcome, reply.Detail = step.Outcome, step.Detail
			return reply, Report, changed
		case j.CloseReason != "":
			return reply, Reject, changed
		case step.StartedAt != 0 && step.StartedAt <= r.registeredAt: // a process before this one may have had it
			v = VerifyFirst
		}
	}
	r.Effects.Start(o.IdempotencyKey, o.Resource, o.FencingToken)
	delete(r.unverified, o.IdempotencyKey)
	reply.Running = true
	return reply, v, true
}

// MarkUnsaved tells that the memory could not be kept, so that an order that was to be done is not.
func (r *FencedReceiver) MarkUnsaved(key string) {
	if r.Effects.Effects[key].Running {
		r.unverified[key] = true
	}
}

// FencingGate is what a receiver remembers: the highest token of each work that it has seen. It is on the disk before
// anything is done under a token.
type FencingGate struct {
	Unsafe        UnsafeOptions                 `json:"-"`
	HighestTokens map[string]fleet.FencingToken `json:"seen"`
}

// Admit says whether an effect under a token may be done, and whether the gate has changed by it, so that it has to be
// written down first.
func (g *FencingGate) Admit(work string, t fleet.FencingToken) (pass, changed bool) {
	if t < g.HighestTokens[work] {
		return g.Unsafe.SkipFencing, false
	}
	if t == g.HighestTokens[work] {
		return t != 0, false
	}
	if g.HighestTokens == nil {
		g.HighestTokens = make(map[string]fleet.FencingToken)
	}
	g.HighestTokens[work] = t
	return true, true
}

// EffectLog is what a receiver has done, by the key of each effect, so that a repeat gets the first one's outcome.
type EffectLog struct {
	Effects      map[string]Effect `json:"effects"`
	LastSequence uint64            `json:"n"`
}

// Effect is one.
type Effect struct {
	Sequence     uint64             `json:"n"` // 1, 2, ...: the older ones go first
	Resource     string             `json:"work"`
	FencingToken fleet.FencingToken `json:"token"` // the newest under which it was asked for
	Running      bool               `json:"running"`
	Outcome      string             `json:"outcome,omitempty"`
	Detail       string             `json:"detail,omitempty"`
}

const maxEffects = 4096

// Start notes an effect that is about to be done.
func (l *EffectLog) Start(key, work string, t fleet.FencingToken) {
	if l.Effects == nil {
		l.Effects = make(map[string]Effect)
	}
	l.LastSequence++
	l.Effects[key] = Effect{Sequence: l.LastSequence, Resource: work, FencingToken: t, Running: true}
	if len(l.Effects) > maxEffects {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.Effects)), func(a, b string) int { return cmp.Compare(l.Effects[a].Sequence, l.Effects[b].Sequence) })
		delete(l.Effects, oldest)
	}
}

// Finish notes what came of it.
func (l *EffectLog) Finish(key, outcome, detail string) {
	e := l.Effects[key]
	e.Running, e.Outcome, e.Detail = false, outcome, detail
	l.Effects[key] = e
}

// interrupted are the effects that were under way when the process ended: what came of them has to be looked at.
func (l *EffectLog) interrupted() (keys []string) {
	for k, e := range l.Effects {
		if e.Running {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
