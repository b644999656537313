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
	agentTimeout   = 2 * time.Second        // of a call to an agent
	releaseTimeout = time.Second            // of releasing the lease when the runner ends
	viewInterval   = 500 * time.Millisecond // how long a view of the nodes is used before it is requested again
	maxStatusCalls = 32                     // maximum number of concurrent status calls to agents

	leaseChecksPerDuration = 40 // how often a runner checks its lease in one lease duration
	reconcilesPerDuration  = 50 // how often a runner reconciles its job in one lease duration
	minReconcileInterval   = 20 * time.Millisecond
)

// ControllerConfig configures a ControllerRunner.
type ControllerConfig struct {
	Kind          fleet.JobKind
	Identity      string // under which this incarnation of the process holds leases; see fleet.Entry.Holder
	Node          string // name of the node beside which the process runs
	LeaseDuration time.Duration
	Clock         consensus.Clock
	Unsafe        lease.UnsafeOptions
	Log           *slog.Logger
	// FailPoint is called at points where tests may kill or pause the process; nil: there are no such points.
	FailPoint func(point string)
	// ObserveProposal is called with each proposal about the lease before it is sent. The function that it returns is
	// called with the result; known is false if the outcome is unknown. nil: proposals are not observed.
	ObserveProposal func(entry fleet.Entry) func(result fleet.Result, known bool)
}

// ControllerRunner drives a rollingupdate.Controller: it proposes its entries and requests its effects from agents.
type ControllerRunner struct {
	config     ControllerConfig
	client     *Client
	watcher    *StateWatcher
	holdsLease atomic.Bool

	mu         sync.Mutex
	controller *rollingupdate.Controller

	viewedAt time.Time                 // when view was requested; used by reconcileLoop only
	view     rollingupdate.ClusterView // used by reconcileLoop only
}

// NewControllerRunner returns a runner that follows the state through a watcher.
func NewControllerRunner(config ControllerConfig, client *Client, watcher *StateWatcher) *ControllerRunner {
	return &ControllerRunner{
		config:  config,
		client:  client,
		watcher: watcher,
		controller: rollingupdate.NewController(
			config.Kind, config.Identity, config.Node, config.LeaseDuration, config.Unsafe),
	}
}

// HoldsLease reports whether the process holds the lease, as of its last proposal.
func (r *ControllerRunner) HoldsLease() bool { return r.holdsLease.Load() }

// Run competes for the lease, and runs the job while it holds the lease, until ctx is done. Then it releases the lease.
func (r *ControllerRunner) Run(ctx context.Context) {
	var reconciler sync.WaitGroup
	defer reconciler.Wait()
	reconciler.Go(func() { r.reconcileLoop(ctx) })
	ticker := time.NewTicker(r.config.LeaseDuration / leaseChecksPerDuration)
	defer ticker.Stop()
	for {
		r.maintainLease(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			r.release(ctx)
			return
		}
	}
}

// release gives up the lease after ctx is done, with a timeout of its own.
func (r *ControllerRunner) release(ctx context.Context) {
	r.mu.Lock()
	r.controller.Resign()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.maintainLease(ctx)
}

// maintainLease makes the next proposal about the lease, if one is due, and waits for its outcome.
func (r *ControllerRunner) maintainLease(ctx context.Context) {
	state, _ := r.watcher.State()
	r.mu.Lock()
	requestedAt := r.config.Clock.Monotonic()
	entry, ok := r.controller.NextProposal(requestedAt, state)
	r.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(proposeTimeout, r.config.LeaseDuration/2))
	defer cancel()
	observeResult := func(fleet.Result, bool) {}
	if r.config.ObserveProposal != nil {
		observeResult = r.config.ObserveProposal(entry)
	}
	result, err := r.client.Propose(ctx, entry)
	r.handleResult(requestedAt, entry, result, err == nil)
	observeResult(result, err == nil)
}

// handleResult records the outcome of a proposal about the lease.
func (r *ControllerRunner) handleResult(requestedAt time.Duration, entry fleet.Entry, result fleet.Result, known bool) {
	r.mu.Lock()
	r.controller.HandleResult(requestedAt, r.config.Clock.Monotonic(), entry, result, known)
	token, holds := r.controller.HoldsLease()
	r.mu.Unlock()
	if held := r.holdsLease.Swap(holds); holds != held { // the lease may have expired between two proposals
		r.config.Log.Info("fleet: lease changed", "work", r.config.Kind, "holder", r.config.Identity, "owns", holds,
			"token", token, "position", result.Position)
	}
}

