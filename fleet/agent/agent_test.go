package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"cobaltward/fleet"
	"cobaltward/fleet/consensus"
	"cobaltward/fleet/lease"
	"cobaltward/internal/adminapi"
	"cobaltward/internal/testkit"
)

// fakeNode is an in-memory implementation of Node.
type fakeNode struct {
	mu        sync.Mutex
	drains    int
	disabled  []string
	zones     map[string][]string
	changeErr error // error of all calls that change the node
}

// Serving implements Node.
func (n *fakeNode) Serving(context.Context) bool { return true }

// Drain implements Node.
func (n *fakeNode) Drain(context.Context, time.Duration, string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drains++
	return n.changeErr
}

// Resume implements Node.
func (n *fakeNode) Resume(context.Context, string) error { return n.changeErr }

// DisableServer implements Node.
func (n *fakeNode) DisableServer(_ context.Context, server string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changeErr == nil {
		n.disabled = append(n.disabled, server)
		slices.Sort(n.disabled)
	}
	return n.changeErr
}

// EnableServer implements Node.
func (n *fakeNode) EnableServer(_ context.Context, server string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changeErr == nil {
		n.disabled = slices.DeleteFunc(n.disabled, func(name string) bool { return name == server })
	}
	return n.changeErr
}

// DisabledServers implements Node.
func (n *fakeNode) DisabledServers(context.Context) ([]string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.disabled), nil
}

// ServersByZone implements Node.
func (n *fakeNode) ServersByZone(context.Context) (map[string][]string, error) { return n.zones, nil }

// newTestAgent returns an agent of node n1. The agent does not run: the test sets the state that the agent knows.
func newTestAgent(t *testing.T, node Node, dir string) *Agent {
	t.Helper()
	client := NewClient([]string{"127.0.0.1:1"}, nil, "", nil)
	t.Cleanup(client.HTTP.CloseIdleConnections)
	agent, err := New(Config{
		Self:    fleet.Node{Name: "n1", Incarnation: "run-1"},
		Dir:     dir,
		Timeout: testkit.MaxWait,
		Clock:   consensus.SystemClock(),
		Log:     slog.New(slog.DiscardHandler),
	}, node, client)
	if err != nil {
		t.Fatal(err)
	}
	return agent
}

// applyAll applies entries to the state that an agent knows, and returns the result of the last entry. All entries
// must be accepted.
func applyAll(t *testing.T, agent *Agent, entries ...fleet.Entry) fleet.Result {
	t.Helper()
	var result fleet.Result
	for _, entry := range entries {
		state, _ := agent.watcher.State()
		next, got, err := state.Apply(state.Position+1, entry.Marshal())
		if err != nil || got.Err != nil {
			t.Fatalf("%+v: %v, %v", entry, err, got.Err)
		}
		agent.watcher.mu.Lock()
		agent.watcher.state = next
		agent.watcher.mu.Unlock()
		result = got
	}
	return result
}

func disableEntry(id string, until time.Time, servers, zones []string) fleet.Entry {
	order := &fleet.DisableOrder{ID: id, Servers: servers, Zones: zones, Until: until}
	return fleet.Entry{Kind: fleet.KindDisableServers, DisableOrder: order}
}

func checkDisabled(t *testing.T, node *fakeNode, want ...string) {
	t.Helper()
	got, _ := node.DisabledServers(t.Context())
	if !slices.Equal(got, want) {
		t.Errorf("the disabled servers are %v, want %v", got, want)
	}
}

func TestReconcileDisabled_FollowsOrders(t *testing.T) {
	node := &fakeNode{zones: map[string][]string{"z1": {"s2", "s3"}}, disabled: []string{"by-hand"}}
	agent := newTestAgent(t, node, t.TempDir())
	until := time.Now().Add(time.Hour)
	applyAll(t, agent,
		disableEntry("first", until, []string{"s1", "by-hand"}, nil),
		disableEntry("second", until, nil, []string{"z1"}))
	agent.reconcileDisabled(t.Context())
	checkDisabled(t, node, "by-hand", "s1", "s2", "s3")
	if got := agent.report().ActiveDisableOrders; !slices.Equal(got, []string{"first", "second"}) {
		t.Errorf("the orders in force are %v", got)
	}
	order := &fleet.DisableOrder{ID: "first"}
	applyAll(t, agent, fleet.Entry{Kind: fleet.KindEnableServers, DisableOrder: order})
	agent.reconcileDisabled(t.Context())
	checkDisabled(t, node, "by-hand", "s2", "s3") // by-hand stays disabled: an operator disabled it
}

