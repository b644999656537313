package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/internal/door"
	"cobaltward/internal/keep"
)

// Node is what a follower drives: the node beside it. It knows nothing of agreement.
type Node interface {
	// Serving tells whether the node answers and takes requests.
	Serving(ctx context.Context) bool
	// Drain takes it out in order; it returns once nothing is open, or an error once that can't be.
	Drain(ctx context.Context, deadline time.Duration, reason string) error
	// Resume has it serve again; it returns once it does.
	Resume(ctx context.Context, who string) error
	// DisableServer and Lift hold one server out, and no longer.
	DisableServer(ctx context.Context, server string) error
	EnableServer(ctx context.Context, server string) error
	// DisabledServers are the servers that are held out by hand.
	DisabledServers(ctx context.Context) ([]string, error)
	// ServersByZone are the servers of the node's list by zone.
	ServersByZone(ctx context.Context) (map[string][]string, error)
}

// Commands are the operator's. They get WAYHOLD_NODE, WAYHOLD_KEY, WAYHOLD_TOKEN and WAYHOLD_STEP, and end with the
// process that began them.
type Commands struct {
	Patch  []string
	Verify []string // 0: the patch is in; 1: it is not; else nobody can tell
	Revert []string
}

// Config is what a follower beside a node is told.
type Config struct {
	Self      fleet.Node
	Dir       string
	Commands  Commands
	Timeout   time.Duration // of a command, and of a node to come back
	Clock     consensus.Clock
	Unsafe    lease.UnsafeOptions
	Log       *slog.Logger
	FailPoint func(at string) // for rehearsals: what a process stumbles at; nil: nothing
}

// Status is what a follower shows of its node.
type Status struct {
	Name           string         `json:"name"`
	Serving        bool           `json:"serving"`
	Position       fleet.Position `json:"at"`
	LeaseCandidate bool           `json:"owns"`
	Rejected       uint64         `json:"refused"` // effects that came under an old token
}

// Agent is a follower beside a node: a receiver of effects.
type Agent struct {
	config  Config
	node    Node
	client  *Client
	watcher *StateWatcher
	ctx     context.Context
	tasks   sync.WaitGroup

	mu           sync.Mutex
	receiver     *lease.FencedReceiver
	activeOrders []string // in force
	rejected     uint64
}

var errStaleToken = errors.New("refused")

const (
	stateFile         = "receiver.json"
	reconcileInterval = time.Second
	registerInterval  = 5 * time.Second // where another goes by this name, or an old Join came late
	nodeTimeout       = 2 * time.Second
)

// New reads what an earlier process has left.
func New(c Config, node Node, client *Client) (*Agent, error) {
	a := &Agent{config: c, node: node, client: client}
	var kept lease.ReceiverState
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(a.file())
	if err == nil {
		err = json.Unmarshal(raw, &kept)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		// Without it an old owner's effect could not be told from a new one's.
		return nil, fmt.Errorf("%s: %w: see to it before this follower receives anything", a.file(), err)
	}
	a.receiver = lease.Restore(kept, c.Self.Name, c.Self.Incarnation, c.Unsafe)
	a.watcher = NewStateWatcher(client, a.report, c.Log)
	return a, nil
}

func (a *Agent) file() string { return filepath.Join(a.config.Dir, stateFile) }

// save writes down what must outlive the process. The caller has the mutex: nothing passes the gate meanwhile.
func (a *Agent) save() error {
	raw, err := json.Marshal(a.receiver.ReceiverState)
	if err != nil {
		return err
	}
	return keep.File(a.file(), raw)
}

// Watcher is the one that the agent follows by.
func (a *Agent) Watcher() *StateWatcher { return a.watcher }

