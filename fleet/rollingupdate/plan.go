package rollingupdate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cobaltward/fleet"
)

// NodeStatus is what can be seen of a node.
type NodeStatus struct {
	Zone     string
	Capacity float64 // in the unit of fleet.Node.Capacity
	Serving  bool    // its agent answers, and says that the node serves
	// LeaseCandidate says that its agent may hold the lease of rolling updates.
	LeaseCandidate bool
}

// ClusterView is what the holder of the lease sees.
type ClusterView struct {
	Nodes map[string]NodeStatus // by name
	Self  string                // the name of the holder's own node
}

// Operation is what to do next.
type Operation uint8

// The operations.
const (
	StartStep    Operation = iota // record that a step begins; then request it
	RequestStep                   // request a step that was begun from its node, until its outcome is known
	CloseJob                      // record that the job is closed
	ReleaseLease                  // leave the lease to another process: the holder's own node is next
)

// Action is one thing to do.
type Action struct {
	Operation   Operation
	Step        fleet.StepKey // of StartStep and RequestStep
	Retry       bool          // of RequestStep: an earlier holder may have requested it
	CloseReason fleet.CloseReason
	Detail      string // of CloseReason
}

// IdempotencyKey returns the key of a step's effect, the same for all holders.
func IdempotencyKey(jobID string, step fleet.StepKey) string { return jobID + "/" + step.String() }

// sequence is the three actions that a node goes through.
type sequence struct{ drain, change, resume fleet.StepAction }

var (
	forward  = sequence{fleet.ActionDrain, fleet.ActionPatch, fleet.ActionResume}
	rollback = sequence{fleet.ActionRollbackDrain, fleet.ActionRevert, fleet.ActionRollbackResume}
)

func (s sequence) actions() [3]fleet.StepAction {
	return [3]fleet.StepAction{s.drain, s.change, s.resume}
}

// planner holds what one call of Next decides by.
type planner struct {
	job         *fleet.Job
	view        ClusterView
	unavailable map[string]bool
	sequence    sequence
	nodes       []string // that go through the sequence, in order
}

// Next returns what the holder of the lease does now. Steps that are under way are among the actions each time.
func Next(job *fleet.Job, view ClusterView) []Action {
	if !job.Open() {
		return nil
	}
	plan := newPlanner(job, view)
	if action, found := plan.closeOnUnknownOutcome(); found {
		return []Action{action}
	}
	if job.Command == fleet.CommandRollBack {
		if actions := plan.finishForward(); len(actions) > 0 {
			return actions
		}
	}
	return plan.next()
}

func newPlanner(job *fleet.Job, view ClusterView) *planner {
	plan := &planner{
		job:         job,
		view:        view,
		unavailable: job.UnavailableNodes(),
		sequence:    forward,
		nodes:       job.Spec.Nodes,
	}
	if job.Command != fleet.CommandRollBack {
		return plan
	}
	plan.sequence, plan.nodes = rollback, nil
	for _, node := range slices.Backward(job.Spec.Nodes) { // those that may be patched, the last one first
		if plan.step(node, fleet.ActionPatch).StartedAt != 0 {
			plan.nodes = append(plan.nodes, node)
		}
	}
	return plan
}

func (p *planner) step(node string, action fleet.StepAction) fleet.Step {
	return p.job.Steps[fleet.StepKey{Node: node, Action: action}]
}

// closeOnUnknownOutcome closes the job if the outcome of one of its steps is unknown: an operator has to look, and
// may then command the rollback.
func (p *planner) closeOnUnknownOutcome() (action Action, found bool) {
	actions := p.sequence.actions()
	for key, step := range p.job.Steps {
		if step.Outcome == fleet.OutcomeUnknown && slices.Contains(actions[:], key.Action) {
			detail := "in doubt: " + key.String() + ": " + step.Detail
			return Action{Operation: CloseJob, CloseReason: fleet.ClosedStopped, Detail: detail}, true
		}
	}
	return action, false
}

// finishForward completes the steps in progress before the rollback begins: a step that was begun is waited for, and
// its node is resumed.
func (p *planner) finishForward() []Action {
	var actions []Action
	for _, node := range p.job.Spec.Nodes {
		drained := p.step(node, forward.drain).StartedAt != 0
		resumed := p.step(node, forward.resume).FinishedAt != 0
		if !drained || resumed || p.step(node, rollback.drain).StartedAt != 0 {
			continue
		}
		next := startStep(node, forward.resume)
		for _, action := range forward.actions() {
			if step := p.step(node, action); step.StartedAt != 0 && step.FinishedAt == 0 {
				next = p.requestStep(node, action)
			}
		}
		actions = append(actions, next)
	}
	return actions
}

