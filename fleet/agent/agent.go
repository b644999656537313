package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/internal/atomicfile"
)

// Commands holds the command lines that the operator has configured for rolling updates. The commands get the
// environment variables WAYHOLD_NODE, WAYHOLD_KEY, WAYHOLD_TOKEN and WAYHOLD_STEP. They are killed when the agent's
// process ends.
type Commands struct {
	Patch  []string // applies the patch
	Verify []string // exit status 0: patch applied; 1: not applied; any other: unknown
	Revert []string // removes the patch
}

// Config configures an agent.
type Config struct {
	Self     fleet.Node
	Dir      string // directory of the state that survives a restart
	Commands Commands
	// Timeout is the timeout for each effect: a drain, a resume, or a command and its verification.
	Timeout time.Duration
	Clock   consensus.Clock
	Unsafe  lease.UnsafeOptions
	Log     *slog.Logger
	// FailPoint is called at points where tests may kill or pause the process. If FailPoint is nil, nothing is
	// called.
	FailPoint func(point string)
}

// Agent connects one node to the fleet. It is safe for concurrent use.
type Agent struct {
	config  Config
	node    Node
	client  *Client
	watcher *StateWatcher
	tasks   sync.WaitGroup

	mu              sync.Mutex
	ctx             context.Context // context of Run; nil before Run is called
	receiver        *lease.FencedReceiver
	activeOrders    []string // IDs of the disable orders in force at the node
	rejectedEffects uint64   // effects rejected because of a stale token or a closed job
}

const (
	// stateFile is the name of the file in Config.Dir with the state of the receiver.
	stateFile = "receiver.json"
	// reconcileInterval is the maximum time between two checks of the disable orders and of the registration. Each new
	// state also triggers a check.
	reconcileInterval = time.Second
	// registerInterval is the minimum time between two registrations after the first. Further registrations are needed
	// while another process registers the same name, or after a delayed earlier registration has replaced the current
	// one.
	registerInterval = 5 * time.Second
	// nodeTimeout is the timeout for the calls to the node in one reconciliation, and for the status call in a request.
	nodeTimeout = 2 * time.Second
	// proposeTimeout is the timeout for each proposal to the consensus group.
	proposeTimeout = 2 * time.Second
)

// New returns an agent that continues from the state in Config.Dir that an earlier process stored, if any.
func New(config Config, node Node, client *Client) (*Agent, error) {
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	agent := &Agent{config: config, node: node, client: client}
	stored, err := readState(agent.stateFile())
	if err != nil {
		// Without the stored state, the agent could not tell effects of a former lease holder from newer effects.
		return nil, fmt.Errorf("%s: %w: restore the file before starting this agent", agent.stateFile(), err)
	}
	agent.receiver = lease.Restore(stored, config.Self.Name, config.Self.Incarnation, config.Unsafe)
	agent.watcher = NewStateWatcher(client, agent.report, config.Log)
	return agent, nil
}

// readState reads the stored state of a receiver. Without a file it returns the empty state.
func readState(path string) (stored lease.ReceiverState, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return stored, nil
	}
	if err != nil {
		return stored, err
	}
	err = json.Unmarshal(raw, &stored)
	return stored, err
}

func (a *Agent) stateFile() string { return filepath.Join(a.config.Dir, stateFile) }

// save stores the receiver's state. The caller must hold the mutex, which prevents a decision on an effect before the
// state is stored.
func (a *Agent) save() error {
	raw, err := json.Marshal(a.receiver.ReceiverState)
	if err != nil {
		return err
	}
	return atomicfile.Write(a.stateFile(), raw)
}

// Watcher returns the watcher through which the agent follows the state of the fleet.
func (a *Agent) Watcher() *StateWatcher { return a.watcher }

// Run follows the state, keeps the node registered and reconciles disabled servers until ctx is done. After that, it
// waits for the effects in progress.
func (a *Agent) Run(ctx context.Context) {
	defer a.tasks.Wait()
	a.mu.Lock()
	a.ctx = ctx
	a.mu.Unlock()
	a.tasks.Go(func() { a.watcher.Run(ctx) })
	a.tasks.Go(func() { a.register(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		updates := a.watcher.Updates()
		a.reconcileDisabled(ctx)
		select {
		case <-updates:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// register keeps the node registered until ctx is done.
func (a *Agent) register(ctx context.Context) {
	var lastProposal time.Time
	for ctx.Err() == nil {
		if a.registrationDue(lastProposal) {
			lastProposal = time.Now()
			a.proposeRegistration(ctx)
		}
		updates := a.watcher.Updates() // obtained after the proposal; closed by the next newer state
		select {
		case <-updates:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
		}
	}
}

// registrationDue reports whether the registration of this process must be proposed, because the state lacks the
// registration. After the first registration it allows a proposal only every registerInterval. It logs an error if
// another process has registered the same name.
func (a *Agent) registrationDue(lastProposal time.Time) bool {
	state, lastResponse := a.watcher.State()
	a.mu.Lock()
	registered := a.receiver.Registered(state)
	a.mu.Unlock()
	known := state.Nodes[a.config.Self.Name]
	if lastResponse.IsZero() || known == a.config.Self {
		return false
	}
	if !registered {
		return true
	}
	if time.Since(lastProposal) < registerInterval {
		return false
	}
	if known.Incarnation != "" {
		a.config.Log.Error("fleet: another process has this name", "name", known.Name, "address", known.Address)
	}
	return true
}

func (a *Agent) proposeRegistration(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	entry := fleet.Entry{Kind: fleet.KindRegisterNode, Node: &a.config.Self}
	if _, err := a.client.Propose(ctx, entry); err != nil {
		a.config.Log.Debug("fleet: registration failed", "error", err)
	}
}

// report returns the agent's report for a watch request.
func (a *Agent) report() consensus.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return consensus.AgentReport{
		Name:                a.config.Self.Name,
		Incarnation:         a.config.Self.Incarnation,
		ActiveDisableOrders: a.activeOrders,
	}
}

// failPoint calls Config.FailPoint, if set, with the name of a point.
func (a *Agent) failPoint(point string) {
	if a.config.FailPoint != nil {
		a.config.FailPoint(point)
	}
}