// Run follows, holds and joins until ctx ends, and ends what it has begun.
func (a *Agent) Run(ctx context.Context) {
	defer a.tasks.Wait()
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.tasks.Go(func() { a.watcher.Run(ctx) })
	a.tasks.Go(func() { a.register(ctx) })
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		news := a.watcher.Updates()
		a.reconcileDisabled(ctx)
		select {
		case <-news:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// register has the fleet know of the node. Another that goes by its name is told of, and left alone.
func (a *Agent) register(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		s, heard := a.watcher.State()
		a.mu.Lock()
		joined := a.receiver.Registered(s)
		a.mu.Unlock()
		known := s.Nodes[a.config.Self.Name]
		switch {
		case heard.IsZero() || known == a.config.Self:
		case joined && time.Since(last) < registerInterval:
		default:
			if joined && known.Incarnation != "" {
				a.config.Log.Error("fleet: another process goes by this name", "name", known.Name, "address", known.Address)
			}
			last = time.Now()
			callCtx, stop := context.WithTimeout(ctx, proposeTimeout)
			_, err := a.client.Propose(callCtx, fleet.Entry{Kind: fleet.KindRegisterNode, Node: &a.config.Self})
			stop()
			if err != nil {
				a.config.Log.Debug("fleet: joining", "error", err)
			}
		}
		news := a.watcher.Updates()
		select {
		case <-news:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) report() consensus.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return consensus.AgentReport{Name: a.config.Self.Name, Incarnation: a.config.Self.Incarnation, ActiveDisableOrders: a.activeOrders}
}

// reconcileDisabled has the node hold out what the fleet holds, and lifts what it held for the fleet before, and only that.
func (a *Agent) reconcileDisabled(ctx context.Context) {
	s, _ := a.watcher.State()
	orders := s.ActiveDisableOrders(a.config.Clock.Wall())
	a.mu.Lock()
	mine := slices.Clone(a.receiver.DisabledServers)
	a.mu.Unlock()
	if len(orders) == 0 && len(mine) == 0 {
		a.setActiveOrders(nil)
		return
	}
	ctx, stop := context.WithTimeout(ctx, nodeTimeout)
	defer stop()
	want, err := a.desiredServers(ctx, orders)
	held, heldErr := a.node.DisabledServers(ctx)
	if err != nil || heldErr != nil {
		a.setActiveOrders(nil) // nothing can be said of it
		return
	}
	have := make(map[string]bool)
	for _, id := range held {
		have[id] = true
	}
	var next []string
	for _, id := range mine {
		if !want[id] && have[id] && a.node.EnableServer(ctx, id) != nil {
			next = append(next, id) // tried again
		}
	}
	for id := range want {
		if slices.Contains(mine, id) || !have[id] { // what an operator holds by hand is his to lift
			next = append(next, id)
		}
	}
	slices.Sort(next)
	if !slices.Equal(next, mine) { // before it is done: what is held must be lifted by a later process, too
		a.mu.Lock()
		a.receiver.DisabledServers = next
		err := a.save()
		a.mu.Unlock()
		if err != nil {
			a.config.Log.Error("fleet: holds can't be remembered, and are not carried out", "error", err)
			return
		}
	}
	for id := range want {
		if !have[id] {
			if err := a.node.DisableServer(ctx, id); err != nil {
				a.config.Log.Debug("fleet: a hold is not in force", "server", id, "error", err)
				continue
			}
			have[id] = true
		}
	}
	var force []string
	for _, h := range orders {
		one, err := a.desiredServers(ctx, []*fleet.DisableOrder{h})
		if err == nil && !slices.ContainsFunc(slices.Collect(maps.Keys(one)), func(server string) bool { return !have[server] }) {
			force = append(force, h.ID)
		}
	}
	a.setActiveOrders(force)
}

// desiredServers are the servers that holds ask for, with those that the node's list has in their zones.
func (a *Agent) desiredServers(ctx context.Context, orders []*fleet.DisableOrder) (map[string]bool, error) {
	want := make(map[string]bool)
	var zones map[string][]string
	for _, h := range orders {
		if len(h.Zones) > 0 && zones == nil {
			var err error
			if zones, err = a.node.ServersByZone(ctx); err != nil {
				return nil, err
			}
		}
		for _, id := range h.Servers {
			want[id] = true
		}
		for _, z := range h.Zones {
			for _, id := range zones[z] {
				want[id] = true
			}
		}
	}
	return want, nil
}

func (a *Agent) setActiveOrders(ids []string) {
	a.mu.Lock()
	changed := !slices.Equal(a.activeOrders, ids)
	a.activeOrders = ids
	a.mu.Unlock()
	if changed {
		a.watcher.ReportChanged()
	}
}

// Mount answers owners.
func (a *Agent) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/effect", func(w http.ResponseWriter, r *http.Request) {
		var o lease.EffectRequest
		if !door.Read(w, r, &o) {
			return
		}
		reply, err := a.HandleEffect(o)
		if err != nil {
			status := http.StatusServiceUnavailable
			if errors.Is(err, errStaleToken) {
				status = http.StatusConflict
			}
			door.Reply(w, status, door.Error{Error: err.Error(), More: reply})
			return
		}
		door.Reply(w, http.StatusOK, reply)
	})
	mux.HandleFunc("GET /v1/node", func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), nodeTimeout)
		defer stop()
		s, _ := a.watcher.State()
		l := Status{Name: a.config.Self.Name, Serving: a.node.Serving(ctx), Position: s.Position, LeaseCandidate: a.config.Self.LeaseCandidate}
		a.mu.Lock()
		l.Rejected = a.rejected
		a.mu.Unlock()
		door.Reply(w, http.StatusOK, l)
	})
}