// TestReconcileDisabled_ContinuesAfterRestart checks that an agent enables the servers that an earlier process
// disabled for a disable order that has ended.
func TestReconcileDisabled_ContinuesAfterRestart(t *testing.T) {
	node, dir := &fakeNode{}, t.TempDir()
	agent := newTestAgent(t, node, dir)
	applyAll(t, agent, disableEntry("first", time.Now().Add(time.Hour), []string{"s1"}, nil))
	agent.reconcileDisabled(t.Context())
	checkDisabled(t, node, "s1")
	newTestAgent(t, node, dir).reconcileDisabled(t.Context())
	checkDisabled(t, node)
}

func TestReconcileDisabled_DoesNotReportFailedOrder(t *testing.T) {
	node := &fakeNode{changeErr: errors.New("no answer")}
	agent := newTestAgent(t, node, t.TempDir())
	applyAll(t, agent, disableEntry("first", time.Now().Add(time.Hour), []string{"s1"}, nil))
	agent.reconcileDisabled(t.Context())
	if got := agent.report().ActiveDisableOrders; len(got) != 0 {
		t.Errorf("the orders in force are %v", got)
	}
	node.changeErr = nil
	agent.reconcileDisabled(t.Context())
	checkDisabled(t, node, "s1")
}

func TestReconcileDisabled_IgnoresExpiredOrders(t *testing.T) {
	node := &fakeNode{}
	agent := newTestAgent(t, node, t.TempDir())
	applyAll(t, agent, disableEntry("first", time.Now().Add(-time.Second), []string{"s1"}, nil))
	agent.reconcileDisabled(t.Context())
	checkDisabled(t, node)
}

// prepareEffect adds an open job with a begun step to the state that an agent knows. It returns the request for the
// effect of the step.
func prepareEffect(t *testing.T, agent *Agent, action fleet.StepAction) lease.EffectRequest {
	t.Helper()
	spec := &fleet.JobSpec{Kind: fleet.JobRollingUpdate, Nodes: []string{"n1"}, MaxUnavailable: 1}
	resource, key := fleet.ResourceRollingUpdate, fleet.StepKey{Node: "n1", Action: action}
	granted := applyAll(t, agent,
		fleet.Entry{Kind: fleet.KindRegisterNode, Node: &agent.config.Self},
		fleet.Entry{Kind: fleet.KindStartJob, JobID: "j", Spec: spec},
		fleet.Entry{Kind: fleet.KindGrantLease, Resource: resource, Holder: "h/1", LeaseDuration: time.Second})
	state, _ := agent.watcher.State()
	agent.receiver.Registered(state) // required before the step is begun
	token := granted.FencingToken
	applyAll(t, agent, fleet.Entry{Kind: fleet.KindBeginStep, JobID: "j", Step: key, FencingToken: token})
	return lease.EffectRequest{
		Resource:       resource,
		FencingToken:   token,
		JobID:          "j",
		Step:           key,
		IdempotencyKey: "j/" + key.String(),
	}
}

// startAccepting lets an agent accept effects until the test ends. The agent does not follow the state of a replica.
func startAccepting(t *testing.T, agent *Agent) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	agent.mu.Lock()
	agent.ctx = ctx
	agent.mu.Unlock()
	t.Cleanup(func() {
		cancel()
		agent.tasks.Wait()
	})
}

// awaitOutcome repeats a request until its effect has ended, and returns the last response.
func awaitOutcome(t *testing.T, agent *Agent, request lease.EffectRequest) lease.EffectResponse {
	t.Helper()
	var response lease.EffectResponse
	testkit.Await(t, "the outcome of the effect", func() bool {
		var err error
		response, err = agent.HandleEffect(request)
		return err == nil && !response.Running
	})
	return response
}

func TestHandleEffect_ExecutesOnce(t *testing.T) {
	node := &fakeNode{}
	agent := newTestAgent(t, node, t.TempDir())
	request := prepareEffect(t, agent, fleet.ActionDrain)
	if _, err := agent.HandleEffect(request); !errors.Is(err, ErrNotReady) {
		t.Errorf("before the agent runs: got %v, want %v", err, ErrNotReady)
	}
	startAccepting(t, agent)
	for range 2 {
		if response := awaitOutcome(t, agent, request); response.Outcome != fleet.OutcomeOK {
			t.Errorf("the response is %+v", response)
		}
	}
	if node.drains != 1 {
		t.Errorf("the node was drained %d times, want once", node.drains)
	}
}

