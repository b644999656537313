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

// Commands are the operator's commands. They get WAYHOLD_NODE, WAYHOLD_KEY, WAYHOLD_TOKEN and WAYHOLD_STEP, and are
// killed when the process ends that has started them.
type Commands struct {
	Patch  []string
	Verify []string // status 0: the patch is in; 1: it is not; else nobody can tell
	Revert []string
}

// Config configures an agent.
type Config struct {
	Self     fleet.Node
	Dir      string // where the agent stores what must outlive the process
	Commands Commands
	Timeout  time.Duration // of a command, of a drain, and of a node to come back
	Clock    consensus.Clock
	Unsafe   lease.UnsafeOptions
	Log      *slog.Logger
	// FailPoint is called at points where tests may end or stop the process; nil: it is not.
	FailPoint func(point string)
}

// Agent is the agent of one node. Its methods may be called from several goroutines at once.
type Agent struct {
	config  Config
	node    Node
	client  *Client
	watcher *StateWatcher
	tasks   sync.WaitGroup

	mu           sync.Mutex
	ctx          context.Context // of Run; nil before
	receiver     *lease.FencedReceiver
	activeOrders []string // IDs of the disable orders in force at the node
	rejected     uint64   // effects with a stale token
}

const (
	// stateFile is the name of the file that stores the receiver's state.
	stateFile = "receiver.json"
	// reconcileInterval is the time between two looks at the disable orders, beside those at a new state.
	reconcileInterval = time.Second
	// registerInterval is the time between two registrations where another process registers the same name, or where
	// an old registration came late.
	registerInterval = 5 * time.Second
	// nodeTimeout bounds calls to the node.
	nodeTimeout = 2 * time.Second
	// proposeTimeout bounds calls to the consensus group.
	proposeTimeout = 2 * time.Second
)

// New returns an agent that continues from the stored state of an earlier process.
func New(config Config, node Node, client *Client) (*Agent, error) {
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	agent := &Agent{config: config, node: node, client: client}
	stored, err := readState(agent.stateFile())
	if err != nil {
		// Without it a former holder's effect could not be distinguished from a newer one's.
		return nil, fmt.Errorf("%s: %w: restore it before this agent receives anything", agent.stateFile(), err)
	}
	agent.receiver = lease.Restore(stored, config.Self.Name, config.Self.Incarnation, config.Unsafe)
	agent.watcher = NewStateWatcher(client, agent.report, config.Log)
	return agent, nil
}

// readState reads the stored state of a receiver; it is empty where there is none.
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

// save stores the receiver's state. The caller has the mutex, so that nothing is decided meanwhile.
func (a *Agent) save() error {
	raw, err := json.Marshal(a.receiver.ReceiverState)
	if err != nil {
		return err
	}
	return atomicfile.Write(a.stateFile(), raw)
}

// Watcher returns the watcher by which the agent follows the state.
func (a *Agent) Watcher() *StateWatcher { return a.watcher }

// Run follows the state, registers the node and disables servers until ctx ends, and waits for effects in progress.
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

// register keeps the node registered until ctx ends.
func (a *Agent) register(ctx context.Context) {
	var lastProposal time.Time
	for ctx.Err() == nil {
		if a.registrationDue(lastProposal) {
			lastProposal = time.Now()
			a.proposeRegistration(ctx)
		}
		updates := a.watcher.Updates() // after the proposal, whose outcome may be a while in coming
		select {
		case <-updates:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
		}
	}
}

// registrationDue reports whether the state lacks the registration of this process. Another process that goes by its
// name is logged, and left alone.
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

// report returns what the agent says of itself with each watch request.
func (a *Agent) report() consensus.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return consensus.AgentReport{
		Name:                a.config.Self.Name,
		Incarnation:         a.config.Self.Incarnation,
		ActiveDisableOrders: a.activeOrders,
	}
}

// failPoint names a point where tests may end or stop the process.
func (a *Agent) failPoint(point string) {
	if a.config.FailPoint != nil {
		a.config.FailPoint(point)
	}
}
