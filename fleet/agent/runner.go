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
	agentTimeout   = 2 * time.Second        // timeout for an effect request, or for collecting the status of all nodes
	releaseTimeout = time.Second            // timeout for the release of the lease when the runner ends
	viewInterval   = 500 * time.Millisecond // maximum age of the cached status of all nodes
	maxStatusCalls = 32                     // maximum concurrent status calls to agents

	leaseChecksPerDuration = 40 // number of lease checks per lease duration
	reconcilesPerDuration  = 50 // number of reconciliations of the job per lease duration
	minReconcileInterval   = 20 * time.Millisecond
)

// ControllerConfig configures a ControllerRunner.
type ControllerConfig struct {
	Kind          fleet.JobKind
	Identity      string // identity of this incarnation of the process; see fleet.Entry.Holder
	Node          string // name of the node that the process runs beside
	LeaseDuration time.Duration
	Clock         consensus.Clock
	Unsafe        lease.UnsafeOptions
	Log           *slog.Logger
	// FailPoint is called at points where tests may kill or pause the process. If FailPoint is nil, nothing is
	// called.
	FailPoint func(point string)
	// ObserveProposal is called with each proposal about the lease before it is sent. The returned function is called
	// with the result of the proposal; known is false if the outcome is unknown. If ObserveProposal is nil, proposals
	// are not observed.
	ObserveProposal func(entry fleet.Entry) func(result fleet.Result, known bool)
}

// ControllerRunner runs a rollingupdate.Controller. It proposes the controller's entries, and asks agents to carry out
// the controller's effects.
type ControllerRunner struct {
	config     ControllerConfig
	client     *Client
	watcher    *StateWatcher
	holdsLease atomic.Bool

	mu         sync.Mutex
	controller *rollingupdate.Controller

	viewedAt time.Time                 // time when view was requested; used only by reconcileLoop
	view     rollingupdate.ClusterView // used only by reconcileLoop
}

// NewControllerRunner returns a runner that makes its calls with client and follows the state through watcher.
func NewControllerRunner(config ControllerConfig, client *Client, watcher *StateWatcher) *ControllerRunner {
	return &ControllerRunner{
		config:  config,
		client:  client,
		watcher: watcher,
		controller: rollingupdate.NewController(
			config.Kind, config.Identity, config.Node, config.LeaseDuration, config.Unsafe),
	}
}

// HoldsLease reports whether the process holds the lease, as of the outcome of its last proposal.
func (r *ControllerRunner) HoldsLease() bool { return r.holdsLease.Load() }

// Run competes for the lease until ctx is done, and runs the open job while the process holds the lease. At the end
// it releases the lease.
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

// release gives up the lease after ctx is done. It has its own timeout.
func (r *ControllerRunner) release(ctx context.Context) {
	r.mu.Lock()
	r.controller.Resign()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.maintainLease(ctx)
}

// maintainLease makes the next proposal about the lease, if any, and waits for its outcome.
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

// handleResult records the outcome of a proposal about the lease that was made at requestedAt.
func (r *ControllerRunner) handleResult(requestedAt time.Duration, entry fleet.Entry, result fleet.Result, known bool) {
	r.mu.Lock()
	r.controller.HandleResult(requestedAt, r.config.Clock.Monotonic(), entry, result, known)
	token, holds := r.controller.HoldsLease()
	r.mu.Unlock()
	if held := r.holdsLease.Swap(holds); holds != held { // the lease may have expired since the last proposal
		r.config.Log.Info("fleet: lease changed", "work", r.config.Kind, "holder", r.config.Identity, "owns", holds,
			"token", token, "position", result.Position)
	}
}

// fencingToken returns the token under which the process may act now. If ok is false, the process must not act.
func (r *ControllerRunner) fencingToken() (token fleet.FencingToken, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.controller.FencingToken(r.config.Clock.Monotonic())
}

// reconcileLoop runs the open job while the process holds the lease, until ctx is done.
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

// reconcile carries out the controller's next tasks, and waits until the tasks have ended. It does nothing unless the
// process holds the lease and a job is open.
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

// observe returns the status of all nodes. It requests the status from their agents at most once per viewInterval.
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

// requestEffect requests an effect from the agent of a node. If the effect has ended, requestEffect proposes its
// outcome. If the node is not registered, requestEffect does nothing, and the job waits until the node is registered.
func (r *ControllerRunner) requestEffect(ctx context.Context, state *fleet.State, request lease.EffectRequest) {
	node, ok := state.Nodes[request.Step.Node]
	if !ok {
		return
	}
	if token, ok := r.fencingToken(); !ok || token != request.FencingToken {
		return
	}
	if r.config.FailPoint != nil {
		r.config.FailPoint("effect") // between the check of the lease and the request
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

// propose proposes an entry of the job. After an error the outcome is unknown, and the entry may still be applied.
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
