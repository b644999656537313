package rollingupdate

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"cobaltward/fleet"
)

// describe formats each action as its operation and its step or close reason.
func describe(actions []Action) string {
	var lines []string
	for _, action := range actions {
		line := [...]string{"begin", "request", "close", "step-down"}[action.Operation]
		switch action.Operation {
		case CloseJob:
			line += " " + string(action.CloseReason)
		case StartStep, RequestStep:
			line += " " + action.Step.String()
		}
		if action.Retry {
			line += " again"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, ", ")
}

// parseSteps parses a list of steps. "a/out ok" is a finished step with its outcome. "a/out" is a step in progress.
// "a/out 2" is a step that two holders have begun.
func parseSteps(t *testing.T, list string) map[fleet.StepKey]fleet.Step {
	t.Helper()
	steps := make(map[fleet.StepKey]fleet.Step)
	if list == "" {
		return steps
	}
	for i, line := range strings.Split(list, ", ") {
		words := strings.Fields(line)
		var key fleet.StepKey
		if err := key.UnmarshalText([]byte(words[0])); err != nil {
			t.Fatal(err)
		}
		step := fleet.Step{StartedAt: fleet.Position(2*i + 1), Attempts: 1}
		for _, word := range words[1:] {
			if word == "2" {
				step.Attempts = 2
				continue
			}
			step.Outcome, step.FinishedAt = fleet.StepOutcome(word), step.StartedAt+1
		}
		steps[key] = step
	}
	return steps
}

// viewOf returns the view of the holder that runs beside the node self. The nodes a and b are in one zone, c and d in
// another. The nodes in down are not serving.
func viewOf(self string, down ...string) ClusterView {
	view := ClusterView{Self: self, Nodes: make(map[string]NodeStatus)}
	for i, name := range []string{"a", "b", "c", "d"} {
		view.Nodes[name] = NodeStatus{
			Zone:           fmt.Sprint("z", i/2),
			Capacity:       1,
			LeaseCandidate: true,
			Serving:        !slices.Contains(down, name),
		}
	}
	return view
}

// Steps of nodes that are finished or rolled back, or whose patch or resume has failed.
const (
	aDone       = "a/out ok, a/patch ok, a/in ok"
	bDone       = "b/out ok, b/patch ok, b/in ok"
	cDone       = "c/out ok, c/patch ok, c/in ok"
	dDone       = "d/out ok, d/patch ok, d/in ok"
	aRolledBack = aDone + ", a/back-out ok, a/revert ok, a/back-in ok"
	twoFailed   = "a/out ok, a/patch failed, a/in ok, b/out ok, b/patch failed"
	aNotResumed = "a/out ok, a/patch ok, a/in failed"
)

func needThree(spec *fleet.JobSpec) { spec.MinCapacity = 3 }
func oneAtOnce(spec *fleet.JobSpec) { spec.MaxUnavailable = 1 }
func byZone(spec *fleet.JobSpec)    { spec.ByZone, spec.MinCapacity = true, 0 }

// nextTests are jobs and views of the nodes, with the actions that Next must return.
var nextTests = []struct {
	name     string
	change   func(*fleet.JobSpec) // changes the specification of TestNext_OfJob; nil: no change
	command  fleet.JobCommand
	failures int
	steps    string
	view     ClusterView
	want     string
}{
	{"the first two", nil, fleet.CommandRun, 0, "", viewOf("x"), "begin a/out, begin b/out"},
	{"capacity allows one", needThree, fleet.CommandRun, 0, "", viewOf("x"), "begin a/out"},
	{"capacity allows none while another is down", needThree, fleet.CommandRun, 0, "", viewOf("x", "d"), ""},
	{"a node that does not serve is not drained", nil, fleet.CommandRun, 0, "", viewOf("x", "a"), "begin b/out"},
	{"a holder's own node is drained last", nil, fleet.CommandRun, 0, "", viewOf("a"), "begin b/out, begin c/out"},
	{
		"a holder's own node is left to another holder", nil, fleet.CommandRun, 0,
		bDone + ", " + cDone + ", " + dDone, viewOf("a"), "step-down",
	},
	{
		"each step follows the one before", nil, fleet.CommandRun, 0,
		"a/out ok, b/out", viewOf("x"), "begin a/patch, request b/out",
	},
	{
		"a step that another holder has begun is requested again", nil, fleet.CommandRun, 0,
		"a/out ok, a/patch 2", viewOf("x"), "request a/patch again, begin b/out",
	},
	{
		"a node that could not be drained is not patched", nil, fleet.CommandRun, 1,
		"a/out failed", viewOf("x"), "begin a/in, begin b/out",
	},
	{
		"a node whose patch failed is resumed", nil, fleet.CommandRun, 1,
		"a/out ok, a/patch failed", viewOf("x"), "begin a/in, begin b/out",
	},
	{"too many failures stop", nil, fleet.CommandRun, 2, twoFailed, viewOf("x"), "begin b/in"},
	{
		"too many failures close the job", nil, fleet.CommandRun, 2,
		twoFailed + ", b/in ok", viewOf("x"), "close stopped",
	},
	{"a node that is not resumed stops the job", nil, fleet.CommandRun, 1, aNotResumed, viewOf("x", "a"), "close stopped"},
	{
		"an unknown outcome stops the job at once", nil, fleet.CommandRun, 1,
		"a/out ok, a/patch doubt, b/out", viewOf("x"), "close stopped",
	},
	{"pause begins nothing", nil, fleet.CommandPause, 0, "a/out ok, b/out", viewOf("x"), "request b/out"},
	{"abort finishes drained nodes", nil, fleet.CommandAbort, 0, "a/out ok", viewOf("x"), "begin a/patch"},
	{"abort closes the job", nil, fleet.CommandAbort, 0, aDone, viewOf("x"), "close aborted"},
	{
		"rollback takes the last node first", oneAtOnce, fleet.CommandRollBack, 0,
		aDone + ", " + bDone, viewOf("x"), "begin b/back-out",
	},
	{"rollback closes the job", nil, fleet.CommandRollBack, 0, aRolledBack, viewOf("x"), "close back"},
	{
		"rollback first finishes steps in progress", nil, fleet.CommandRollBack, 2,
		"a/out ok, a/patch ok, b/out, c/out ok", viewOf("x"), "begin a/in, request b/out, begin c/in",
	},
	{
		"rollback starts on a node that was not resumed", nil, fleet.CommandRollBack, 1,
		aNotResumed, viewOf("x", "a"), "begin a/back-out",
	},
	{
		"rollback stops if a node that was not resumed uses up the limit", oneAtOnce, fleet.CommandRollBack, 1,
		"a/out ok, a/in failed, " + bDone, viewOf("x", "a"), "close stopped",
	},
	{"one zone after another", byZone, fleet.CommandRun, 0, aDone, viewOf("x"), "begin b/out"},
	{
		"all nodes are finished", nil, fleet.CommandRun, 0,
		strings.Join([]string{aDone, bDone, cDone, dDone}, ", "), viewOf("x"), "close done",
	},
}

func TestNext_OfJob(t *testing.T) {
	for _, test := range nextTests {
		t.Run(test.name, func(t *testing.T) {
			spec := fleet.JobSpec{
				Kind:           fleet.JobRollingUpdate,
				Nodes:          []string{"a", "b", "c", "d"},
				MaxUnavailable: 2,
				MinCapacity:    2,
				MaxFailures:    2,
			}
			if test.change != nil {
				test.change(&spec)
			}
			job := &fleet.Job{
				ID:       "j",
				Spec:     spec,
				Command:  test.command,
				Steps:    parseSteps(t, test.steps),
				Failures: test.failures,
			}
			if got := describe(Next(job, test.view)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// modelJob is a state with one job whose steps get random outcomes.
type modelJob struct {
	t     *rapid.T
	state *fleet.State
	token fleet.FencingToken
	spec  fleet.JobSpec
	view  ClusterView
}

func newModelJob(t *rapid.T) *modelJob {
	count := rapid.IntRange(1, 6).Draw(t, "nodes")
	model := &modelJob{t: t, view: ClusterView{Nodes: make(map[string]NodeStatus), Self: "n0"}}
	model.spec = fleet.JobSpec{
		Kind:           fleet.JobRollingUpdate,
		MaxUnavailable: rapid.IntRange(1, 3).Draw(t, "at once"),
		MinCapacity:    float64(rapid.IntRange(0, count-1).Draw(t, "need")),
		MaxFailures:    rapid.IntRange(0, 3).Draw(t, "failures"),
		ByZone:         rapid.Bool().Draw(t, "by zone"),
	}
	for i := range count {
		name := fmt.Sprint("n", i)
		model.spec.Nodes = append(model.spec.Nodes, name)
		model.view.Nodes[name] = NodeStatus{Zone: fmt.Sprint(i % 2), Capacity: 1, Serving: true}
	}
	model.state = fleet.NewState(1)
	model.apply(fleet.Entry{Kind: fleet.KindStartJob, Spec: &model.spec})
	grant := fleet.Entry{Kind: fleet.KindGrantLease, Resource: fleet.ResourceRollingUpdate, Holder: "h", LeaseDuration: 1}
	model.token = model.apply(grant).FencingToken
	return model
}

func (m *modelJob) job() *fleet.Job { return m.state.Jobs["j"] }

// apply applies an entry of the job, and fails the test unless it is accepted.
func (m *modelJob) apply(entry fleet.Entry) fleet.Result {
	entry.JobID, entry.FencingToken = "j", m.token
	next, result, err := m.state.Apply(m.state.Position+1, entry.Marshal())
	if err != nil || result.Err != nil {
		m.t.Fatalf("%+v: %v, %v", entry, result.Err, err)
	}
	m.state = next
	return result
}

// perform applies the entry of an action. A requested step gets a random outcome.
func (m *modelJob) perform(action Action) {
	switch action.Operation {
	case StartStep:
		m.apply(fleet.Entry{Kind: fleet.KindBeginStep, Step: action.Step})
	case RequestStep:
		outcomes := []fleet.StepOutcome{fleet.OutcomeOK, fleet.OutcomeOK, fleet.OutcomeOK, fleet.OutcomeFailed}
		outcome := rapid.SampledFrom(outcomes).Draw(m.t, "outcome")
		m.apply(fleet.Entry{Kind: fleet.KindFinishStep, Step: action.Step, Outcome: string(outcome)})
	case CloseJob:
		m.apply(fleet.Entry{Kind: fleet.KindCloseJob, Outcome: string(action.CloseReason)})
	}
}

// checkLimits fails the test if too many nodes are unavailable or the serving capacity is too low.
func (m *modelJob) checkLimits() {
	unavailable := m.job().UnavailableNodes()
	serving := float64(len(m.spec.Nodes) - len(unavailable))
	if len(unavailable) > m.spec.MaxUnavailable || serving < m.spec.MinCapacity {
		m.t.Fatalf("the unavailable nodes %v exceed the limits of the job", unavailable)
	}
}

// TestNext_LimitsHoldUntilClosed checks that the limits of a job hold and that the job is closed eventually. The
// outcomes of its steps are random.
func TestNext_LimitsHoldUntilClosed(t *testing.T) {
	const maxTurns = 200
	commands := []fleet.JobCommand{fleet.CommandAbort, fleet.CommandRollBack}
	rapid.Check(t, func(t *rapid.T) {
		model := newModelJob(t)
		for turn := 0; model.job().Open(); turn++ {
			if turn > maxTurns {
				t.Fatalf("the job is still open after the maximum number of turns: %+v", model.job())
			}
			if rapid.IntRange(0, 20).Draw(t, "order") == 0 && model.job().Command == fleet.CommandRun {
				command := rapid.SampledFrom(commands).Draw(t, "which")
				model.apply(fleet.Entry{Kind: fleet.KindControlJob, Command: command})
			}
			for _, action := range Next(model.job(), model.view) {
				model.perform(action)
				model.checkLimits()
			}
		}
		job := model.job()
		if job.CloseReason == fleet.ClosedDone && len(job.UnavailableNodes()) > 0 {
			t.Fatalf("the job is done, but the nodes %v are unavailable", job.UnavailableNodes())
		}
	})
}
