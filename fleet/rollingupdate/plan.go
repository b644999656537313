// Package rollingupdate decides the next steps of work on behalf of the fleet. It does no I/O and reads no clock: a job as the
// log has it and what can be seen of the nodes in, actions out. Each step is written down before it is begun and after
// it has ended, so that the next owner goes on where the last one was.
//
// A step may be asked of its node again under the same key: the node's follower answers with what came of the first.
package rollingupdate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cobaltward/fleet"
)

var (
	rolloutSteps  = []string{fleet.ActionDrain, fleet.ActionPatch, fleet.ActionResume}
	rollbackSteps = []string{fleet.ActionRollbackDrain, fleet.ActionRevert, fleet.ActionRollbackResume}
)

// NodeStatus is what can be seen of one.
type NodeStatus struct {
	Zone           string
	Capacity       float64
	Serving        bool // its follower answers, and says that it serves
	LeaseCandidate bool // its follower may own this work
}

// ClusterView is what the owner sees.
type ClusterView struct {
	Nodes map[string]NodeStatus
	Self  string // the owner's own node
}

// Operation is what to do next.
type Operation uint8

// What there is to do.
const (
	StartStep    Operation = iota // write down that a step begins; then ask for it
	RequestStep                   // ask the node for a step that was begun; again, where the answer is out
	CloseJob                      // write down that the job is over
	ReleaseLease                  // give the work to another: the owner's own node is next
)

// Action is one thing to do.
type Action struct {
	Operation   Operation
	Step        fleet.StepKey
	Retry       bool   // of Ask: an earlier owner may have asked
	CloseReason string // of Close
	Detail      string
}

// IdempotencyKey is the key of a step's effect, the same for all owners.
func IdempotencyKey(job string, s fleet.StepKey) string { return job + "/" + s.String() }

// Next is what the owner of a job does now. Steps that are under way stand among the actions each time.
func Next(j *fleet.Job, v ClusterView) (all []Action) {
	if j.CloseReason != "" {
		return nil
	}
	r := planner{j: j, v: v, away: j.UnavailableNodes(), steps: rolloutSteps, nodes: j.Spec.Nodes}
	if j.Command == fleet.CommandRollBack {
		r.steps, r.nodes = rollbackSteps, nil
		for _, name := range slices.Backward(j.Spec.Nodes) { // those that the patch has met, the last one first
			if j.Steps[fleet.StepKey{Node: name, Action: fleet.ActionPatch}].StartedAt != 0 {
				r.nodes = append(r.nodes, name)
			}
		}
	}
	for key, s := range j.Steps { // what is in doubt stops all: an operator looks, and may order the way back
		if s.Outcome == fleet.OutcomeUnknown && slices.Contains(r.steps, key.Action) {
			return []Action{{Operation: CloseJob, CloseReason: "stopped", Detail: "in doubt: " + key.String() + ": " + s.Detail}}
		}
	}
	if j.Command == fleet.CommandRollBack {
		if all = r.settle(); len(all) > 0 {
			return all
		}
	}
	return r.next()
}

// settle ends what is under way on the way forth before the way back begins: a step that was begun is waited for, and
// its node is taken in.
func (r *planner) settle() (all []Action) {
	for _, node := range r.j.Spec.Nodes {
		step := func(what string) fleet.Step { return r.step(node, what) }
		if step(fleet.ActionDrain).StartedAt == 0 || step(fleet.ActionResume).FinishedAt != 0 || step(fleet.ActionRollbackDrain).StartedAt != 0 {
			continue
		}
		next := Action{Operation: StartStep, Step: fleet.StepKey{Node: node, Action: fleet.ActionResume}}
		for _, what := range rolloutSteps {
			if s := step(what); s.StartedAt != 0 && s.FinishedAt == 0 {
				next = Action{Operation: RequestStep, Step: fleet.StepKey{Node: node, Action: what}, Retry: s.Attempts > 1}
			}
		}
		all = append(all, next)
	}
	return all
}

type planner struct {
	j     *fleet.Job
	v     ClusterView
	away  map[string]bool
	steps []string
	nodes []string
}

func (r *planner) step(node, what string) fleet.Step {
	return r.j.Steps[fleet.StepKey{Node: node, Action: what}]
}

// stage is the step that a node is at: its number, len(steps) where it is through, and whether that has begun.
func (r *planner) stage(node string) (n int, begun bool) {
	for i, what := range r.steps {
		s := r.step(node, what)
		if s.FinishedAt == 0 {
			return i, s.StartedAt != 0
		}
		if s.Outcome != fleet.OutcomeOK && i == 0 {
			i++ // what could not be taken out is not patched, only taken back
			if in := r.step(node, r.steps[2]); in.FinishedAt == 0 {
				return 2, in.StartedAt != 0
			}
			return 3, false
		}
	}
	return len(r.steps), false
}

