package fleet

import (
	"fmt"
	"strings"
	"time"
)

// JobKind identifies a kind of job. The holder of the kind's lease (see Resource) runs the jobs of the kind, one at a
// time.
type JobKind string

// The kinds of jobs.
const (
	// JobRollingUpdate drains, patches and resumes nodes one after another.
	JobRollingUpdate JobKind = "round"
	// JobRollout introduces a version of an artifact, one stage of nodes after another.
	JobRollout JobKind = "rollout"
)

// Resource returns the name of the lease whose holder runs jobs of the kind.
func (k JobKind) Resource() string { return string(k) }

// The resources of the leases whose holders run jobs.
const (
	ResourceRollingUpdate = string(JobRollingUpdate)
	ResourceRollout       = string(JobRollout)
)

// JobCommand is an operator's command to a job.
type JobCommand string

// The commands to a job.
const (
	CommandRun      JobCommand = "go"
	CommandPause    JobCommand = "pause" // begin no further steps
	CommandAbort    JobCommand = "abort" // finish the nodes in progress, then close the job
	CommandRollBack JobCommand = "back"  // undo the steps, starting with the last node
)

// valid reports whether the command is one of the constants above.
func (c JobCommand) valid() bool {
	switch c {
	case CommandRun, CommandPause, CommandAbort, CommandRollBack:
		return true
	}
	return false
}

// CloseReason is the reason why a job is closed; empty while the job is open.
type CloseReason string

// The reasons for which jobs are closed.
const (
	ClosedDone       CloseReason = "done"
	ClosedAborted    CloseReason = "aborted" // an operator aborted the job
	ClosedStopped    CloseReason = "stopped" // too many failures, an unknown outcome or a node not resumed
	ClosedRolledBack CloseReason = "back"
)

// JobSpec specifies what a job does.
type JobSpec struct {
	Kind           JobKind  `json:"kind"`
	Nodes          []string `json:"nodes"`   // nodes of a rolling update, in order
	MaxUnavailable int      `json:"at_once"` // maximum number of nodes that are unavailable at a time
	// MinCapacity is the minimum total capacity of the serving nodes, in the unit of Node.Capacity.
	MinCapacity float64 `json:"need"`
	ByZone      bool    `json:"by_zone"` // whether one zone is finished before the next begins
	// MaxFailures is the number of failed steps at which the job stops; 0: no limit. A failed resume step always stops
	// the job.
	MaxFailures  int           `json:"failures"`
	StepTimeout  time.Duration `json:"deadline"`
	DrainTimeout time.Duration `json:"drain"`

	Artifact string `json:"thing,omitempty"`  // name of the artifact of a rollout
	Digest   string `json:"digest,omitempty"` // digest of the version that a rollout introduces
	// Stages are the nodes of each stage of a rollout. All other nodes form an implied last stage.
	Stages [][]string `json:"stages,omitempty"`
	// MaxStragglers is the maximum number of nodes for which a rollout does not wait. These nodes lose their version
	// lease.
	MaxStragglers int `json:"lag,omitempty"`
}

// valid reports whether a rolling update can be started from the specification. For rollouts it returns true, because
// State.canStartRollout checks their specification.
func (s *JobSpec) valid() bool {
	if s.Kind == JobRollout {
		return true // see State.canStartRollout
	}
	return s.Kind != "" && len(s.Nodes) > 0 && s.MaxUnavailable >= 1
}

// StepAction is what a step of a rolling update does to its node.
type StepAction string

// The actions of steps, in the order in which a node goes through them. The last three undo the first three.
const (
	ActionDrain          StepAction = "out"
	ActionPatch          StepAction = "patch"
	ActionResume         StepAction = "in"
	ActionRollbackDrain  StepAction = "back-out"
	ActionRevert         StepAction = "revert"
	ActionRollbackResume StepAction = "back-in"
)

// stepKeySeparator separates the node and the action in the text form of a step key. Node names do not contain it.
const stepKeySeparator = "/"

// StepKey identifies a step of a job by the action and the node on which the step acts.
type StepKey struct {
	Node   string     `json:"node,omitempty"`
	Action StepAction `json:"what,omitempty"`
}

func (k StepKey) String() string { return k.Node + stepKeySeparator + string(k.Action) }

// MarshalText returns the key as "node/action". JSON objects use this text as their keys.
func (k StepKey) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a text of the form "node/action".
func (k *StepKey) UnmarshalText(text []byte) error {
	node, action, ok := strings.Cut(string(text), stepKeySeparator)
	if !ok {
		return fmt.Errorf("fleet: step key %q is not of the form node/action", text)
	}
	k.Node, k.Action = node, StepAction(action)
	return nil
}

// StepOutcome is the outcome of a step; empty while the step has not ended.
type StepOutcome string

// The outcomes of a step.
const (
	OutcomeOK      StepOutcome = "ok"
	OutcomeFailed  StepOutcome = "failed"
	OutcomeUnknown StepOutcome = "doubt" // an operator has to check whether the step was carried out
)

// Step is the progress of one step of a job.
type Step struct {
	StartedAt    Position     `json:"begun"`           // position of the entry that began the step; 0: not begun
	FencingToken FencingToken `json:"token"`           // token under which the step was last begun
	Attempts     int          `json:"tries,omitempty"` // number of lease grants under which the step was begun
	FinishedAt   Position     `json:"ended,omitempty"` // position of the entry with the outcome; 0: not finished
	Outcome      StepOutcome  `json:"outcome,omitempty"`
	Detail       string       `json:"detail,omitempty"`
}

// Job is a rolling update or a rollout. Its progress is part of the state, so another process can continue the job
// when the lease holder stops.
type Job struct {
	ID          string           `json:"id"`
	Spec        JobSpec          `json:"spec"`
	Command     JobCommand       `json:"order"`
	RequestedBy string           `json:"who,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	CreatedAt   Position         `json:"since"`
	Steps       map[StepKey]Step `json:"steps"`
	Failures    int              `json:"failures"` // number of steps with an outcome other than OutcomeOK
	CloseReason CloseReason      `json:"over,omitempty"`
	Detail      string           `json:"detail,omitempty"` // details of CloseReason
}

// Open reports whether the job is not closed.
func (j *Job) Open() bool { return j.CloseReason == "" }

// UnavailableNodes returns the nodes whose drain the job has begun and that the job has not resumed.
func (j *Job) UnavailableNodes() map[string]bool {
	unavailable := make(map[string]bool)
	for key, step := range j.Steps {
		if step.StartedAt == 0 {
			continue
		}
		resume := ActionResume
		switch key.Action {
		case ActionDrain:
			if j.Steps[StepKey{key.Node, ActionRollbackDrain}].StartedAt != 0 {
				continue // ActionRollbackDrain decides for this node
			}
		case ActionRollbackDrain:
			resume = ActionRollbackResume
		default:
			continue
		}
		if j.Steps[StepKey{key.Node, resume}].Outcome != OutcomeOK {
			unavailable[key.Node] = true
		}
	}
	return unavailable
}
