package follow

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
	"cobaltward/fleet/council"
	"cobaltward/fleet/owner"
	"cobaltward/internal/door"
	"cobaltward/internal/keep"
)

// Node is what a follower drives: the node beside it. It knows nothing of agreement.
type Node interface {
	// Serving tells whether the node answers and takes requests.
	Serving(ctx context.Context) bool
	// Out takes it out in order; it returns once nothing is open, or an error once that can't be.
	Out(ctx context.Context, deadline time.Duration, reason string) error
	// In has it serve again; it returns once it does.
	In(ctx context.Context, who string) error
	// Hold and Lift hold one server out, and no longer.
	Hold(ctx context.Context, server string) error
	Lift(ctx context.Context, server string) error
	// Held are the servers that are held out by hand.
	Held(ctx context.Context) ([]string, error)
	// Zones are the servers of the node's list by zone.
	Zones(ctx context.Context) (map[string][]string, error)
}

// Commands are the operator's. They get WAYHOLD_NODE, WAYHOLD_KEY, WAYHOLD_TOKEN and WAYHOLD_STEP, and end with the
// process that began them.
type Commands struct {
	Patch  []string
	Look   []string // 0: the patch is in; 1: it is not; else nobody can tell
	Revert []string
}

// AgentConfig is what a follower beside a node is told.
type AgentConfig struct {
	Self     fleet.Node
	Dir      string
	Commands Commands
	Timeout  time.Duration // of a command, and of a node to come back
	Clock    council.Clock
	Guards   owner.Guards
	Log      *slog.Logger
	Halt     func(at string) // for rehearsals: what a process stumbles at; nil: nothing
}

// Look is what a follower shows of its node.
type Look struct {
	Name    string         `json:"name"`
	Serving bool           `json:"serving"`
	At      fleet.Position `json:"at"`
	Owns    bool           `json:"owns"`
	Refused uint64         `json:"refused"` // effects that came under an old token
}

// Agent is a follower beside a node: a receiver of effects.
type Agent struct {
	c        AgentConfig
	node     Node
	client   *Client
	follower *Follower
	ctx      context.Context
	parts    sync.WaitGroup

	mu      sync.Mutex
	mem     *owner.Receiver
	holds   []string // in force
	refused uint64
}

var errRefused = errors.New("refused")

const (
	memoryFile  = "receiver.json"
	holdEvery   = time.Second
	rejoinEvery = 5 * time.Second // where another goes by this name, or an old Join came late
	doorWait    = 2 * time.Second
)

// NewAgent reads what an earlier process has left.
func NewAgent(c AgentConfig, node Node, client *Client) (*Agent, error) {
	a := &Agent{c: c, node: node, client: client}
	var kept owner.Memory
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
	a.mem = owner.Wake(kept, c.Self.Name, c.Self.Incarnation, c.Guards)
	a.follower = NewFollower(client, a.report, c.Log)
	return a, nil
}

func (a *Agent) file() string { return filepath.Join(a.c.Dir, memoryFile) }

// save writes down what must outlive the process. The caller has the mutex: nothing passes the gate meanwhile.
func (a *Agent) save() error {
	raw, err := json.Marshal(a.mem.Memory)
	if err != nil {
		return err
	}
	return keep.File(a.file(), raw)
}

// Follower is the one that the agent follows by.
func (a *Agent) Follower() *Follower { return a.follower }