// HandleEffect lets an effect through or refuses it. What is let through goes on by itself, and is asked for again to learn
// what became of it.
func (a *Agent) HandleEffect(o lease.EffectRequest) (lease.EffectResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.ctx.Err() != nil {
		return lease.EffectResponse{}, errors.New("the follower is not running")
	}
	s, _ := a.watcher.State()
	r, verdict, changed := a.receiver.Decide(o, s)
	if changed {
		if err := a.save(); err != nil {
			if verdict == lease.Execute || verdict == lease.VerifyFirst {
				a.receiver.MarkUnsaved(o.IdempotencyKey)
			}
			return lease.EffectResponse{}, err
		}
	}
	switch verdict {
	case lease.Reject:
		a.rejected++
		a.config.Log.Warn("fleet: an old owner's effect is refused", "work", o.Resource, "key", o.IdempotencyKey, "token", o.FencingToken, "newest", r.HighestToken)
		return r, fmt.Errorf("%w: the token %d is old (%d has been seen), or the job is over", errStaleToken, o.FencingToken, r.HighestToken)
	case lease.Defer:
		return r, errors.New("this follower does not know of the step yet: ask again")
	case lease.Execute, lease.VerifyFirst:
		a.tasks.Go(func() { a.execute(a.ctx, o, verdict == lease.VerifyFirst) })
	}
	return r, nil
}

// execute does an effect, and notes what came of it.
func (a *Agent) execute(ctx context.Context, o lease.EffectRequest, look bool) {
	if a.config.FailPoint != nil {
		a.config.FailPoint("before " + string(o.Step.Action))
	}
	doCtx, stop := context.WithTimeout(ctx, a.config.Timeout)
	defer stop()
	outcome, detail := a.perform(doCtx, o, look)
	if a.config.FailPoint != nil {
		a.config.FailPoint("after " + string(o.Step.Action))
	}
	if ctx.Err() != nil {
		return // the process ends: the next one looks
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receiver.EffectLog.Finish(o.IdempotencyKey, outcome, detail)
	if err := a.save(); err != nil {
		a.config.Log.Error("fleet: an outcome can't be remembered", "key", o.IdempotencyKey, "error", err)
	}
	a.config.Log.Info("fleet: an effect has ended", "key", o.IdempotencyKey, "token", o.FencingToken, "outcome", outcome, "detail", detail)
}

func (a *Agent) perform(ctx context.Context, o lease.EffectRequest, look bool) (outcome fleet.StepOutcome, detail string) {
	var err error
	switch o.Step.Action {
	case fleet.ActionDrain, fleet.ActionRollbackDrain:
		err = a.node.Drain(ctx, o.DrainTimeout, fmt.Sprintf("%s, token %d", o.Reason, o.FencingToken))
	case fleet.ActionResume, fleet.ActionRollbackResume:
		err = a.node.Resume(ctx, fmt.Sprintf("fleet, %s, token %d", o.JobID, o.FencingToken))
	case fleet.ActionPatch:
		return a.performCommand(ctx, o, a.config.Commands.Patch, look, 0)
	case fleet.ActionRevert:
		return a.performCommand(ctx, o, a.config.Commands.Revert, look, 1)
	default:
		return fleet.OutcomeFailed, "this program knows no step " + string(o.Step.Action)
	}
	if err != nil {
		return fleet.OutcomeFailed, clip(err.Error())
	}
	return fleet.OutcomeOK, ""
}

// performCommand runs a command of the operator's, which knows no tokens. Where it may have run already, look says: done is
// its status where it has. What it can't tell is in doubt, and stays so.
func (a *Agent) performCommand(ctx context.Context, o lease.EffectRequest, words []string, look bool, done int) (outcome fleet.StepOutcome, detail string) {
	if len(words) == 0 {
		return fleet.OutcomeFailed, "no command is set for " + string(o.Step.Action)
	}
	env := []string{"WAYHOLD_NODE=" + a.config.Self.Name, "WAYHOLD_KEY=" + o.IdempotencyKey, fmt.Sprintf("WAYHOLD_TOKEN=%d", o.FencingToken), "WAYHOLD_STEP=" + string(o.Step.Action)}
	if look {
		status, out, err := runCommand(ctx, a.config.Commands.Verify, env)
		switch {
		case err != nil || status > 1:
			return fleet.OutcomeUnknown, clip(fmt.Sprintf("whether it has run can't be told: status %d, %v, %s", status, err, out))
		case status == done:
			return fleet.OutcomeOK, "it had run before it was asked for again"
		}
	}
	status, out, err := runCommand(ctx, words, env)
	switch {
	case err != nil:
		return fleet.OutcomeFailed, clip(err.Error() + ": " + out)
	case status != 0:
		return fleet.OutcomeFailed, clip(fmt.Sprintf("status %d: %s", status, out))
	}
	return fleet.OutcomeOK, ""
}

func clip(s string) string {
	const most = 512
	if len(s) > most {
		s = s[:most] + "…"
	}
	return s
}
