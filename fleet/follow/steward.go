package follow

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
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
	Halt   func(at string) // for rehearsals: what a process stumbles at; nil: nothing
	// Asking hears of each ask before it goes out, and what it returns of the answer; nil: nobody does.
	Asking func(e fleet.Entry) func(r fleet.Result, known bool)
}

// Steward carries out what a jobs.Steward wants.
type Steward struct {
	c        StewardConfig
	client   *Client
	follower *Follower
	parts    sync.WaitGroup
	owns     atomic.Bool

	mu sync.Mutex
	s  *jobs.Steward

	looked time.Time // of drive
	view   jobs.View
}

// NewSteward makes one.
func NewSteward(c StewardConfig, client *Client, f *Follower) *Steward {
	return &Steward{c: c, client: client, follower: f, s: jobs.NewSteward(c.Work, c.Name, c.Node, c.Lease, c.Guards)}
}

// Owns tells whether it owns the work, as far as it knows.
func (s *Steward) Owns() bool { return s.owns.Load() }

// Run wants and does the work until ctx ends; then it gives it back.
func (s *Steward) Run(ctx context.Context) {
	defer s.parts.Wait()
	s.parts.Go(func() { s.drive(ctx) })
	tick := time.NewTicker(s.c.Lease / 40)
	defer tick.Stop()
	for {
		s.ask(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			s.mu.Lock()
			s.s.Leave()
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
	st, _ := s.follower.State()
	s.mu.Lock()
	at := s.c.Clock.Mono()
	e, ok := s.s.Ask(at, st)
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
	_, had := s.s.Has()
	s.s.Answered(at, s.c.Clock.Mono(), e, r, err == nil)
	token, has := s.s.Has()
	s.mu.Unlock()
	if has != had {
		s.c.Log.Info("fleet: ownership", "work", s.c.Work, "holder", s.c.Name, "owns", has, "token", token, "position", r.Position)
	}
	s.owns.Store(has)
	if answered != nil {
		answered(r, err == nil)
	}
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
	st, _ := s.follower.State()
	s.mu.Lock()
	_, may := s.s.May(s.c.Clock.Mono())
	s.mu.Unlock()
	if !may || st.OpenJob(s.c.Work) == nil {
		return
	}
	v := s.look(ctx, st)
	s.mu.Lock()
	all := s.s.Next(s.c.Clock.Mono(), st, v)
	s.mu.Unlock()
	var acts sync.WaitGroup
	for _, a := range all {
		acts.Go(func() {
			if a.Entry != nil {
				s.write(ctx, *a.Entry)
				return
			}
			s.effect(ctx, st, *a.Order)
		})
	}
	acts.Wait()
}

// look asks all followers how their nodes are, now and then.
func (s *Steward) look(ctx context.Context, st *fleet.State) jobs.View {
	if time.Since(s.looked) < lookEvery {
		return s.view
	}
	ctx, stop := context.WithTimeout(ctx, askWait)
	defer stop()
	v := jobs.View{Nodes: make(map[string]jobs.Node)}
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
			v.Nodes[name] = jobs.Node{Zone: n.Zone, Capacity: n.Capacity, CanOwn: n.LeaseCandidate, Serving: err == nil && l.Name == name && l.Serving}
		})
	}
	asks.Wait()
	s.looked, s.view = time.Now(), v
	return v
}

// effect asks a node's follower for a step, and writes down what came of it. A node that is not known waits: it has
// not joined, or is forgotten; the job can be aborted.
func (s *Steward) effect(ctx context.Context, st *fleet.State, o owner.Order) {
	n, ok := st.Nodes[o.Step.Node]
	if !ok {
		return
	}
	s.mu.Lock()
	t, may := s.s.May(s.c.Clock.Mono())
	s.mu.Unlock()
	if !may || t != o.Token {
		return
	}
	if s.c.Halt != nil { // between the check of the lease and the effect
		s.c.Halt("effect")
	}
	ctx, stop := context.WithTimeout(ctx, askWait)
	defer stop()
	var r owner.Reply
	if err := s.client.Call(ctx, http.MethodPost, n.Address, "/effect", o, &r); err != nil {
		if errors.Is(err, ErrNo) {
			s.c.Log.Warn("fleet: an effect is refused", "key", o.Key, "token", o.Token, "error", err)
		}
		return // asked again
	}
	s.mu.Lock()
	entries := s.s.Replied(o, r)
	s.mu.Unlock()
	for _, e := range entries {
		s.write(ctx, e)
	}
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
	lost := s.s.Wrote(r)
	s.mu.Unlock()
	if lost {
		s.c.Log.Warn("fleet: the log refuses a step: the work is another's", "work", s.c.Work, "job", e.JobID, "step", e.Step.String(), "token", e.FencingToken)
	}
}
