package agent

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/internal/testkit"
)

// cluster is a consensus group of one replica, and the agents of fake nodes. All run in this process.
type cluster struct {
	t       *testing.T
	replica *consensus.Replica
	address string // address of the replica
	nodes   map[string]*fakeNode
	runners map[string]*ControllerRunner // by node name
	tasks   sync.WaitGroup
	ctx     context.Context
}

func startCluster(t *testing.T, nodes ...string) *cluster {
	t.Helper()
	dir := t.TempDir()
	bootstrap := func(persisted consensus.PersistentState) (consensus.PersistentState, error) {
		return consensus.Bootstrap(fleet.Member{ID: persisted.ID, Name: "c1"}), nil
	}
	if err := consensus.RewriteStorage(dir, bootstrap); err != nil {
		t.Fatal(err)
	}
	storage, err := consensus.OpenStorage(dir)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	replica, err := consensus.Start(consensus.Config{Name: "c1", Tick: 5 * time.Millisecond, Log: log}, storage)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	group := &cluster{
		t:       t,
		replica: replica,
		address: testkit.HTTPServer(t, replica.Handler().ServeHTTP),
		nodes:   make(map[string]*fakeNode),
		runners: make(map[string]*ControllerRunner),
		ctx:     ctx,
	}
	t.Cleanup(func() {
		cancel()
		group.tasks.Wait()
		if err := replica.Close(); err != nil {
			t.Error(err)
		}
	})
	for _, name := range nodes {
		group.startAgent(name)
	}
	group.await("all nodes to register", func(state *fleet.State) bool { return len(state.Nodes) == len(nodes) })
	return group
}

// startAgent starts the agent of a node and a runner that competes for the lease of rolling updates.
func (c *cluster) startAgent(name string) {
	c.t.Helper()
	log := slog.New(slog.DiscardHandler)
	mux := http.NewServeMux()
	self := fleet.Node{
		Name:           name,
		Address:        testkit.HTTPServer(c.t, mux.ServeHTTP),
		Capacity:       1,
		LeaseCandidate: true,
		Incarnation:    "run-1",
	}
	client := NewClient([]string{c.address}, nil, "", nil)
	c.t.Cleanup(client.HTTP.CloseIdleConnections)
	c.nodes[name] = &fakeNode{}
	agent, err := New(Config{
		Self:     self,
		Dir:      c.t.TempDir(),
		Commands: Commands{Patch: []string{"/bin/true"}, Verify: []string{"/bin/false"}},
		Timeout:  testkit.MaxWait,
		Clock:    consensus.SystemClock(),
		Log:      log,
	}, c.nodes[name], client)
	if err != nil {
		c.t.Fatal(err)
	}
	agent.Mount(mux)
	runner := NewControllerRunner(ControllerConfig{
		Kind:          fleet.JobRollingUpdate,
		Identity:      name + "/run-1",
		Node:          name,
		LeaseDuration: 500 * time.Millisecond,
		Clock:         consensus.SystemClock(),
		Log:           log,
	}, client, agent.Watcher())
	c.runners[name] = runner
	c.tasks.Go(func() { agent.Run(c.ctx) })
	c.tasks.Go(func() { runner.Run(c.ctx) })
}

func (c *cluster) await(what string, met func(*fleet.State) bool) {
	c.t.Helper()
	testkit.Await(c.t, what, func() bool { return met(c.replica.View().State) })
}

// propose proposes an entry, which must be accepted. It retries until there is a leader.
func (c *cluster) propose(entry fleet.Entry) {
	c.t.Helper()
	var result fleet.Result
	var err error
	testkit.Await(c.t, "a proposal to be committed", func() bool {
		result, err = c.replica.Propose(c.ctx, entry)
		return err == nil
	})
	if result.Err != nil {
		c.t.Fatalf("%+v: %v", entry, result.Err)
	}
}

