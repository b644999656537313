package rollingupdate

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"cobaltward/fleet"
)

// NodeStatus is the status of a node as observed by the holder of the lease.
type NodeStatus struct {
	Zone     string
	Capacity float64 // in the unit of fleet.Node.Capacity
	Serving  bool    // whether the node's agent responds and reports that the node is serving
	// LeaseCandidate reports whether the node's agent may hold the lease of rolling updates.
	LeaseCandidate bool
}

// ClusterView is the status of all nodes as observed by the holder of the lease.
type ClusterView struct {
	Nodes map[string]NodeStatus // by name
	Self  string                // name of the holder's own node
}

// Operation is the kind of an Action.
type Operation uint8

// The operations.
const (
	StartStep    Operation = iota // record in the log that a step begins
	RequestStep                   // request a step that was begun, from the agent of its node
	CloseJob                      // record in the log that the job is closed
	ReleaseLease                  // let another process drain the holder's own node
)

// Action is the next action of the holder of the lease.
type Action struct {
	Operation   Operation
	Step        fleet.StepKey // only for StartStep and RequestStep
	Retry       bool          // for RequestStep: whether an earlier holder may have requested the step
	CloseReason fleet.CloseReason
	Detail      string // details of CloseReason
}

// IdempotencyKey returns the idempotency key of a step's effect. All holders use the same key.
func IdempotencyKey(jobID string, step fleet.StepKey) string { return jobID + "/" + step.String() }

// sequence has the three actions of each node, in the order in which the node goes through them.
type sequence struct{ drain, change, resume fleet.StepAction }

var (
	forward  = sequence{fleet.ActionDrain, fleet.ActionPatch, fleet.ActionResume}
	rollback = sequence{fleet.ActionRollbackDrain, fleet.ActionRevert, fleet.ActionRollbackResume}
)

func (s sequence) actions() [3]fleet.StepAction {
	return [3]fleet.StepAction{s.drain, s.change, s.resume}
}

// planner holds the input from which Next derives the actions.
type planner struct {
	job         *fleet.Job
	view        ClusterView
	unavailable map[string]bool
	sequence    sequence
	nodes       []string // nodes that go through the sequence
}

// Next returns the actions that the holder of the lease takes now. Steps in progress are requested again at each
// call.
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
	for _, node := range slices.Backward(job.Spec.Nodes) { // only nodes that may be patched, the last node first
		if plan.step(node, fleet.ActionPatch).StartedAt != 0 {
			plan.nodes = append(plan.nodes, node)
		}
	}
	return plan
}

func (p *planner) step(node string, action fleet.StepAction) fleet.Step {
	return p.job.Steps[fleet.StepKey{Node: node, Action: action}]
}

// closeOnUnknownOutcome returns an action that closes the job if a step of the current sequence has an unknown
// outcome. An operator then has to check the node, and may roll back the job.
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

// finishForward returns the actions that are needed before the rollback can begin. These actions finish each step in
// progress and resume each drained node.
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

// nextStep returns the first action of the sequence that a node has not finished. begun reports whether the action
// has begun. pending is false if the node has finished the sequence.
func (p *planner) nextStep(node string) (action fleet.StepAction, begun, pending bool) {
	for _, action := range p.sequence.actions() {
		step := p.step(node, action)
		if step.FinishedAt == 0 {
			return action, step.StartedAt != 0, true
		}
		// A node whose drain has failed is only resumed.
		if action == p.sequence.drain && step.Outcome != fleet.OutcomeOK {
			resume := p.step(node, p.sequence.resume)
			return p.sequence.resume, resume.StartedAt != 0, resume.FinishedAt == 0
		}
	}
	return "", false, false
}

// progress is the progress of the planner's nodes through the sequence.
type progress struct {
	actions    []Action // next actions of the nodes in progress
	inProgress int      // nodes that have begun but not finished the sequence
	done       int      // nodes that have finished the sequence
	notStarted []string // nodes that have not begun the sequence
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
		default: // resume drained nodes even if the job is stopping
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
	// No action is possible, because nodes that were not resumed use up the limits of the job.
	if len(actions) == 0 && len(p.unavailable) > 0 {
		names := strings.Join(slices.Sorted(maps.Keys(p.unavailable)), " ")
		return []Action{{Operation: CloseJob, CloseReason: fleet.ClosedStopped, Detail: names + " did not come back"}}
	}
	return actions
}

// nodeNotResumed returns the last node whose resume step has failed; empty if there is none. After such a failure the
// job drains no further node.
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