func TestHandleEffect_RejectsStaleToken(t *testing.T) {
	agent := newTestAgent(t, &fakeNode{}, t.TempDir())
	request := prepareEffect(t, agent, fleet.ActionDrain)
	startAccepting(t, agent)
	request.FencingToken--
	if _, err := agent.HandleEffect(request); !errors.Is(err, ErrStaleToken) {
		t.Errorf("got %v, want %v", err, ErrStaleToken)
	}
}

func TestHandleEffect_OutcomeOfCommands(t *testing.T) {
	shell := func(script string) []string { return []string{"/bin/sh", "-c", script} }
	for _, test := range []struct {
		name          string
		patch, verify []string
		retry         bool // whether the effect may have been carried out before
		want          fleet.StepOutcome
	}{
		{"succeeds", shell("exit 0"), shell("exit 9"), false, fleet.OutcomeOK},
		{"fails", shell("exit 3"), shell("exit 9"), false, fleet.OutcomeFailed},
		{"none is set", nil, nil, false, fleet.OutcomeFailed},
		{"gets what it needs", shell(`[ "$WAYHOLD_NODE $WAYHOLD_STEP" = "n1 patch" ]`), nil, false, fleet.OutcomeOK},
		{"has run before", shell("exit 3"), shell("exit 0"), true, fleet.OutcomeOK},
		{"has not run before", shell("exit 3"), shell("exit 1"), true, fleet.OutcomeFailed},
		{"nobody can tell whether it has run", shell("exit 0"), shell("exit 2"), true, fleet.OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent := newTestAgent(t, &fakeNode{}, t.TempDir())
			agent.config.Commands = Commands{Patch: test.patch, Verify: test.verify}
			request := prepareEffect(t, agent, fleet.ActionPatch)
			request.Retry = test.retry
			startAccepting(t, agent)
			if response := awaitOutcome(t, agent, request); response.Outcome != test.want {
				t.Errorf("the response is %+v, want outcome %q", response, test.want)
			}
		})
	}
}

func TestClient_ErrorByStatus(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		want   error // nil: no error
	}{
		{"accepted", http.StatusOK, nil},
		{"rejected", http.StatusConflict, ErrRejected},
		{"failed", http.StatusServiceUnavailable, ErrNoResponse},
	} {
		t.Run(test.name, func(t *testing.T) {
			address := testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
				adminapi.WriteJSON(w, test.status, map[string]int{})
			})
			client := NewClient(nil, map[string]string{"elsewhere:1": address}, "", nil)
			defer client.HTTP.CloseIdleConnections()
			err := client.Call(t.Context(), http.MethodGet, "elsewhere:1", "/x", nil, new(map[string]int))
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestClient_ProposeReturnsRejectionErrors checks that a client returns the same rejection errors as the replica, so
// that errors.Is matches them.
func TestClient_ProposeReturnsRejectionErrors(t *testing.T) {
	for _, want := range fleet.RejectionErrors() {
		t.Run(want.Error(), func(t *testing.T) {
			address := testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
				adminapi.WriteJSON(w, http.StatusOK, consensus.ProposeResponse{Position: 3, Error: fleet.RejectionWireText(want)})
			})
			client := NewClient([]string{address}, nil, "", nil)
			defer client.HTTP.CloseIdleConnections()
			result, err := client.Propose(t.Context(), fleet.Entry{})
			if err != nil || !errors.Is(result.Err, want) || result.Position != 3 {
				t.Errorf("got %+v, error %v", result, err)
			}
		})
	}
}

func TestClient_ProposeMovesOnAfterFailure(t *testing.T) {
	address := testkit.HTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		adminapi.WriteJSON(w, http.StatusOK, consensus.ProposeResponse{Position: 3})
	})
	client := NewClient([]string{"127.0.0.1:1", address}, nil, "", nil)
	defer client.HTTP.CloseIdleConnections()
	if _, err := client.Propose(t.Context(), fleet.Entry{}); !errors.Is(err, ErrNoResponse) {
		t.Errorf("proposing to the first replica: got %v, want %v", err, ErrNoResponse)
	}
	if result, err := client.Propose(t.Context(), fleet.Entry{}); err != nil || result.Position != 3 {
		t.Errorf("proposing to the next replica: got %+v, error %v", result, err)
	}
}
