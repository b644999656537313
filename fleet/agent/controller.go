package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/fleet/rollingupdate"
)

const (
	proposeTimeout = 2 * time.Second // for an answer of the council
	agentTimeout   = 2 * time.Second // for an answer of a follower
	viewInterval   = 500 * time.Millisecond
	maxStatusCalls = 32
)

// ControllerConfig is what a process that may own work is told.
type ControllerConfig struct {
	Resource      fleet.JobKind
	Identity      string // of this run
	Node          string // that is beside it
	LeaseDuration time.Duration
	Clock         consensus.Clock
	Unsafe        lease.UnsafeOptions
	Log           *slog.Logger
	FailPoint     func(at string) // for rehearsals: what a process stumbles at; nil: nothing
	// ObserveProposal hears of each ask before it goes out, and what it returns of the answer; nil: nobody does.
	ObserveProposal func(e fleet.Entry) func(r fleet.Result, known bool)
}

// ControllerRunner carries out what a jobs.Steward wants.
type ControllerRunner struct {
	config     ControllerConfig
	client     *Client
	watcher    *StateWatcher
	tasks      sync.WaitGroup
	holdsLease atomic.Bool

	mu         sync.Mutex
	controller *rollingupdate.Controller

	viewedAt time.Time // of drive
	view     rollingupdate.ClusterView
}

// NewControllerRunner makes one.
func NewControllerRunner(c ControllerConfig, client *Client, f *StateWatcher) *ControllerRunner {
	return &ControllerRunner{config: c, client: client, watcher: f, controller: rollingupdate.NewController(c.Resource, c.Identity, c.Node, c.LeaseDuration, c.Unsafe)}
}

// HoldsLease tells whether it owns the work, as far as it knows.
func (s *ControllerRunner) HoldsLease() bool { return s.holdsLease.Load() }

// Run wants and does the work until ctx ends; then it gives it back.
func (s *ControllerRunner) Run(ctx context.Context) {
	defer s.tasks.Wait()
	s.tasks.Go(func() { s.reconcileLoop(ctx) })
	tick := time.NewTicker(s.config.LeaseDuration / 40)
	defer tick.Stop()
	for {
		s.maintainLease(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			s.mu.Lock()
			s.controller.Resign()
			s.mu.Unlock()
			last, stop := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer stop()
			s.maintainLease(last)
			return
		}
	}
}

// maintainLease keeps the lease, one ask at a time.
func (s *ControllerRunner) maintainLease(ctx context.Context) {
	st, _ := s.watcher.State()
	s.mu.Lock()
	at := s.config.Clock.Monotonic()
	e, ok := s.controller.NextProposal(at, st)
	s.mu.Unlock()
	if !ok {
		return
	}
	ctx, stop := context.WithTimeout(ctx, min(proposeTimeout, s.config.LeaseDuration/2))
	defer stop()
	var answered func(fleet.Result, bool)
	if s.config.ObserveProposal != nil {
		answered = s.config.ObserveProposal(e)
	}
	r, err := s.client.Propose(ctx, e)
	s.mu.Lock()
	_, had := s.controller.HoldsLease()
	s.controller.HandleResult(at, s.config.Clock.Monotonic(), e, r, err == nil)
	token, has := s.controller.HoldsLease()
	s.mu.Unlock()
	if has != had {
		s.config.Log.Info("fleet: ownership", "work", s.config.Resource, "holder", s.config.Identity, "owns", has, "token", token, "position", r.Position)
	}
	s.holdsLease.Store(has)
	if answered != nil {
		answered(r, err == nil)
	}
}

// reconcileLoop does what the job asks for while the work is owned.
func (s *ControllerRunner) reconcileLoop(ctx context.Context) {
	tick := time.NewTicker(max(s.config.LeaseDuration/50, 20*time.Millisecond))
	defer tick.Stop()
	for {
		s.reconcile(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile looks at the job once, and does what comes next.
func (s *ControllerRunner) reconcile(ctx context.Context) {
	st, _ := s.watcher.State()
	s.mu.Lock()
	_, may := s.controller.FencingToken(s.config.Clock.Monotonic())
	s.mu.Unlock()
	if !may || st.OpenJob(s.config.Resource) == nil {
		return
	}
	v := s.observe(ctx, st)
	s.mu.Lock()
	all := s.controller.Next(s.config.Clock.Monotonic(), st, v)
	s.mu.Unlock()
	var acts sync.WaitGroup
	for _, a := range all {
		acts.Go(func() {
			if a.Entry != nil {
				s.propose(ctx, *a.Entry)
				return
			}
			s.requestEffect(ctx, st, *a.Request)
		})
	}
	acts.Wait()
}

// observe asks all followers how their nodes are, now and then.
func (s *ControllerRunner) observe(ctx context.Context, st *fleet.State) rollingupdate.ClusterView {
	if time.Since(s.viewedAt) < viewInterval {
		return s.view
	}
	ctx, stop := context.WithTimeout(ctx, agentTimeout)
	defer stop()
	v := rollingupdate.ClusterView{Nodes: make(map[string]rollingupdate.NodeStatus)}
	var mu sync.Mutex
	var asks sync.WaitGroup
	room := make(chan struct{}, maxStatusCalls)
	for name, n := range st.Nodes {
		room <- struct{}{}
		asks.Go(func() {
			defer func() { <-room }()
			var l Status
			err := s.client.Call(ctx, http.MethodGet, n.Address, "/node", struct{}{}, &l)
			mu.Lock()
			defer mu.Unlock()
			v.Nodes[name] = rollingupdate.NodeStatus{Zone: n.Zone, Capacity: n.Capacity, LeaseCandidate: n.LeaseCandidate, Serving: err == nil && l.Name == name && l.Serving}
		})
	}
	asks.Wait()
	s.viewedAt, s.view = time.Now(), v
	return v
}

// requestEffect asks a node's follower for a step, and writes down what came of it. A node that is not known waits: it has
// not joined, or is forgotten; the job can be aborted.
func (s *ControllerRunner) requestEffect(ctx context.Context, st *fleet.State, o lease.EffectRequest) {
	n, ok := st.Nodes[o.Step.Node]
	if !ok {
		return
	}
	s.mu.Lock()
	t, may := s.controller.FencingToken(s.config.Clock.Monotonic())
	s.mu.Unlock()
	if !may || t != o.FencingToken {
		return
	}
	if s.config.FailPoint != nil { // between the check of the lease and the effect
		s.config.FailPoint("effect")
	}
	ctx, stop := context.WithTimeout(ctx, agentTimeout)
	defer stop()
	var r lease.EffectResponse
	if err := s.client.Call(ctx, http.MethodPost, n.Address, "/effect", o, &r); err != nil {
		if errors.Is(err, ErrRejected) {
			s.config.Log.Warn("fleet: an effect is refused", "key", o.IdempotencyKey, "token", o.FencingToken, "error", err)
		}
		return // asked again
	}
	s.mu.Lock()
	entries := s.controller.HandleResponse(o, r)
	s.mu.Unlock()
	for _, e := range entries {
		s.propose(ctx, e)
	}
}

// propose puts an entry into the log. One that was not answered may be there, or come.
func (s *ControllerRunner) propose(ctx context.Context, e fleet.Entry) {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	r, err := s.client.Propose(ctx, e)
	if err != nil {
		return
	}
	s.mu.Lock()
	lost := s.controller.HandleWrite(r)
	s.mu.Unlock()
	if lost {
		s.config.Log.Warn("fleet: the log refuses a step: the work is another's", "work", s.config.Resource, "job", e.JobID, "step", e.Step.String(), "token", e.FencingToken)
	}
}