// TestControllerRunner_RunsRollingUpdate checks that a rolling update drains, patches and resumes each node once. The
// lease holder must step down before its own node's turn.
func TestControllerRunner_RunsRollingUpdate(t *testing.T) {
	names := []string{"n1", "n2", "n3"}
	group := startCluster(t, names...)
	group.propose(fleet.Entry{Kind: fleet.KindStartJob, JobID: "j", Spec: &fleet.JobSpec{
		Kind:           fleet.JobRollingUpdate,
		Nodes:          names,
		MaxUnavailable: 1,
		MinCapacity:    2,
		MaxFailures:    1,
		DrainTimeout:   time.Second,
	}})
	group.await("the end of the job", func(state *fleet.State) bool { return !state.Jobs["j"].Open() })
	job := group.replica.View().State.Jobs["j"]
	if job.CloseReason != fleet.ClosedDone || job.Failures != 0 {
		t.Errorf("the job is %+v", job)
	}
	for _, name := range names {
		if drains := group.nodes[name].drains; drains != 1 {
			t.Errorf("%s was drained %d times, want once", name, drains)
		}
		for _, action := range []fleet.StepAction{fleet.ActionDrain, fleet.ActionPatch, fleet.ActionResume} {
			key := fleet.StepKey{Node: name, Action: action}
			if outcome := job.Steps[key].Outcome; outcome != fleet.OutcomeOK {
				t.Errorf("step %v ended with outcome %q", key, outcome)
			}
		}
	}
}

// TestControllerRunner_LosesRevokedLease checks that a revoked lease is granted again with a newer fencing token. The
// runner of the new holder must report that it holds the lease.
func TestControllerRunner_LosesRevokedLease(t *testing.T) {
	group := startCluster(t, "n1", "n2")
	held := func(state *fleet.State) bool { return state.Leases[fleet.ResourceRollingUpdate].Holder != "" }
	group.await("a holder of the lease", held)
	former := group.replica.View().State.Leases[fleet.ResourceRollingUpdate]
	group.propose(fleet.Entry{Kind: fleet.KindRevokeLease, Resource: fleet.ResourceRollingUpdate, RequestedBy: "ann"})
	group.await("a newer lease", func(state *fleet.State) bool {
		return held(state) && state.Leases[fleet.ResourceRollingUpdate].FencingToken > former.FencingToken
	})
	group.await("the new holder to know that it holds the lease", func(state *fleet.State) bool {
		for name, runner := range group.runners {
			if state.Leases[fleet.ResourceRollingUpdate].Holder == fmt.Sprintf("%s/run-1", name) {
				return runner.HoldsLease()
			}
		}
		return false
	})
}

// TestAgent_DisablesServersForTheFleet checks that disable orders take effect at the nodes, and that the agents
// report to the replica where the orders are in force.
func TestAgent_DisablesServersForTheFleet(t *testing.T) {
	group := startCluster(t, "n1", "n2")
	group.propose(disableEntry("order", time.Now().Add(time.Hour), []string{"s1"}, nil))
	testkit.Await(t, "the order to be in force", func() bool {
		inForce := 0
		for _, report := range group.replica.Status().Reports {
			inForce += len(report.ActiveDisableOrders)
		}
		return inForce == 2
	})
	for _, node := range group.nodes {
		checkDisabled(t, node, "s1")
	}
	order := &fleet.DisableOrder{ID: "order"}
	group.propose(fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: order})
	testkit.Await(t, "the servers to be enabled", func() bool {
		enabled := true
		for _, node := range group.nodes {
			disabled, _ := node.DisabledServers(t.Context())
			enabled = enabled && len(disabled) == 0
		}
		return enabled
	})
}

// TestControllerRunner_LogsLossOfLease checks that a runner logs the loss of a lease that expires between two
// proposals.
func TestControllerRunner_LogsLossOfLease(t *testing.T) {
	var log bytes.Buffer
	var now time.Duration
	runner := NewControllerRunner(ControllerConfig{
		Kind: fleet.JobRollingUpdate, Identity: "a/1", Node: "a", LeaseDuration: time.Second,
		Clock: consensus.Clock{Monotonic: func() time.Duration { return now }, Wall: time.Now},
		Log:   slog.New(slog.NewTextHandler(&log, nil)),
	}, nil, nil)
	state := fleet.NewState(1)
	propose := func() fleet.Entry {
		entry, ok := runner.controller.NextProposal(now, state)
		if !ok {
			t.Fatal("the controller proposes nothing")
		}
		return entry
	}
	runner.handleResult(now, propose(), fleet.Result{Position: 1, FencingToken: 7}, true)
	if !strings.Contains(log.String(), "owns=true") {
		t.Fatalf("acquiring the lease is not logged: %s", &log)
	}
	now = 10 * time.Second // the lease has expired without a renewal
	runner.handleResult(now, propose(), fleet.Result{Position: 2, Err: fleet.ErrConflict}, true)
	if runner.HoldsLease() || !strings.Contains(log.String(), "owns=false") {
		t.Errorf("the loss of the lease is not logged: %s", &log)
	}
}