// Run follows, holds and joins until ctx ends, and ends what it has begun.
func (a *Agent) Run(ctx context.Context) {
	defer a.parts.Wait()
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.parts.Go(func() { a.follower.Run(ctx) })
	a.parts.Go(func() { a.join(ctx) })
	tick := time.NewTicker(holdEvery)
	defer tick.Stop()
	for {
		news := a.follower.News()
		a.keepHolds(ctx)
		select {
		case <-news:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// join has the fleet know of the node. Another that goes by its name is told of, and left alone.
func (a *Agent) join(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		s, heard := a.follower.State()
		a.mu.Lock()
		joined := a.mem.Joined(s)
		a.mu.Unlock()
		known := s.Nodes[a.c.Self.Name]
		switch {
		case heard.IsZero() || known == a.c.Self:
		case joined && time.Since(last) < rejoinEvery:
		default:
			if joined && known.Incarnation != "" {
				a.c.Log.Error("fleet: another process goes by this name", "name", known.Name, "address", known.Address)
			}
			last = time.Now()
			callCtx, stop := context.WithTimeout(ctx, proposeWait)
			_, err := a.client.Propose(callCtx, fleet.Entry{Kind: fleet.KindRegisterNode, Node: &a.c.Self})
			stop()
			if err != nil {
				a.c.Log.Debug("fleet: joining", "error", err)
			}
		}
		news := a.follower.News()
		select {
		case <-news:
		case <-time.After(holdEvery):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) report() council.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return council.Report{Name: a.c.Self.Name, Run: a.c.Self.Incarnation, Holds: a.holds}
}

// keepHolds has the node hold out what the fleet holds, and lifts what it held for the fleet before, and only that.
func (a *Agent) keepHolds(ctx context.Context) {
	s, _ := a.follower.State()
	orders := s.ActiveDisableOrders(a.c.Clock.Wall())
	a.mu.Lock()
	mine := slices.Clone(a.mem.Holds)
	a.mu.Unlock()
	if len(orders) == 0 && len(mine) == 0 {
		a.setHolds(nil)
		return
	}
	ctx, stop := context.WithTimeout(ctx, doorWait)
	defer stop()
	want, err := a.wanted(ctx, orders)
	held, heldErr := a.node.Held(ctx)
	if err != nil || heldErr != nil {
		a.setHolds(nil) // nothing can be said of it
		return
	}
	have := make(map[string]bool)
	for _, id := range held {
		have[id] = true
	}
	var next []string
	for _, id := range mine {
		if !want[id] && have[id] && a.node.Lift(ctx, id) != nil {
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
		a.mem.Holds = next
		err := a.save()
		a.mu.Unlock()
		if err != nil {
			a.c.Log.Error("fleet: holds can't be remembered, and are not carried out", "error", err)
			return
		}
	}
	for id := range want {
		if !have[id] {
			if err := a.node.Hold(ctx, id); err != nil {
				a.c.Log.Debug("fleet: a hold is not in force", "server", id, "error", err)
				continue
			}
			have[id] = true
		}
	}
	var force []string
	for _, h := range orders {
		one, err := a.wanted(ctx, []*fleet.DisableOrder{h})
		if err == nil && !slices.ContainsFunc(slices.Collect(maps.Keys(one)), func(server string) bool { return !have[server] }) {
			force = append(force, h.ID)
		}
	}
	a.setHolds(force)
}

// wanted are the servers that holds ask for, with those that the node's list has in their zones.
func (a *Agent) wanted(ctx context.Context, orders []*fleet.DisableOrder) (map[string]bool, error) {
	want := make(map[string]bool)
	var zones map[string][]string
	for _, h := range orders {
		if len(h.Zones) > 0 && zones == nil {
			var err error
			if zones, err = a.node.Zones(ctx); err != nil {
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

func (a *Agent) setHolds(ids []string) {
	a.mu.Lock()
	changed := !slices.Equal(a.holds, ids)
	a.holds = ids
	a.mu.Unlock()
	if changed {
		a.follower.Report()
	}
}

// Mount answers owners.
func (a *Agent) Mount(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/effect", func(w http.ResponseWriter, r *http.Request) {
		var o owner.Order
		if !door.Read(w, r, &o) {
			return
		}
		reply, err := a.Take(o)
		if err != nil {
			status := http.StatusServiceUnavailable
			if errors.Is(err, errRefused) {
				status = http.StatusConflict
			}
			door.Reply(w, status, door.Error{Error: err.Error(), More: reply})
			return
		}
		door.Reply(w, http.StatusOK, reply)
	})
	mux.HandleFunc("GET /v1/node", func(w http.ResponseWriter, r *http.Request) {
		ctx, stop := context.WithTimeout(r.Context(), doorWait)
		defer stop()
		s, _ := a.follower.State()
		l := Look{Name: a.c.Self.Name, Serving: a.node.Serving(ctx), At: s.Position, Owns: a.c.Self.LeaseCandidate}
		a.mu.Lock()
		l.Refused = a.refused
		a.mu.Unlock()
		door.Reply(w, http.StatusOK, l)
	})
}

// Take lets an effect through or refuses it. What is let through goes on by itself, and is asked for again to learn
// what became of it.
func (a *Agent) Take(o owner.Order) (owner.Reply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ctx == nil || a.ctx.Err() != nil {
		return owner.Reply{}, errors.New("the follower is not running")
	}
	s, _ := a.follower.State()
	r, verdict, changed := a.mem.Take(o, s)
	if changed {
		if err := a.save(); err != nil {
			if verdict == owner.Run || verdict == owner.Look {
				a.mem.Unsaved(o.Key)
			}
			return owner.Reply{}, err
		}
	}
	switch verdict {
	case owner.Refuse:
		a.refused++
		a.c.Log.Warn("fleet: an old owner's effect is refused", "work", o.Work, "key", o.Key, "token", o.Token, "newest", r.Seen)
		return r, fmt.Errorf("%w: the token %d is old (%d has been seen), or the job is over", errRefused, o.Token, r.Seen)
	case owner.Later:
		return r, errors.New("this follower does not know of the step yet: ask again")
	case owner.Run, owner.Look:
		a.parts.Go(func() { a.carry(a.ctx, o, verdict == owner.Look) })
	}
	return r, nil
}

// carry does an effect, and notes what came of it.
func (a *Agent) carry(ctx context.Context, o owner.Order, look bool) {
	if a.c.Halt != nil {
		a.c.Halt("before " + o.Step.Action)
	}
	doCtx, stop := context.WithTimeout(ctx, a.c.Timeout)
	defer stop()
	outcome, detail := a.do(doCtx, o, look)
	if a.c.Halt != nil {
		a.c.Halt("after " + o.Step.Action)
	}
	if ctx.Err() != nil {
		return // the process ends: the next one looks
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mem.Ledger.End(o.Key, outcome, detail)
	if err := a.save(); err != nil {
		a.c.Log.Error("fleet: an outcome can't be remembered", "key", o.Key, "error", err)
	}
	a.c.Log.Info("fleet: an effect has ended", "key", o.Key, "token", o.Token, "outcome", outcome, "detail", detail)
}

func (a *Agent) do(ctx context.Context, o owner.Order, look bool) (outcome, detail string) {
	var err error
	switch o.Step.Action {
	case fleet.ActionDrain, fleet.ActionRollbackDrain:
		err = a.node.Out(ctx, o.Drain, fmt.Sprintf("%s, token %d", o.Reason, o.Token))
	case fleet.ActionResume, fleet.ActionRollbackResume:
		err = a.node.In(ctx, fmt.Sprintf("fleet, %s, token %d", o.Job, o.Token))
	case fleet.ActionPatch:
		return a.command(ctx, o, a.c.Commands.Patch, look, 0)
	case fleet.ActionRevert:
		return a.command(ctx, o, a.c.Commands.Revert, look, 1)
	default:
		return fleet.OutcomeFailed, "this program knows no step " + o.Step.Action
	}
	if err != nil {
		return fleet.OutcomeFailed, clip(err.Error())
	}
	return fleet.OutcomeOK, ""
}

// command runs a command of the operator's, which knows no tokens. Where it may have run already, look says: done is
// its status where it has. What it can't tell is in doubt, and stays so.
func (a *Agent) command(ctx context.Context, o owner.Order, words []string, look bool, done int) (outcome, detail string) {
	if len(words) == 0 {
		return fleet.OutcomeFailed, "no command is set for " + o.Step.Action
	}
	env := []string{"WAYHOLD_NODE=" + a.c.Self.Name, "WAYHOLD_KEY=" + o.Key, fmt.Sprintf("WAYHOLD_TOKEN=%d", o.Token), "WAYHOLD_STEP=" + o.Step.Action}
	if look {
		status, out, err := run(ctx, a.c.Commands.Look, env)
		switch {
		case err != nil || status > 1:
			return fleet.OutcomeUnknown, clip(fmt.Sprintf("whether it has run can't be told: status %d, %v, %s", status, err, out))
		case status == done:
			return fleet.OutcomeOK, "it had run before it was asked for again"
		}
	}
	status, out, err := run(ctx, words, env)
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