// fencingToken returns the fencing token to act under now. If ok is false, the process must not act.
func (r *ControllerRunner) fencingToken() (token fleet.FencingToken, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.FencingToken(r.config.Clock.Monotonic())
}

// reconcileLoop carries out the open job while the process holds the lease, until ctx is done.
func (r *ControllerRunner) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(max(r.config.LeaseDuration/reconcilesPerDuration, minReconcileInterval))
	defer ticker.Stop()
	for {
		r.reconcile(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile executes the next steps of the open job, if the process holds the lease, and waits for them.
func (r *ControllerRunner) reconcile(ctx context.Context) {
	state, _ := r.watcher.State()
	if _, ok := r.fencingToken(); !ok || state.OpenJob(r.config.Kind) == nil {
		return
	}
	view := r.observe(ctx, state)
	r.mu.Lock()
	tasks := r.controller.Next(r.config.Clock.Monotonic(), state, view)
	r.mu.Unlock()
	var running sync.WaitGroup
	for _, task := range tasks {
		running.Go(func() {
			if task.Entry != nil {
				r.propose(ctx, *task.Entry)
				return
			}
			r.requestEffect(ctx, state, *task.Request)
		})
	}
	running.Wait()
}

// observe returns a view of the nodes, which it requests from their agents at most once per viewInterval.
func (r *ControllerRunner) observe(ctx context.Context, state *fleet.State) rollingupdate.ClusterView {
	if time.Since(r.viewedAt) < viewInterval {
		return r.view
	}
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	view := rollingupdate.ClusterView{Nodes: make(map[string]rollingupdate.NodeStatus)}
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxStatusCalls)
	for name, node := range state.Nodes {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			status := r.nodeStatus(ctx, node)
			mu.Lock()
			defer mu.Unlock()
			view.Nodes[name] = status
		})
	}
	calls.Wait()
	r.viewedAt, r.view = time.Now(), view
	return view
}

// nodeStatus requests the status of a node from its agent. A node without a valid response counts as not serving.
func (r *ControllerRunner) nodeStatus(ctx context.Context, node fleet.Node) rollingupdate.NodeStatus {
	var status Status
	err := r.client.Call(ctx, http.MethodGet, node.Address, "/node", struct{}{}, &status)
	return rollingupdate.NodeStatus{
		Zone:           node.Zone,
		Capacity:       node.Capacity,
		LeaseCandidate: node.LeaseCandidate,
		Serving:        err == nil && status.Name == node.Name && status.Serving,
	}
}

// requestEffect requests an effect from the agent of a node, and proposes its outcome. If the node is not registered,
// the job waits until it is, or until an operator aborts the job.
func (r *ControllerRunner) requestEffect(ctx context.Context, state *fleet.State, request lease.EffectRequest) {
	node, ok := state.Nodes[request.Step.Node]
	if !ok {
		return
	}
	if token, ok := r.fencingToken(); !ok || token != request.FencingToken {
		return
	}
	if r.config.FailPoint != nil {
		r.config.FailPoint("effect") // between the check of the lease and the effect
	}
	ctx, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	var response lease.EffectResponse
	if err := r.client.Call(ctx, http.MethodPost, node.Address, "/effect", request, &response); err != nil {
		if errors.Is(err, ErrRejected) {
			r.config.Log.Warn("fleet: effect rejected", "key", request.IdempotencyKey, "token", request.FencingToken,
				"error", err)
		}
		return // the next reconciliation requests the effect again
	}
	r.mu.Lock()
	entries := r.controller.HandleResponse(request, response)
	r.mu.Unlock()
	for _, entry := range entries {
		r.propose(ctx, entry)
	}
}

// propose proposes an entry of the job. After an error the outcome is unknown: the entry may be applied now or later.
func (r *ControllerRunner) propose(ctx context.Context, entry fleet.Entry) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := r.client.Propose(ctx, entry)
	if err != nil {
		return
	}
	r.mu.Lock()
	leaseLost := r.controller.HandleWrite(result)
	r.mu.Unlock()
	if leaseLost {
		r.config.Log.Warn("fleet: entry rejected: another process holds the lease", "resource", r.config.Kind,
			"job", entry.JobID, "step", entry.Step.String(), "token", entry.FencingToken)
	}
}