func (r *planner) next() (all []Action) {
	stopping := r.j.Command == fleet.CommandAbort || (r.j.Command != fleet.CommandRollBack && r.j.Spec.MaxFailures > 0 && r.j.Failures >= r.j.Spec.MaxFailures)
	lost := ""
	for _, node := range r.nodes {
		if s := r.step(node, r.steps[2]); s.FinishedAt != 0 && s.Outcome != fleet.OutcomeOK {
			lost, stopping = node, true // it did not come back: no other goes
		}
	}
	paused := r.j.Command == fleet.CommandPause
	busy, through := 0, 0
	var fresh []string
	for _, node := range r.nodes {
		n, begun := r.stage(node)
		switch {
		case n == len(r.steps):
			through++
		case begun:
			busy++
			key := fleet.StepKey{Node: node, Action: r.steps[n]}
			all = append(all, Action{Operation: RequestStep, Step: key, Retry: r.j.Steps[key].Attempts > 1})
		case n == 0:
			fresh = append(fresh, node)
		case paused:
			busy++
		default: // what is out is not left out
			busy++
			all = append(all, Action{Operation: StartStep, Step: fleet.StepKey{Node: node, Action: r.steps[n]}})
		}
	}
	switch {
	case busy > 0 && (stopping || paused), paused:
		return all
	case stopping:
		return []Action{{Operation: CloseJob, CloseReason: r.why(lost), Detail: r.detail(lost)}}
	case through == len(r.nodes):
		over := "done"
		if r.j.Command == fleet.CommandRollBack {
			over = "back"
		}
		return []Action{{Operation: CloseJob, CloseReason: over, Detail: r.detail("")}}
	}
	all = append(all, r.begin(fresh)...)
	if len(all) == 0 && len(r.away) > 0 { // nodes that did not come back on the way forth leave no room, or too little capacity
		return []Action{{Operation: CloseJob, CloseReason: "stopped", Detail: strings.Join(slices.Sorted(maps.Keys(r.away)), " ") + " did not come back"}}
	}
	return all
}

func (r *planner) why(lost string) string {
	if r.j.Command == fleet.CommandAbort && lost == "" {
		return "aborted"
	}
	return "stopped"
}

func (r *planner) detail(lost string) string {
	if lost != "" {
		return fmt.Sprintf("%s did not come back: %s", lost, r.step(lost, r.steps[2]).Detail)
	}
	if r.j.Failures > 0 {
		return fmt.Sprintf("%d steps failed", r.j.Failures)
	}
	return ""
}

// begin takes out what may go now: never more at once than the job allows, never so many that those which serve carry
// less than is needed, one zone after another where it says so, and the owner's own node last, under another owner.
func (r *planner) begin(fresh []string) (all []Action) {
	zone := ""
	if r.j.Spec.ByZone {
		for _, node := range r.nodes {
			if n, _ := r.stage(node); n < len(r.steps) {
				zone = r.v.Nodes[node].Zone
				break
			}
		}
		fresh = slices.DeleteFunc(fresh, func(n string) bool { return r.v.Nodes[n].Zone != zone })
	}
	serving := 0.0
	for name, n := range r.v.Nodes {
		if n.Serving && !r.away[name] {
			serving += n.Capacity
		}
	}
	slices.SortStableFunc(fresh, func(a, b string) int { return cmp.Compare(own(a, r.v.Self), own(b, r.v.Self)) })
	for _, node := range fresh {
		n := r.v.Nodes[node]
		if r.away[node] { // it did not come back on the way forth, and is out already
			all = append(all, Action{Operation: StartStep, Step: fleet.StepKey{Node: node, Action: r.steps[0]}})
			continue
		}
		if len(r.away)+len(all) >= r.j.Spec.MaxUnavailable || !n.Serving || serving-n.Capacity < r.j.Spec.MinCapacity {
			continue
		}
		if node == r.v.Self {
			for name, o := range r.v.Nodes {
				if name != node && o.LeaseCandidate && o.Serving {
					return append(all, Action{Operation: ReleaseLease})
				}
			}
		}
		serving -= n.Capacity
		all = append(all, Action{Operation: StartStep, Step: fleet.StepKey{Node: node, Action: r.steps[0]}})
	}
	return all
}

func own(node, self string) int {
	if node == self {
		return 1
	}
	return 0
}
