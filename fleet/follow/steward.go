package follow

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/council"
	"cobaltward/fleet/jobs"
	"cobaltward/fleet/owner"
)

const (
	proposeWait = 2 * time.Second // for an answer of the council
	askWait     = 2 * time.Second // for an answer of a follower
	lookEvery   = 500 * time.Millisecond
	lookAtOnce  = 32
	awayLeases  = 3 // that a steward which gave work to another leaves it to others
)

// StewardConfig is what a process that may own work is told.
type StewardConfig struct {
	Work   string
	Name   string // of this run
	Node   string // that is beside it
	Lease  time.Duration
	Clock  council.Clock
	Guards owner.Guards
	Log    *slog.Logger
	Halt   func(at string) // for rehearsals; nil: nothing
	// Late is a guard that a rehearsal takes away: a step is written down only once it has been done.
	Late bool
	// Asking hears of each ask before it goes out, and what it returns of the answer; nil: nobody does.
	Asking func(e fleet.Entry) func(r fleet.Result, known bool)
}

// Steward wants a kind of work, and does it while it owns it.
type Steward struct {
	c        StewardConfig
	client   *Client
	follower *Follower
	parts    sync.WaitGroup

	mu     sync.Mutex
	holder owner.Holder
	ours   fleet.Token    // the newest that it has had
	since  fleet.Position // the newest entry of its own: it decides by nothing older
	away   time.Duration  // until when it leaves the work to others
	owns   atomic.Bool
	asked  map[string]bool // keys of effects that it has asked for; of the job that goes on

	looked time.Time
	view   jobs.View
}

// NewSteward makes one.
func NewSteward(c StewardConfig, client *Client, f *Follower) *Steward {
	return &Steward{c: c, client: client, follower: f, asked: make(map[string]bool), holder: owner.Holder{Work: c.Work, Name: c.Name, Lease: c.Lease, Guards: c.Guards}}
}

// Owns tells whether it owns the work, as far as it knows.
func (s *Steward) Owns() bool { return s.owns.Load() }

// Run wants and does the work until ctx ends; then it gives it back.
func (s *Steward) Run(ctx context.Context) {
	defer s.parts.Wait()
	s.parts.Go(func() { s.drive(ctx) })
	every := s.c.Lease / 40
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		s.ask(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			s.mu.Lock()
			s.holder.StepDown(true)
			s.mu.Unlock()
			last, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer stop()
			s.ask(last)
			return
		}
	}
}

// ask keeps the lease, one ask at a time.
func (s *Steward) ask(ctx context.Context) {
	s.heed()
	s.mu.Lock()
	at := s.c.Clock.Mono()
	e, ok := s.holder.Ask(at)
	s.mu.Unlock()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, min(proposeWait, s.c.Lease/2))
	defer stop()
	var answered func(fleet.Result, bool)
	if s.c.Asking != nil {
		answered = s.c.Asking(e)
	}
	r, err := s.client.Propose(ctx, e)
	s.mu.Lock()
	defer s.mu.Unlock()
	back := s.c.Clock.Mono()
	had := s.holder.Has()
	s.holder.Answered(at, back, e, r, err == nil)
	if e.Kind == fleet.Acquire && err == nil && r.Err == nil {
		s.ours, s.since = max(s.ours, r.Token), max(s.since, r.At)
	}
	if has := s.holder.Has(); has != had {
		s.c.Log.Info("fleet: ownership", "work", s.c.Work, "holder", s.c.Name, "owns", has, "token", s.ours, "position", r.At)
	}
	s.owns.Store(s.holder.Has())
	if answered != nil {
		answered(r, err == nil)
	}
}

// heed gives the work back where the owner is asked to, and comes back after a while.
func (s *Steward) heed() {
	st, _ := s.follower.State()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.c.Clock.Mono()
	if o, ok := st.Owners[s.c.Work]; ok && o.Asked != "" && o.Holder == s.c.Name && now >= s.away {
		s.away = now + awayLeases*s.c.Lease
	}
	s.holder.StepDown(now < s.away)
}

// token is the one to act under now.
func (s *Steward) token() (fleet.Token, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Token(s.c.Clock.Mono())
}