func startStep(node string, action fleet.StepAction) Action {
	return Action{Operation: StartStep, Step: fleet.StepKey{Node: node, Action: action}}
}

func (p *planner) requestStep(node string, action fleet.StepAction) Action {
	key := fleet.StepKey{Node: node, Action: action}
	return Action{Operation: RequestStep, Step: key, Retry: p.job.Steps[key].Attempts > 1}
}

// nextStep returns the first action of the sequence that a node has not finished, and whether it has begun; pending
// is false where the node is through.
func (p *planner) nextStep(node string) (action fleet.StepAction, begun, pending bool) {
	for _, action := range p.sequence.actions() {
		step := p.step(node, action)
		if step.FinishedAt == 0 {
			return action, step.StartedAt != 0, true
		}
		if action == p.sequence.drain && step.Outcome != fleet.OutcomeOK { // not patched, only resumed
			resume := p.step(node, p.sequence.resume)
			return p.sequence.resume, resume.StartedAt != 0, resume.FinishedAt == 0
		}
	}
	return "", false, false
}

// progress is how far the nodes of the plan are.
type progress struct {
	actions    []Action // for the nodes under way
	inProgress int
	done       int
	notStarted []string // not begun yet
}

func (p *planner) progress() progress {
	var result progress
	for _, node := range p.nodes {
		action, begun, pending := p.nextStep(node)
		switch {
		case !pending:
			result.done++
		case begun:
			result.inProgress++
			result.actions = append(result.actions, p.requestStep(node, action))
		case action == p.sequence.drain:
			result.notStarted = append(result.notStarted, node)
		case p.job.Command == fleet.CommandPause:
			result.inProgress++
		default: // a drained node is not left drained
			result.inProgress++
			result.actions = append(result.actions, startStep(node, action))
		}
	}
	return result
}

func (p *planner) next() []Action {
	notResumed := p.nodeNotResumed()
	stopping := notResumed != "" || p.job.Command == fleet.CommandAbort || p.tooManyFailures()
	paused := p.job.Command == fleet.CommandPause
	current := p.progress()
	switch {
	case paused, stopping && current.inProgress > 0:
		return current.actions
	case stopping:
		return []Action{{Operation: CloseJob, CloseReason: p.stopReason(notResumed), Detail: p.closeDetail(notResumed)}}
	case current.done == len(p.nodes):
		return []Action{{Operation: CloseJob, CloseReason: p.doneReason(), Detail: p.closeDetail("")}}
	}
	actions := slices.Concat(current.actions, p.drainNext(current.notStarted))
	if len(actions) == 0 && len(p.unavailable) > 0 { // too few nodes, or too little capacity, are left to continue
		names := strings.Join(slices.Sorted(maps.Keys(p.unavailable)), " ")
		return []Action{{Operation: CloseJob, CloseReason: fleet.ClosedStopped, Detail: names + " did not come back"}}
	}
	return actions
}

// nodeNotResumed returns the last node that could not be resumed; empty if there is none. No other node may follow it.
func (p *planner) nodeNotResumed() string {
	notResumed := ""
	for _, node := range p.nodes {
		if resume := p.step(node, p.sequence.resume); resume.FinishedAt != 0 && resume.Outcome != fleet.OutcomeOK {
			notResumed = node
		}
	}
	return notResumed
}

func (p *planner) tooManyFailures() bool {
	limit := p.job.Spec.MaxFailures
	return p.job.Command != fleet.CommandRollBack && limit > 0 && p.job.Failures >= limit
}

func (p *planner) stopReason(notResumed string) fleet.CloseReason {
	if p.job.Command == fleet.CommandAbort && notResumed == "" {
		return fleet.ClosedAborted
	}
	return fleet.ClosedStopped
}

func (p *planner) doneReason() fleet.CloseReason {
	if p.job.Command == fleet.CommandRollBack {
		return fleet.ClosedRolledBack
	}
	return fleet.ClosedDone
}

func (p *planner) closeDetail(notResumed string) string {
	if notResumed != "" {
		return fmt.Sprintf("%s did not come back: %s", notResumed, p.step(notResumed, p.sequence.resume).Detail)
	}
	if p.job.Failures > 0 {
		return fmt.Sprintf("%d steps failed", p.job.Failures)
	}
	return ""
}