// drive does what the job asks for while the work is owned.
func (s *Steward) drive(ctx context.Context) {
	tick := time.NewTicker(max(s.c.Lease/50, 20*time.Millisecond))
	defer tick.Stop()
	for {
		s.pass(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pass looks at the job once, and does what comes next.
func (s *Steward) pass(ctx context.Context) {
	t, ok := s.token()
	if !ok {
		return
	}
	st, _ := s.follower.State()
	s.mu.Lock()
	since := s.since
	s.mu.Unlock()
	if st.At < since || st.Last[s.c.Work] != t {
		return // what it has written itself has not come back yet
	}
	job := open(st, s.c.Work)
	if job == nil {
		s.mu.Lock()
		clear(s.asked)
		s.mu.Unlock()
		return
	}
	var acts sync.WaitGroup
	for _, a := range jobs.Next(job, s.look(ctx, st)) {
		acts.Go(func() { s.act(ctx, t, job, a) })
	}
	acts.Wait()
}

// open is the job of a kind that is not over.
func open(s *fleet.State, kind string) *fleet.Job {
	for _, id := range slices.Sorted(maps.Keys(s.Jobs)) {
		if j := s.Jobs[id]; j.Over == "" && j.Spec.Kind == kind {
			return j
		}
	}
	return nil
}

// look asks all followers how their nodes are, now and then.
func (s *Steward) look(ctx context.Context, st *fleet.State) jobs.View {
	if time.Since(s.looked) < lookEvery {
		return s.view
	}
	ctx, stop := context.WithTimeout(ctx, askWait)
	defer stop()
	v := jobs.View{Self: s.c.Node, Nodes: make(map[string]jobs.Node)}
	var mu sync.Mutex
	var asks sync.WaitGroup
	room := make(chan struct{}, lookAtOnce)
	for name, n := range st.Nodes {
		room <- struct{}{}
		asks.Go(func() {
			defer func() { <-room }()
			var l Look
			err := s.client.Call(ctx, http.MethodGet, n.Address, "/node", struct{}{}, &l)
			mu.Lock()
			defer mu.Unlock()
			v.Nodes[name] = jobs.Node{Zone: n.Zone, Capacity: n.Capacity, CanOwn: n.Owns, Serving: err == nil && l.Name == name && l.Serving}
		})
	}
	asks.Wait()
	s.looked, s.view = time.Now(), v
	return v
}

// act does one thing.
func (s *Steward) act(ctx context.Context, t fleet.Token, j *fleet.Job, a jobs.Action) {
	switch a.Do {
	case jobs.Begin:
		if s.c.Late {
			s.effect(ctx, t, j, a)
			return
		}
		s.write(ctx, fleet.Entry{Kind: fleet.Begin, Job: j.ID, Step: a.Step, Token: t})
	case jobs.Ask:
		if st := j.Steps[a.Step]; st.Token != t { // an earlier owner's: it is taken up first, in the log
			s.write(ctx, fleet.Entry{Kind: fleet.Begin, Job: j.ID, Step: a.Step, Token: t})
			return
		}
		s.effect(ctx, t, j, a)
	case jobs.Close:
		s.write(ctx, fleet.Entry{Kind: fleet.Close, Job: j.ID, Token: t, Outcome: a.Over, Detail: clip(a.Detail)})
	case jobs.StepDown:
		s.mu.Lock()
		s.away = s.c.Clock.Mono() + awayLeases*s.c.Lease
		s.mu.Unlock()
		s.c.Log.Info("fleet: the owner's own node is next, and another may have the work", "work", s.c.Work, "token", t)
	}
}

// effect asks a node's follower for a step, and writes down what came of it.
func (s *Steward) effect(ctx context.Context, t fleet.Token, j *fleet.Job, a jobs.Action) {
	st, _ := s.follower.State()
	n, ok := st.Nodes[a.Step.Node]
	if !ok {
		return // it has not joined, or is forgotten: abort the job, or wait
	}
	o := Order{Work: s.c.Work, Token: t, Job: j.ID, Step: a.Step, Key: jobs.Key(j.ID, a.Step), Again: a.Again, Drain: j.Spec.Drain, Reason: j.ID + ": " + j.Reason}
	if _, may := s.token(); !may {
		return
	}
	s.mu.Lock()
	o.Again = o.Again || s.asked[o.Key] // whether the first ask came through, nobody may know
	s.asked[o.Key] = true
	s.mu.Unlock()
	if s.c.Halt != nil { // between the check of the lease and the effect
		s.c.Halt("effect")
	}
	ctx, stop := context.WithTimeout(ctx, askWait)
	defer stop()
	var r Reply
	if err := s.client.Call(ctx, http.MethodPost, n.Address, "/effect", o, &r); err != nil {
		if errors.Is(err, ErrNo) {
			s.c.Log.Warn("fleet: an effect is refused", "key", o.Key, "token", t, "error", err)
		}
		return // asked again
	}
	if r.Running || r.Outcome == "" {
		return
	}
	if s.c.Late {
		s.write(ctx, fleet.Entry{Kind: fleet.Begin, Job: j.ID, Step: a.Step, Token: t})
	}
	s.write(ctx, fleet.Entry{Kind: fleet.Done, Job: j.ID, Step: a.Step, Token: t, Outcome: r.Outcome, Detail: clip(r.Detail)})
}

// write puts an entry into the log. One that was not answered may be there, or come.
func (s *Steward) write(ctx context.Context, e fleet.Entry) {
	ctx, stop := context.WithTimeout(ctx, proposeWait)
	defer stop()
	r, err := s.client.Propose(ctx, e)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = max(s.since, r.At)
	if errors.Is(r.Err, fleet.ErrLost) {
		s.c.Log.Warn("fleet: the log refuses a step: the work is another's", "work", s.c.Work, "job", e.Job, "step", e.Step.String(), "token", e.Token)
	}
}
